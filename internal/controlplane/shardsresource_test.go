package controlplane

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// The error text has the type's published name, not its Go name.
func TestUnreadableShardChangeErrorText(t *testing.T) {
	answer := httptest.NewRecorder()
	body := strings.NewReader(`{"kind":5}`)
	(&shardsResource{}).change(answer, httptest.NewRequest(http.MethodPost, "/shards", body))
	want := "the change can't be read: json: cannot unmarshal number into Go struct field Change.kind " +
		"of type shardmap.Kind\n"
	if answer.Code != http.StatusBadRequest || answer.Body.String() != want {
		t.Fatalf("%d %s", answer.Code, answer.Body)
	}
}

package config

import (
	"strings"
	"testing"
)

// Fields unknown to this version of the software, such as weight, split and homes, are accepted and kept, also in the
// items that an amendment does not change.
func TestUnknownFieldsAreKept(t *testing.T) {
	raw := []byte(`{"gen":1,"routes":[{"name":"r","host":"h","type":"primary","timeoutMs":9,"svc":"s","weight":3,` +
		`"split":[{"svc":"s"}],"homes":["z"]}],"svcs":[{"name":"s"}],"limits":{}}`)
	if _, err := Parse(raw); err != nil {
		t.Fatal(err)
	}
	state := &State{Version: 1, Raw: raw}
	amended, err := state.applyAmendment([]byte(`{"gen":2,"upsert":{"svcs":[{"name":"n"}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	for _, field := range []string{`"weight":3`, `"split":[{"svc":"s"}]`, `"homes":["z"]`} {
		if !strings.Contains(string(amended), field) {
			t.Errorf("%s lacks %s", amended, field)
		}
	}
}

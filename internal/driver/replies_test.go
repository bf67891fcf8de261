package driver

import (
	"strconv"
	"strings"
	"testing"
)

func TestBusyAnswerRetryDelay(t *testing.T) {
	for wait, detail := range map[float64]string{0: "", 0.2: "", 12.6: "13", 200: "200"} {
		hasDetail := strings.Contains(string(busyAnswer(wait)), "\x00D")
		if hasDetail != (detail != "") || hasDetail && !strings.Contains(string(busyAnswer(wait)), "\x00D"+detail+"\x00") {
			t.Errorf("%s ms: %q", strconv.FormatFloat(wait, 'g', -1, 64), busyAnswer(wait))
		}
	}
}

package sessionrun

import (
	"testing"
	"time"

	"weirwind/internal/standin/golden"
)

// The page of a run is as recorded.
func TestPageIsThatRecorded(t *testing.T) {
	r := Result{
		Seconds: []Second{{Queued: 10, Came: 9, Silence: 70 * time.Millisecond}, {Queued: 12, Came: 13,
			Silence: 2 * time.Second, Note: "site1 is pulled"}, {Queued: 11, Came: 11, Silence: time.Second}},
		Queued: 33, Came: 33, Lost: 1, Doubled: 2, Mess: 3, Opened: 5, Stayed: 4,
	}
	golden.Text(t, "testdata/page.golden", []golden.Case[string]{golden.Of("page", r.Page("T")),
		golden.Of("empty", new(Result).Page("nothing"))})
}

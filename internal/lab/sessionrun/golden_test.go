package sessionrun

import (
	"testing"
	"time"

	"weirwind/internal/standin/golden"
)

// The page on a run is as recorded.
func TestRecordedPage(t *testing.T) {
	r := Result{
		Seconds: []Second{{Queued: 10, Delivered: 9, LongestGap: 70 * time.Millisecond}, {Queued: 12, Delivered: 13,
			LongestGap: 2 * time.Second, Event: "site1 is pulled"}, {Queued: 11, Delivered: 11, LongestGap: time.Second}},
		Queued: 33, Delivered: 33, Lost: 1, Duplicated: 2, OutOfOrder: 3, Opened: 5, StayedOpen: 4,
	}
	golden.Text(t, "testdata/page.golden", []golden.Case[string]{golden.Of("page", r.HTML("T")),
		golden.Of("empty", new(Result).HTML("nothing"))})
}

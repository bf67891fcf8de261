package controlplane

import (
	"net/http"
	"testing"
	"time"
)

// The leave of a member that a machine doesn't know is acknowledged only once the machine would know it: before, another
// machine's record of it would stay, and drivers would go on sending to it. One that is known is acknowledged at once, and
// again; heartbeats behind it change nothing.
func TestLeaveIsAcknowledgedWhereItIsRecorded(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := startServer(t, "10.0.0.1:7000", []string{"10.0.0.1:7000"}, "", newTranscript())
		time.Sleep(6 * time.Second)
		leave := func(id string) int { return call(nil, h, http.MethodPost, "/members/"+id+"/leave", nil, "").Code }
		if got := leave("unknown"); got != http.StatusServiceUnavailable {
			t.Errorf("an unknown member's leave, soon after the start: %d", got)
		}
		heartbeat(h, "m", "svc", "10.0.1.1:1", "replica", "up", 4)
		for range 2 {
			if got := leave("m"); got != http.StatusOK {
				t.Errorf("a known member's leave: %d", got)
			}
		}
		for _, seq := range []int{3, 5, 6} { // late, and sent on
			heartbeat(h, "m", "svc", "10.0.1.1:1", "replica", "up", seq)
			time.Sleep(5 * time.Second)
		}
		err := h.state.call(func() {
			if m, _ := h.state.members.table.Get("m"); !m.Tombstone {
				t.Errorf("the member is back: %+v", m)
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		if got := leave("unknown"); got != http.StatusOK {
			t.Errorf("an unknown member's leave, long after the start: %d", got)
		}
	})
}

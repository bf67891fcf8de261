package controlplane

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"weirwind/internal/controlplane/controlmsg"
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

// A drain or leave at a machine that has just been cut off, whose contact is still young, is not acknowledged: the other
// side would not learn of it. One that is acknowledged is known to the leader. It fails without awaitContact, where both
// are answered 200.
func TestLeavesAreKnownToAMajorityBeforeTheyAreAcknowledged(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		machines := newTrio(t, newTranscript())
		time.Sleep(6 * time.Second)
		all := machines.elected(t, "")
		leader, follower := all[0], all[1]
		for seq, id := range []string{"a", "b", "c"} {
			heartbeat(follower, id, "svc", fmt.Sprint("10.0.1.1:", seq+1), "replica", "up", seq+1)
		}
		time.Sleep(time.Second)
		leave := func(id string) int {
			return call(nil, follower, http.MethodPost, "/members/"+id+"/leave", nil, "").Code
		}
		if got := leave("a"); got != http.StatusOK {
			t.Fatalf("a leave: %d", got)
		}
		err := leader.state.call(func() {
			if m, _ := leader.state.members.table.Get("a"); !m.HasLeft() {
				t.Errorf("the leader does not know an acknowledged leave: %+v", m)
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		machines.setDrops(func(from, to *Server, _ *controlmsg.Frame) bool { return from == follower || to == follower })
		if !follower.inContact() {
			t.Fatal("its contact is over already")
		}
		if got := leave("b"); got != http.StatusServiceUnavailable {
			t.Errorf("a leave just after the cut: %d", got)
		}
		if got := heartbeat(follower, "c", "svc", "10.0.1.1:3", "replica", "draining", 9); got != http.StatusServiceUnavailable {
			t.Errorf("a drain just after the cut: %d", got)
		}
	})
}

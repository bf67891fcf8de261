package controlplane

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"weirwind/internal/controlplane/controlmsg"
)

// A machine acknowledges the leave of an unknown member only after its recovery period: before, another machine's
// record of the member would remain, and drivers would continue to send to it. The leave of a known member is
// acknowledged at once, also when repeated, and later heartbeats do not undo it.
func TestLeaveIsAcknowledgedWhereItIsRecorded(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		srv := startServer(t, "10.0.0.1:7000", []string{"10.0.0.1:7000"}, "", newTranscript())
		time.Sleep(6 * time.Second)
		leave := func(id string) int { return call(nil, srv, http.MethodPost, "/members/"+id+"/leave", nil, "").Code }
		if got := leave("unknown"); got != http.StatusServiceUnavailable {
			t.Errorf("an unknown member's leave, soon after the start: %d", got)
		}
		sendHeartbeat(srv, "m", "svc", "10.0.1.1:1", "replica", "up", 4)
		for range 2 {
			if got := leave("m"); got != http.StatusOK {
				t.Errorf("a known member's leave: %d", got)
			}
		}
		for _, seq := range []int{3, 5, 6} { // a late heartbeat, and later ones
			sendHeartbeat(srv, "m", "svc", "10.0.1.1:1", "replica", "up", seq)
			time.Sleep(5 * time.Second)
		}
		err := srv.state.call(func() {
			if m, _ := srv.state.members.table.Get("m"); !m.Tombstone {
				t.Errorf("the member's record was restored: %+v", m)
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

// A machine that has just been partitioned, but whose contact has not aged yet, acknowledges neither drains nor
// leaves, as the other side would not learn of them. An acknowledged leave is known to the leader. The test fails
// without awaitContact, as both calls are then answered 200.
func TestLeavesAreKnownToAMajorityBeforeTheyAreAcknowledged(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		machines := newTestCluster(t, newTranscript())
		time.Sleep(6 * time.Second)
		all := machines.leaderFirst(t, "")
		leader, follower := all[0], all[1]
		for seq, id := range []string{"a", "b", "c"} {
			sendHeartbeat(follower, id, "svc", fmt.Sprint("10.0.1.1:", seq+1), "replica", "up", seq+1)
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
			t.Fatal("its contact has expired already")
		}
		if got := leave("b"); got != http.StatusServiceUnavailable {
			t.Errorf("a leave just after the partition: %d", got)
		}
		if got := sendHeartbeat(follower, "c", "svc", "10.0.1.1:3", "replica", "draining",
			9); got != http.StatusServiceUnavailable {
			t.Errorf("a drain just after the partition: %d", got)
		}
	})
}

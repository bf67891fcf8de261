package controlplane

import (
	"testing"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/failover"
)

// A leader that has exhausted its fencing tokens does not call the platform, reports a rejected call to the controller,
// and transfers its leadership. The next leader's tokens are higher than all earlier ones.
func TestFencingTokensNeverRepeat(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		machines := newTestCluster(t, newTranscript())
		machines.setDrops(func(_, _ *Server, _ *controlmsg.Frame) bool { return false })
		time.Sleep(6 * time.Second)
		leader := machines.leaderFirst(t, "")[0]
		var last uint64
		var term uint64
		err := leader.state.call(func() {
			f := &leader.state.failovers
			f.platformCalls = maxPlatformCalls - 1
			term = leader.state.leadership.term
			var ok bool
			if last, ok = f.nextFencingToken(); !ok || last>>fenceCallBits != term {
				t.Errorf("the last token is %x of term %d", last, term)
			}
			if fence, ok := f.nextFencingToken(); ok {
				t.Errorf("a token beyond the last: %x", fence)
			}
			f.promoteWithFence(failover.New(0), "svc", failover.Action{Kind: failover.Promote, ID: "m"})
		})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		next := machines.leaderFirst(t, "next ")[0]
		if next == leader {
			t.Fatal("the machine without tokens still leads")
		}
		err = next.state.call(func() {
			if fence, ok := next.state.failovers.nextFencingToken(); !ok || fence <= last {
				t.Errorf("the next leader's token is %x, the last one was %x", fence, last)
			}
		})
		if err != nil {
			t.Fatal(err)
		}
	})
}

package controlplane

import (
	"net"
	"testing"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/controlplane/failover"
	"weirwind/internal/member/memberconn"
	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
)

// What the leader keeps of members and services ends with them: connections, controllers and reports don't grow with
// those that ever were. It fails without each of forgetGone's three lines.
func TestNothingIsKeptOfWhatIsGone(t *testing.T) {
	h := newServer(t.Context(), &settings.Settings{}, events.Discard())
	s := newSoftState(h)
	s.config = &config.Config{Services: []config.Service{{Name: "orders"}}}
	for _, service := range []string{"orders", "dropped"} {
		s.failovers.controllers[service] = failover.New(0)
		s.failovers.reports[service] = map[string]primaryReport{}
	}
	here, gone := &closeCounter{}, &closeCounter{}
	s.memberClient.release("here", &memberconn.Conn{NetConn: here})
	s.memberClient.release("gone", &memberconn.Conn{NetConn: gone})
	s.forgetGone(map[string][]directory.Member{"orders": {{ID: "here"}}}, 1)
	if len(s.failovers.controllers) != 1 || len(s.failovers.reports) != 1 || s.failovers.controllers["orders"] == nil {
		t.Errorf("%d controllers and %d services with reports are kept", len(s.failovers.controllers), len(s.failovers.reports))
	}
	if here.closed != 0 || gone.closed != 1 || s.memberClient.acquire("gone") != nil {
		t.Errorf("closed %d times: the connection to a member; %d times: that to one that is gone", here.closed, gone.closed)
	}
}

// closeCounter is a connection that counts how often it is closed.
type closeCounter struct {
	net.Conn
	closed int
}

func (c *closeCounter) Close() error { c.closed++; return nil }

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

// The leader drops its connections to departed members, and its controllers and reports of removed services, so that
// its memory does not grow with all that ever existed. The test fails without any of the last three statements of
// removeStale.
func TestRemoveStaleDropsDepartedMembersAndServices(t *testing.T) {
	srv := newServer(t.Context(), &settings.Settings{}, events.Discard())
	s := newSoftState(srv)
	s.config = &config.Config{Services: []config.Service{{Name: "orders"}}}
	for _, service := range []string{"orders", "dropped"} {
		s.failovers.controllers[service] = failover.New(0)
		s.failovers.reports[service] = map[string]primaryReport{}
	}
	present, departed := &closeCounter{}, &closeCounter{}
	s.memberClient.release("present", &memberconn.Conn{NetConn: present})
	s.memberClient.release("departed", &memberconn.Conn{NetConn: departed})
	s.removeStale(map[string][]directory.Member{"orders": {{ID: "present"}}}, 1)
	if len(s.failovers.controllers) != 1 || len(s.failovers.reports) != 1 || s.failovers.controllers["orders"] == nil {
		t.Errorf("%d controllers and %d services with reports are kept",
			len(s.failovers.controllers), len(s.failovers.reports))
	}
	if present.closed != 0 || departed.closed != 1 || s.memberClient.acquire("departed") != nil {
		t.Errorf("the connection to a live member was closed %d times, that to a departed one %d times",
			present.closed, departed.closed)
	}
}

// closeCounter is a connection that counts how often it is closed.
type closeCounter struct {
	net.Conn
	closed int
}

func (c *closeCounter) Close() error { c.closed++; return nil }

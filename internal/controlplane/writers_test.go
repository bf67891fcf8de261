package controlplane

import (
	"net"
	"testing"
	"time"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/writerlease"
)

const writersConfig = `{"gen":1,"routes":[],"svcs":[{"name":"s","syncN":1}]}`

// leaseAgent is a fake agent of a driver that requests writer leases at a core machine.
type leaseAgent struct {
	link   *link
	driver directory.Driver
	grants chan *controlmsg.WriterLeaseGrant
	holder *writerlease.Holder
}

func newLeaseAgent(t *testing.T, srv *Server) *leaseAgent {
	t.Helper()
	near, far := net.Pipe()
	newPipeLink(t, near, srv.handleFrame, srv.handleLinkDown)
	a := &leaseAgent{driver: directory.Driver{Name: "front", Addr: "10.0.3.1:1", Zone: "z1", Incarnation: 7},
		grants: make(chan *controlmsg.WriterLeaseGrant, 100), holder: writerlease.NewHolder(9)}
	a.link = newPipeLink(t, far, func(_ *link, frame *controlmsg.Frame) {
		if frame.WriterLeaseGrant != nil {
			a.grants <- frame.WriterLeaseGrant
		}
	}, func(*link) {})
	return a
}

// request renews the driver's lease, and returns the answer to a request for a writer lease, nil if there is none.
func (a *leaseAgent) request(now float64) *controlmsg.WriterLeaseGrant {
	a.link.Send(&controlmsg.Frame{LeaseRenewal: &controlmsg.LeaseRenewal{Driver: a.driver}})
	request := a.holder.Request(now)
	request.Driver = a.driver.Name
	a.link.Send(&controlmsg.Frame{WriterLeaseRequest: request})
	select {
	case grant := <-a.grants:
		a.holder.HandleGrant(grant)
		return grant
	case <-time.After(time.Second):
		return nil
	}
}

// newWritersCluster starts three machines with a service. servers has them with the leader first.
func newWritersCluster(t *testing.T) (machines *testCluster, servers []*Server) {
	t.Helper()
	machines = newTestCluster(t, newTranscript())
	time.Sleep(6 * time.Second)
	servers = machines.leaderFirst(t, "")
	call(nil, servers[0], "POST", "/config/replace", map[string]string{"Weirwind-Base-Version": "0"}, writersConfig)
	time.Sleep(time.Second)
	return machines, servers
}

// assign assigns a service's writer at the leader.
func assign(t *testing.T, leader *Server, member string) {
	t.Helper()
	if err := leader.state.call(func() { leader.state.assignWriter("s", member) }); err != nil {
		t.Fatal(err)
	}
}

// A request is answered at each core machine: with the assignments if it lacks one, else with a lease.
func TestWriterLeasesAreGrantedAtEachCoreMachine(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		_, servers := newWritersCluster(t)
		assign(t, servers[0], "m1")
		for i, srv := range servers {
			agent := newLeaseAgent(t, srv)
			if grant := agent.request(100); grant == nil || grant.DurationMs > 0 || len(grant.Assignments) != 1 {
				t.Fatalf("machine %d, leader first, answered %+v to a holder without assignments", i, grant)
			}
			if grant := agent.request(200); grant == nil || grant.DurationMs <= 0 {
				t.Fatalf("machine %d answered %+v to a holder of all assignments", i, grant)
			}
			if agent.holder.Permission("s", "m1", 300) != writerlease.Permitted ||
				agent.holder.Permission("s", "m2", 300) != writerlease.Denied {
				t.Errorf("machine %d: the lease does not follow the assignment", i)
			}
		}
	})
}

// A leader that a majority has not answered for the time of a lease grants none.
func TestNoWriterLeaseIsGrantedWithoutContact(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		machines, servers := newWritersCluster(t)
		leader := servers[0]
		assign(t, leader, "m1")
		agent := newLeaseAgent(t, leader)
		agent.request(100)
		machines.setDrops(func(_, _ *Server, _ *controlmsg.Frame) bool { return true })
		time.Sleep(writerlease.LeaseDuration * time.Millisecond)
		_ = leader.state.call(func() { leader.state.setLeadership(true, 99, leader.state.coreAddrs) })
		assign(t, leader, "m1")
		agent.request(5000) // it learns the assignment of the term
		if grant := agent.request(6000); grant != nil && grant.DurationMs > 0 {
			t.Errorf("granted %+v", grant)
		}
	})
}

// A leader assigns the candidates of recorded promotes before it can grant a lease. A proxy may know an earlier
// assignment alone, by which it would write to the old primary.
func TestLeaderAssignsRecordedCandidateFirst(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		_, servers := newWritersCluster(t)
		leader := servers[0]
		leader.loop.offer(func() {
			leader.loop.proposeChange(func(state *config.State) *config.State {
				return state.WithPromote("s", config.Promote{Number: 1, Candidate: "m2", OldPrimary: "m1"})
			})
		})
		time.Sleep(time.Second)
		var grant *controlmsg.WriterLeaseGrant
		_ = leader.state.call(func() {
			leader.state.setLeadership(true, 99, leader.state.coreAddrs)
			request := writerlease.NewHolder(9).Request(100)
			grant = leader.state.writers.granter.Handle(request, leader.contactAge(), leader.now())
		})
		if grant == nil || grant.DurationMs > 0 || len(grant.Assignments) != 1 || grant.Assignments[0].Member != "m2" {
			t.Errorf("the first answer is %+v", grant)
		}
	})
}

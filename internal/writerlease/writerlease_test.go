package writerlease

import (
	"testing"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/member/wire"
)

// pair is a granter and a holder, with clocks that differ.
type pair struct {
	granter *Granter
	holder  *Holder
	offset  float64 // of the holder's clock
}

const leaderAge = 10_000.0 // at the time 0 of these tests

func newPair() *pair {
	return &pair{granter: NewGranter(3, -leaderAge), holder: NewHolder(7), offset: 500}
}

// renew exchanges a request and its answer, at a time on the granter's clock, and the next one if there were assignments.
func (p *pair) renew(contactAge, now float64) {
	for range 2 {
		request := p.holder.Request(now + p.offset)
		request.Driver = "d"
		grant := p.granter.Handle(request, contactAge, now)
		if grant == nil || !p.holder.HandleGrant(grant) {
			return
		}
	}
}

func (p *pair) permission(member string, now float64) Permission {
	return p.holder.Permission("s", member, now+p.offset)
}

func TestLeaseAllowsWritesToAssignedMemberAlone(t *testing.T) {
	p := newPair()
	p.granter.Assign("s", "a")
	if got := p.permission("a", 0); got != Unleased {
		t.Errorf("before the first lease: %v", got)
	}
	p.renew(0, 0)
	if a, b := p.permission("a", 10), p.permission("b", 10); a != Permitted || b != Denied {
		t.Errorf("the assigned member: %v, another: %v", a, b)
	}
	assignment, _ := p.granter.Assign("s", "")
	p.holder.Merge([]controlmsg.WriterAssignment{assignment})
	if got := p.permission("a", 20); got != Denied {
		t.Errorf("after the assignment was withdrawn: %v", got)
	}
}

// Guards against a leader that counts a lease as over before its holder does.
func TestHolderLosesLeaseBeforeGranterCountsItAsOver(t *testing.T) {
	const contactAge, transit = 400.0, 90.0
	p := newPair()
	p.granter.Assign("s", "a")
	p.renew(0, 0)
	request := p.holder.Request(1000 + p.offset)
	request.Driver = "d"
	p.holder.HandleGrant(p.granter.Handle(request, contactAge, 1000+transit))
	p.granter.Assign("s", "b")
	for now := 1000.0; now < 6000; now++ {
		if p.granter.Confirmed("s", now) && p.permission("a", now) == Permitted {
			t.Fatalf("at %.0f ms the holder may still write to a", now)
		}
	}
	if end := 1000 + LeaseDuration - contactAge; p.permission("a", end-1) != Permitted || p.permission("a", end) != Unleased {
		t.Error("the lease does not end with the leader's contact")
	}
	if !p.granter.Confirmed("s", 1000+transit+LeaseDuration*clockMargin) {
		t.Error("the granter waits for a lease that is over")
	}
}

// Guards against a leader that takes a holder's earlier knowledge for a confirmation.
func TestOnlyRequestWithAllAssignmentsConfirms(t *testing.T) {
	p := newPair()
	p.granter.Assign("s", "a")
	p.renew(0, 0)
	before := p.holder.Request(p.offset + 50)
	before.Driver = "d"
	assignment, _ := p.granter.Assign("s", "")
	grant := p.granter.Handle(before, 0, 60)
	if p.granter.Confirmed("s", 60) || grant.DurationMs > 0 || len(grant.Assignments) != 1 {
		t.Errorf("a request from before confirms the assignment, or renews the lease: %+v", grant)
	}
	p.holder.Merge([]controlmsg.WriterAssignment{assignment})
	relayed := p.holder.Request(p.offset + 70)
	relayed.Driver, relayed.Relayed = "d", true
	if p.granter.Handle(relayed, 0, 80) != nil || !p.granter.Confirmed("s", 80) {
		t.Error("a request that a peer relays does not confirm the assignment")
	}
}

// Guards against a new leader that relies on leases of its own alone, while holders have those of the former one.
func TestNewLeaderWaitsForLeasesOfFormerOne(t *testing.T) {
	granter := NewGranter(4, 1000)
	granter.Assign("s", "")
	if granter.Confirmed("s", 1000+LeaseDuration) || !granter.Confirmed("s", 1000+LeaseDuration*clockMargin) {
		t.Error("the granter does not wait for the end of the leases of the former leader")
	}
}

func TestAssignmentsOfLaterTermReplaceEarlierOnes(t *testing.T) {
	p := newPair()
	for range 3 {
		p.granter.Assign("s", "a")
		p.granter.Assign("s", "b")
	}
	p.renew(0, 0)
	late, _ := p.granter.Assign("s", "c")
	p.granter = NewGranter(4, 100)
	p.granter.Assign("s", "d")
	p.renew(0, 200)
	if p.holder.Merge([]controlmsg.WriterAssignment{late}) || p.permission("d", 210) != Permitted {
		t.Error("an assignment of the former leader holds")
	}
	deposed := NewGranter(3, -leaderAge)
	if deposed.Handle(p.holder.Request(300), 0, 300) != nil {
		t.Error("a deposed leader answers a holder that knows its successor")
	}
}

// A holder that has no assignment of the term, as none was made, gets a lease, and keeps the assignments of earlier terms.
func TestLeaseWithoutAssignmentsOfTheTerm(t *testing.T) {
	p := newPair()
	p.granter.Assign("s", "a")
	p.renew(0, 0)
	p.granter = NewGranter(4, 100)
	p.renew(0, 2900)
	if got := p.permission("a", 4000); got != Permitted {
		t.Errorf("%v", got)
	}
}

func TestLeasesThatAreNotRequired(t *testing.T) {
	p := newPair()
	p.holder.SetRequired(false)
	if got := p.permission("a", 0); got != Permitted {
		t.Errorf("without a lease: %v", got)
	}
	p.granter.Assign("s", "b")
	p.renew(0, 0)
	if got := p.permission("a", 10); got != Denied {
		t.Errorf("with one, which the leader relies on: %v", got)
	}
}

func TestExpireForgetsHolders(t *testing.T) {
	p := newPair()
	p.renew(0, 0)
	if p.granter.Expire(10) != 1 || p.granter.Expire(2*LeaseDuration) != 0 || len(p.granter.holders) != 0 {
		t.Error("holders whose lease is over are kept, or others are not")
	}
}

func TestConfirms(t *testing.T) {
	commit := wire.Position{Term: 2, Number: 9}
	replica := func(term, receivedTerm, number, promised uint64, primary bool) wire.MemberStatus {
		return wire.MemberStatus{Primary: primary, Term: term, PromisedTerm: promised,
			Received: wire.Position{Term: receivedTerm, Number: number}}
	}
	for _, c := range []struct {
		what   string
		status wire.MemberStatus
		want   bool
	}{
		{"a replica that has the commit", replica(2, 2, 9, 0, false), true},
		{"one that has later ones too", replica(2, 2, 12, 0, false), true},
		{"one that lacks it", replica(2, 2, 8, 0, false), false},
		{"one that a failover has paused", replica(2, 2, 9, 3, false), false},
		{"one that follows a later primary", replica(3, 2, 9, 0, false), false},
		{"one with entries of a later primary", replica(3, 3, 9, 0, false), false},
		{"a primary", replica(2, 2, 9, 2, true), false},
	} {
		if got := Confirms(c.status, commit); got != c.want {
			t.Errorf("%s: %v", c.what, got)
		}
	}
	p := newPair()
	if p.holder.MayConfirm(-1e9) {
		t.Error("a replica may confirm commits though there never was a lease")
	}
	p.renew(0, 5000)
	if requested := 5000 + p.offset; !p.holder.MayConfirm(requested-rosterDelay) || p.holder.MayConfirm(requested) {
		t.Error("the replicas that may confirm are not those from before the lease")
	}
}

package orders

import (
	"errors"
	"fmt"
	"hash/fnv"
	"testing"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/session/sites"
	"weirwind/internal/shard/shardmap"
)

const (
	wantAnswers uint64 = 0x6dc4869b2c4a3a97
	wantKinds   uint64 = 0xa406261dd6d640df
)

// Every answer of every queue, in order, over 60 histories of operators' calls under faults; and the responses that
// the operators got. Any change of a decision, its text, its time or its state changes the digest.
func TestAnswersAsRecorded(t *testing.T) {
	h := fnv.New64a()
	kinds := map[string]int{}
	for seed := range uint64(60) {
		var sim *simulation
		see := func(at int, a Answer) {
			gen := uint64(0)
			if a.State != nil {
				gen = a.State.Version
			}
			fmt.Fprintf(h, "%d %d %q %d %q %d\n", at, a.Status, a.Body, a.Outcome, reasonOf(a), gen)
			kinds[fmt.Sprint(a.Status, a.Outcome, reasonOf(a))]++
		}
		sim = simulate(t, seed, see)
		for _, o := range sim.history {
			in, out := o.Input.(request), o.Output.(response)
			fmt.Fprintln(h, o.ClientId, o.Call, o.Return, in.read, in.base, in.gen, in.id, in.valid, out.code, out.gen, out.id)
		}
	}
	if got := h.Sum64(); got != wantAnswers {
		t.Errorf("%#x, recorded %#x", got, wantAnswers)
	}
	t.Log(kinds)
}

// reasonOf is an answer's reason as it was recorded, when ErrNotLeader had one too.
func reasonOf(a Answer) string {
	if errors.Is(a.Err, ErrNotLeader) {
		return "not_leading"
	}
	return a.Reason
}

// Requests of the other kinds, valid and invalid: shards, sites, leases, and members to forget.
func TestOtherKindsAsRecorded(t *testing.T) {
	h := fnv.New64a()
	c := newCluster(t, 9, 3)
	lead := c.waitForLeader()
	site := sites.Site{Addr: "s:1", HTTPAddr: "s:2", Zone: "z", Region: "r", Incarnation: 7}
	for _, r := range []controlmsg.Request{
		{ReadConfig: true},
		{SiteLease: &controlmsg.SiteLeaseRequest{Site: "a", Incarnation: 7}},
		replacement(0, 1, 1),
		{ReadConfig: true},
		{SiteChange: &sites.Change{Kind: sites.ChangeJoin, Name: "a", Site: site}},
		{SiteChange: &sites.Change{Kind: sites.ChangeJoin, Name: "a", Site: site}},
		{SiteChange: &sites.Change{Kind: sites.ChangeJoin, Name: "", Site: site}},
		{SiteLease: &controlmsg.SiteLeaseRequest{Site: "a", Incarnation: 7}},
		{SiteLease: &controlmsg.SiteLeaseRequest{Site: "a", Incarnation: 6}},
		{SiteLease: &controlmsg.SiteLeaseRequest{Site: "b", Incarnation: 7}},
		{ShardChange: &shardmap.Change{Kind: shardmap.ChangeEndTask, Shard: "1"}},
		{ForgetMember: "m"},
		{BaseVersion: 0, Body: []byte("{")},
		{Amend: true, BaseVersion: 1, Body: []byte(`{"upsert":{}}`)},
		amendment(1, 2, 3),
		replacement(1, 9, 9),
		replacement(8, 9, 9),
	} {
		a := c.submit(lead, r)
		c.await(a)
		fmt.Fprintf(h, "%d %q %d %q %d\n", a.Status, a.Body, a.Outcome, reasonOf(*a), a.State.Version)
	}
	if got := h.Sum64(); got != wantKinds {
		t.Errorf("%#x, recorded %#x", got, wantKinds)
	}
}

// The texts of a queue that is full, and of a server that leads no longer.
func TestUnclearAnswersAsRecorded(t *testing.T) {
	c := newCluster(t, 9, 3)
	lead := c.waitForLeader()
	var got []Answer
	ask := func(q *Queue) {
		q.Submit(&Order{Request: replacement(0, 1, 1), Reply: func(a Answer) { got = append(got, a) }}, c.now)
	}
	q := New(Limits{Pending: 2, Timeout: 3000})
	ask(q)
	ask(q)
	ask(q)
	for _, srv := range c.servers {
		if srv != lead {
			q.Step(srv.node, srv.state, c.now, 0)
			break
		}
	}
	deposed := New(Limits{Pending: 2, Timeout: 1e9})
	ask(deposed)
	c.isolate(lead)
	deposed.Step(lead.node, lead.state, c.now, 0)
	c.waitForOtherLeader(lead)
	c.recoverAll()
	for range 300 {
		c.step(0)
	}
	deposed.Step(lead.node, lead.state, c.now, 0)
	want := []string{
		`503 "too many calls wait\n" 0 "" false`,
		`503 "this machine leads no longer; ask again\n" 0 "not_leading" true`,
		`503 "this machine leads no longer; ask again\n" 0 "not_leading" true`,
		`503 "this machine led no longer as it was decided; ask again\n" 0 "not_leading" true`,
	}
	for i, a := range got {
		text := fmt.Sprintf("%d %q %d %q %t", a.Status, a.Body, a.Outcome, reasonOf(a), a.State != nil)
		if i >= len(want) || text != want[i] {
			t.Errorf("answer %d: %s", i, text)
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d answers", len(got))
	}
}

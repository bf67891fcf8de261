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

// Every answer of every queue, in order, over 60 histories of operators' orders with the core in trouble; and what the operators
// were told. Any change of a decision, its text, its time or its state changes the digest.
func TestAnswersAsRecorded(t *testing.T) {
	h := fnv.New64a()
	kinds := map[string]int{}
	for seed := range uint64(60) {
		var g *game
		see := func(at int, a Answer) {
			gen := uint64(0)
			if a.State != nil {
				gen = a.State.Version
			}
			fmt.Fprintf(h, "%d %d %q %d %q %d\n", at, a.Status, a.Body, a.Outcome, reasonOf(a), gen)
			kinds[fmt.Sprint(a.Status, a.Outcome, reasonOf(a))]++
		}
		g = play(t, seed, see)
		for _, o := range g.history {
			in, out := o.Input.(asked), o.Output.(told)
			fmt.Fprintln(h, o.ClientId, o.Call, o.Return, in.show, in.base, in.gen, in.id, in.valid, out.code, out.gen, out.id)
		}
	}
	if got := h.Sum64(); got != wantAnswers {
		t.Errorf("%#x, recorded %#x", got, wantAnswers)
	}
	t.Log(kinds)
}

// reasonOf is an answer's reason as it was recorded, when a machine that leads no longer gave one.
func reasonOf(a Answer) string {
	if errors.Is(a.Err, ErrNotLeader) {
		return "not_leading"
	}
	return a.Reason
}

// Calls of the other kinds: shards, sites, grants and members that are struck, right and wrong, and what the entries carry.
func TestOtherKindsAsRecorded(t *testing.T) {
	h := fnv.New64a()
	c := newCore(t, 9, 3)
	lead := c.ready()
	site := sites.Site{Addr: "s:1", HTTPAddr: "s:2", Zone: "z", Region: "r", Incarnation: 7}
	for _, r := range []controlmsg.Request{
		{ReadConfig: true},
		{SiteLease: &controlmsg.SiteLeaseRequest{Site: "a", Incarnation: 7}},
		replace(0, 1, 1),
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
		amend(1, 2, 3),
		replace(1, 9, 9),
		replace(8, 9, 9),
	} {
		a := c.at(lead, r)
		c.until(a)
		fmt.Fprintf(h, "%d %q %d %q %d\n", a.Status, a.Body, a.Outcome, reasonOf(*a), a.State.Version)
	}
	if got := h.Sum64(); got != wantKinds {
		t.Errorf("%#x, recorded %#x", got, wantKinds)
	}
}

// Callers see these texts of a queue that is full, and of a machine that leads no longer.
func TestUnclearAnswersAsRecorded(t *testing.T) {
	c := newCore(t, 9, 3)
	lead := c.ready()
	var got []Answer
	ask := func(q *Queue) {
		q.Submit(&Order{Request: replace(0, 1, 1), Reply: func(a Answer) { got = append(got, a) }}, c.now)
	}
	q := New(Limits{Pending: 2, Timeout: 3000})
	ask(q)
	ask(q)
	ask(q)
	for _, m := range c.hosts {
		if m != lead {
			q.Step(m.node, m.state, c.now, 0)
			break
		}
	}
	deposed := New(Limits{Pending: 2, Timeout: 1e9})
	ask(deposed)
	c.part(lead)
	deposed.Step(lead.node, lead.state, c.now, 0)
	c.other(lead)
	c.wake()
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
		if text := fmt.Sprintf("%d %q %d %q %t", a.Status, a.Body, a.Outcome, reasonOf(a), a.State != nil); i >= len(want) || text != want[i] {
			t.Errorf("answer %d: %s", i, text)
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d answers", len(got))
	}
}

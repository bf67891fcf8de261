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
	wantAnswersDigest    uint64 = 0x6dc4869b2c4a3a97
	wantOtherKindsDigest uint64 = 0xa406261dd6d640df
)

// Digests every answer of every queue, in order, over 60 simulations of operators' calls under faults, and the
// responses that the operators got. Any change of a decision, its text, its time or its state changes the digest.
func TestAnswersMatchRecordedDigest(t *testing.T) {
	digest := fnv.New64a()
	counts := map[string]int{}
	for seed := range uint64(60) {
		var sim *simulation
		onAnswer := func(at int, a Answer) {
			version := uint64(0)
			if a.State != nil {
				version = a.State.Version
			}
			fmt.Fprintf(digest, "%d %d %q %d %q %d\n", at, a.Status, a.Body, a.Outcome, reasonOf(a), version)
			counts[fmt.Sprint(a.Status, a.Outcome, reasonOf(a))]++
		}
		sim = simulate(t, seed, onAnswer)
		for _, op := range sim.history {
			in, out := op.Input.(request), op.Output.(response)
			fmt.Fprintln(digest, op.ClientId, op.Call, op.Return, in.read, in.base, in.version, in.id, in.valid,
				out.code, out.version, out.id)
		}
	}
	if got := digest.Sum64(); got != wantAnswersDigest {
		t.Errorf("%#x, recorded %#x", got, wantAnswersDigest)
	}
	t.Log(counts)
}

// reasonOf returns an answer's reason in the recorded form, in which ErrNotLeader has the reason "not_leading".
func reasonOf(a Answer) string {
	if errors.Is(a.Err, ErrNotLeader) {
		return "not_leading"
	}
	return a.Reason
}

// Digests the answers to all kinds of requests, valid and invalid: shards, sites, leases, and members to forget.
func TestOtherRequestKindsMatchRecordedDigest(t *testing.T) {
	digest := fnv.New64a()
	c := newCluster(t, 9, 3)
	leader := c.waitForLeader()
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
		a := c.submit(leader, r)
		c.awaitStatus(a)
		fmt.Fprintf(digest, "%d %q %d %q %d\n", a.Status, a.Body, a.Outcome, reasonOf(*a), a.State.Version)
	}
	if got := digest.Sum64(); got != wantOtherKindsDigest {
		t.Errorf("%#x, recorded %#x", got, wantOtherKindsDigest)
	}
}

// Checks the answers of a full queue, of a server that is not the leader, and of one that was deposed.
func TestUnknownOutcomeTexts(t *testing.T) {
	c := newCluster(t, 9, 3)
	leader := c.waitForLeader()
	var got []Answer
	submit := func(q *Queue) {
		q.Submit(&Order{Request: replacement(0, 1, 1), Reply: func(a Answer) { got = append(got, a) }}, c.now)
	}
	q := New(Limits{Pending: 2, Timeout: 3000})
	submit(q)
	submit(q)
	submit(q)
	for _, srv := range c.servers {
		if srv != leader {
			q.Step(srv.node, srv.state, c.now, 0)
			break
		}
	}
	deposed := New(Limits{Pending: 2, Timeout: 1e9})
	submit(deposed)
	c.isolate(leader)
	deposed.Step(leader.node, leader.state, c.now, 0)
	c.waitForOtherLeader(leader)
	c.recoverAll()
	for range 300 {
		c.step(0)
	}
	deposed.Step(leader.node, leader.state, c.now, 0)
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

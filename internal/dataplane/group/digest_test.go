package group

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/member/wire"
)

// history plays one seeded history of a group in virtual time and records each decision.
//
// Two outputs depend on chance or on map iteration and are recorded as sets: equal choices are collected over
// repeated calls (Route changes nothing), and members to be probed are sorted.
type history struct {
	rng  *rand.Rand
	g    *Group
	now  float64
	sent []flight
	old  []*Member // every record that ever was: answers come late, also behind a removal
	out  strings.Builder
	seq  uint64
}

type flight struct {
	m  *Member
	at float64
}

const choiceDraws = 96 // calls of Route by which ties of up to four members all show

func (h *history) note(format string, args ...any) { fmt.Fprintf(&h.out, format+"\n", args...) }

func (h *history) ids() []string { return slices.Sorted(maps.Keys(h.g.Members)) }

func (h *history) member() *Member {
	ids := h.ids()
	if len(ids) == 0 || h.rng.IntN(20) == 0 && len(h.old) > 0 {
		if len(h.old) == 0 {
			return nil
		}
		return h.old[h.rng.IntN(len(h.old))]
	}
	return h.g.Members[ids[h.rng.IntN(len(ids))]]
}

func (h *history) position() wire.Position {
	if h.rng.IntN(8) == 0 {
		return wire.Position{}
	}
	return wire.Position{Term: 1 + uint64(h.now/4000), Number: uint64(h.now/10) + h.rng.Uint64N(40)}
}

func (h *history) learn() {
	h.seq++
	id := string(rune('a' + h.rng.IntN(4)))
	r := directory.Member{ID: id, Service: "s", Zone: []string{"here", "near", "far"}[h.rng.IntN(3)], Seq: h.seq,
		Role: directory.Role(h.rng.IntN(3)), Incarnation: 1 + uint64(h.now/3000), Draining: h.rng.IntN(8) == 0,
		Tombstone: h.rng.IntN(16) == 0}
	h.g.UpdateMember(r, h.now)
	if m := h.g.Members[id]; m != nil && !slices.Contains(h.old, m) {
		h.old = append(h.old, m)
	}
}

func (h *history) choose() {
	need := &Requirement{}
	switch h.rng.IntN(4) {
	case 0:
		need.Write = true
	case 1:
		need.Linearizable = true
	case 2:
		need.AckedBefore = h.now - 500*h.rng.Float64()
	case 3:
		need.AckedBefore = h.now - 500*h.rng.Float64()
		need.SessionCommit, need.SessionCommitAt = h.position(), h.now-600*h.rng.Float64()
	}
	full, avoided := h.rng.IntN(32), h.rng.IntN(32)
	in := func(set int) func(id string) bool {
		return func(id string) bool { return set < 16 && set&(1<<(id[0]-'a')) != 0 }
	}
	found := map[string]bool{}
	for range choiceDraws {
		c := h.g.Route(need, h.now, func(m *Member) bool { return !in(full)(m.ID) }, in(avoided))
		id := "-"
		if c.Member != nil {
			id = c.Member.ID
		}
		found[fmt.Sprint(id, c.MinPosition, c.VerifyPrimary)] = true
	}
	h.note("choose %v", slices.Sorted(maps.Keys(found)))
}

func (h *history) answer() {
	if len(h.sent) == 0 {
		return
	}
	i := h.rng.IntN(len(h.sent))
	f := h.sent[i]
	h.sent = slices.Delete(h.sent, i, i+1)
	f.m.InFlight--
	w := AnsweredAsPrimary
	if h.rng.IntN(3) == 0 {
		w = Outcome(h.rng.IntN(6))
	}
	h.g.RecordOutcome(f.m, f.at, h.now, w, h.position())
}

func (h *history) probes() {
	var asked []string
	for _, m := range h.g.ProbesToSend(h.now) {
		asked = append(asked, m.ID)
	}
	slices.Sort(asked)
	h.note("probes %v", asked)
	for _, id := range asked {
		m := h.g.Members[id]
		if h.rng.IntN(4) == 0 {
			h.g.RecordProbeFailure(m)
			continue
		}
		sentAt := h.now - 20*h.rng.Float64()
		status := wire.MemberStatus{Primary: h.rng.IntN(3) == 0, Received: h.position()}
		h.g.RecordProbe(m, sentAt, h.now, status)
	}
}

func (h *history) step() {
	h.now += 60 * h.rng.Float64()
	switch what := h.rng.IntN(20); {
	case what < 3:
		h.learn()
	case what < 8:
		if m := h.member(); m != nil {
			m.InFlight++
			h.g.RecordSend(m, h.now, h.rng.IntN(3) == 0)
			h.sent = append(h.sent, flight{m, h.now})
		}
	case what < 13:
		h.answer()
	case what < 17:
		h.choose()
	case what < 19:
		h.note("doubt %v", h.g.SuspectPrimary(h.now))
		h.probes()
	default:
		h.now += 400 * h.rng.Float64()
	}
	h.note("%.3f slot %v why %q usual %.6f stuck %v owing %.6f", h.now, h.g.Slot, h.g.SlotReason,
		h.g.TypicalLatency(), h.g.CommitsStalled(h.now), h.g.PrimaryUnresponsiveFor(h.now))
}

// The decisions over many histories of members that lead, drain, lag, fall silent, refuse connections and go.
func TestDigestOfHistories(t *testing.T) {
	const want = uint64(0xf7cc65d215e6178b)
	sum := fnv.New64a()
	seen := map[string]int{}
	for seed := range uint64(60) {
		h := &history{rng: rand.New(rand.NewPCG(seed, 7)), now: 1000}
		h.g = NewGroup("s", func(zone string) Distance { return map[string]Distance{"here": 0, "near": 1, "far": 2}[zone] })
		for range 600 {
			h.step()
		}
		sum.Write([]byte(h.out.String()))
		for _, what := range []string{"gone", "draining", "replica\"", "by beat", "by answer", "by probe", "miss\"",
			"miss, late", "takes no connection", "replica by probe", "doubt true", "stuck true", "probes [a"} {
			seen[what] += strings.Count(h.out.String(), what)
		}
	}
	for what, n := range seen {
		if n < 20 {
			t.Errorf("the histories hardly reach %q: %d", what, n)
		}
	}
	if got := sum.Sum64(); got != want {
		t.Errorf("digest %#x, want %#x", got, want)
	}
}

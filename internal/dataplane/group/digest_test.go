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

// history simulates one seeded history of a group in virtual time and records each decision.
//
// Two outputs depend on random choices or on map iteration and are recorded as sets: targets of equal load are
// collected over repeated calls (Route has no side effects), and members to be probed are sorted.
type history struct {
	rng        *rand.Rand
	g          *Group
	now        float64
	pending    []sentRequest
	everListed []*Member // all members that were ever listed: answers may arrive after a removal
	transcript strings.Builder
	seq        uint64
}

type sentRequest struct {
	member *Member
	sentAt float64
}

const routeCalls = 96 // calls of Route, enough to return each of up to four equal members

// record adds a line to the transcript. Its texts are part of the expected hash.
func (h *history) record(format string, args ...any) {
	fmt.Fprintf(&h.transcript, format+"\n", args...)
}

func (h *history) ids() []string { return slices.Sorted(maps.Keys(h.g.Members)) }

func (h *history) randomMember() *Member {
	ids := h.ids()
	if len(ids) == 0 || h.rng.IntN(20) == 0 && len(h.everListed) > 0 {
		if len(h.everListed) == 0 {
			return nil
		}
		return h.everListed[h.rng.IntN(len(h.everListed))]
	}
	return h.g.Members[ids[h.rng.IntN(len(ids))]]
}

func (h *history) randomPosition() wire.Position {
	if h.rng.IntN(8) == 0 {
		return wire.Position{}
	}
	return wire.Position{Term: 1 + uint64(h.now/4000), Number: uint64(h.now/10) + h.rng.Uint64N(40)}
}

func (h *history) updateMember() {
	h.seq++
	id := string(rune('a' + h.rng.IntN(4)))
	r := directory.Member{ID: id, Service: "s", Zone: []string{"here", "near", "far"}[h.rng.IntN(3)], Seq: h.seq,
		Role: directory.Role(h.rng.IntN(3)), Incarnation: 1 + uint64(h.now/3000), Draining: h.rng.IntN(8) == 0,
		Tombstone: h.rng.IntN(16) == 0}
	h.g.UpdateMember(r, h.now)
	if m := h.g.Members[id]; m != nil && !slices.Contains(h.everListed, m) {
		h.everListed = append(h.everListed, m)
	}
}

func (h *history) route() {
	req := &Requirement{}
	switch h.rng.IntN(4) {
	case 0:
		req.Write = true
	case 1:
		req.Linearizable = true
	case 2:
		req.AckedBefore = h.now - 500*h.rng.Float64()
	case 3:
		req.AckedBefore = h.now - 500*h.rng.Float64()
		req.SessionCommit, req.SessionCommitAt = h.randomPosition(), h.now-600*h.rng.Float64()
	}
	full, avoided := h.rng.IntN(32), h.rng.IntN(32)
	in := func(set int) func(id string) bool {
		return func(id string) bool { return set < 16 && set&(1<<(id[0]-'a')) != 0 }
	}
	found := map[string]bool{}
	for range routeCalls {
		target := h.g.Route(req, h.now, func(m *Member) bool { return !in(full)(m.ID) }, in(avoided))
		id := "-"
		if target.Member != nil {
			id = target.Member.ID
		}
		found[fmt.Sprint(id, target.MinPosition, target.VerifyPrimary)] = true
	}
	h.record("choose %v", slices.Sorted(maps.Keys(found)))
}

func (h *history) finishRequest() {
	if len(h.pending) == 0 {
		return
	}
	i := h.rng.IntN(len(h.pending))
	request := h.pending[i]
	h.pending = slices.Delete(h.pending, i, i+1)
	request.member.InFlight--
	outcome := AnsweredAsPrimary
	if h.rng.IntN(3) == 0 {
		outcome = Outcome(h.rng.IntN(6))
	}
	h.g.RecordOutcome(request.member, request.sentAt, h.now, outcome, h.randomPosition())
}

func (h *history) probe() {
	var probed []string
	for _, m := range h.g.ProbesToSend(h.now) {
		probed = append(probed, m.ID)
	}
	slices.Sort(probed)
	h.record("probes %v", probed)
	for _, id := range probed {
		m := h.g.Members[id]
		if h.rng.IntN(4) == 0 {
			h.g.RecordProbeFailure(m)
			continue
		}
		sentAt := h.now - 20*h.rng.Float64()
		status := wire.MemberStatus{Primary: h.rng.IntN(3) == 0, Received: h.randomPosition()}
		h.g.RecordProbe(m, sentAt, h.now, status)
	}
}

func (h *history) step() {
	h.now += 60 * h.rng.Float64()
	switch action := h.rng.IntN(20); {
	case action < 3:
		h.updateMember()
	case action < 8:
		if m := h.randomMember(); m != nil {
			m.InFlight++
			h.g.RecordSend(m, h.now, h.rng.IntN(3) == 0)
			h.pending = append(h.pending, sentRequest{m, h.now})
		}
	case action < 13:
		h.finishRequest()
	case action < 17:
		h.route()
	case action < 19:
		h.record("doubt %v", h.g.SuspectPrimary(h.now))
		h.probe()
	default:
		h.now += 400 * h.rng.Float64()
	}
	h.record("%.3f slot %v why %q usual %.6f stuck %v owing %.6f", h.now, h.g.Slot, h.g.SlotReason,
		h.g.TypicalLatency(), h.g.CommitsStalled(h.now), h.g.PrimaryUnresponsiveFor(h.now))
}

// The decisions in random histories of members that become primary, drain, lag, stop answering, refuse connections and
// are removed.
func TestDecisionsInRandomHistories(t *testing.T) {
	const want = uint64(0x149e7fb5d8ba7877)
	hash := fnv.New64a()
	occurrences := map[string]int{}
	for seed := range uint64(80) {
		h := &history{rng: rand.New(rand.NewPCG(seed, 7)), now: 1000}
		h.g = NewGroup("s", func(zone string) Distance { return map[string]Distance{"here": 0, "near": 1, "far": 2}[zone] })
		for range 600 {
			h.step()
		}
		hash.Write([]byte(h.transcript.String()))
		for _, text := range []string{"gone", "draining", "replica\"", "by beat", "by answer", "by probe", "miss\"",
			"miss, late", "takes no connection", "replica by probe", "doubt true", "stuck true", "probes [a"} {
			occurrences[text] += strings.Count(h.transcript.String(), text)
		}
	}
	for text, n := range occurrences {
		if n < 20 {
			t.Errorf("the histories reach %q only %d times", text, n)
		}
	}
	if got := hash.Sum64(); got != want {
		t.Errorf("hash %#x, want %#x", got, want)
	}
}

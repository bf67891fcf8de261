package emulator

// This file owns the baselines: plain policies that stand where the module stands. They must never use what the module
// has learned to use: each sends once and hopes.

import (
	"math/rand/v2"

	"weirwind/logic"
)

// baseline sends writes to whoever it last saw as primary, and reads by its rule; it never tries twice.
type baseline struct {
	rule     string
	types    []logic.OpType
	draw     *rand.Rand
	members  map[int64][]string
	primary  map[int64]string
	draining map[string]bool
	group    map[string]int64
	inFlight map[string]int
	next     int
	kinds    map[string]int
	out      []logic.Action
}

func newBaseline(rule string, types []logic.OpType, seed uint64) *baseline {
	return &baseline{
		rule:     rule,
		types:    types,
		draw:     rand.New(rand.NewPCG(seed, 77)),
		members:  map[int64][]string{},
		primary:  map[int64]string{},
		draining: map[string]bool{},
		group:    map[string]int64{},
		inFlight: map[string]int{},
		kinds:    map[string]int{},
	}
}

func (b *baseline) Step(now float64, events []logic.Event) []logic.Action {
	b.out = b.out[:0]
	for i := range events {
		ev := &events[i]
		switch ev.Kind {
		case logic.EvMembers:
			b.update(ev.Members)
		case logic.EvOp:
			to := b.choose(ev)
			if to == "" {
				b.out = append(b.out, logic.Action{Kind: logic.ActRefuse, Op: ev.Op})
				break
			}
			b.kinds[ev.Op] = ev.OpType
			b.inFlight[to]++
			b.out = append(b.out, logic.Action{Kind: logic.ActSend, Op: ev.Op, Member: to, Wait: ev.Left - 15})
		case logic.EvAnswer:
			b.inFlight[ev.Member]--
			if g := b.group[ev.Member]; ev.Note.Role == logic.Primary {
				b.primary[g] = ev.Member
			} else if ev.Note.Role == logic.Replica && b.primary[g] == ev.Member {
				delete(b.primary, g)
			}
			kind := b.kinds[ev.Op]
			delete(b.kinds, ev.Op)
			if ev.Closed {
				break
			}
			ran := ev.Outcome != logic.Miss && ev.Outcome != logic.Full && ev.Outcome != logic.ConnectFailed
			if ran && b.types[kind].Effect != logic.Retryable {
				b.out = append(b.out, logic.Action{Kind: logic.ActFail, Op: ev.Op})
			} else {
				b.out = append(b.out, logic.Action{Kind: logic.ActRefuse, Op: ev.Op})
			}
		}
	}
	return b.out
}

// update takes a list of members.
func (b *baseline) update(members []logic.ListEntry) {
	for _, e := range members {
		if _, known := b.group[e.Member]; !known {
			b.members[e.Group] = append(b.members[e.Group], e.Member)
			b.group[e.Member] = e.Group
		}
		if b.draining[e.Member] = e.Phase != logic.Ready; e.Primary {
			b.primary[e.Group] = e.Member
		}
	}
}

func (b *baseline) choose(ev *logic.Event) string {
	var can []string
	for _, m := range b.members[ev.Group] {
		if !b.draining[m] {
			can = append(can, m)
		}
	}
	if len(can) == 0 {
		return ""
	}
	p, known := b.primary[ev.Group]
	if !known || b.draining[p] {
		p = can[b.draw.IntN(len(can))]
	}
	if b.types[ev.OpType].Need >= logic.Fresh || b.rule == "primary" {
		return p
	}
	switch b.rule {
	case "round-robin":
		b.next++
		return can[b.next%len(can)]
	case "least":
		best := can[b.draw.IntN(len(can))]
		for _, m := range can {
			if b.inFlight[m] < b.inFlight[best] {
				best = m
			}
		}
		return best
	}
	return can[b.draw.IntN(len(can))]
}

package emulator

// This file owns the baselines: simple policies that replace the module. They send each op once and track nothing about
// members but which one is primary.

import (
	"math/rand/v2"

	"weirwind/logic"
)

// baseline sends writes to the last known primary, and reads by its rule.
type baseline struct {
	rule     string // one of the policies of a setup
	types    []logic.OpType
	random   *rand.Rand
	members  map[int64][]string // by group
	primary  map[int64]string   // by group: the last known primary
	draining map[string]bool
	group    map[string]int64 // by member
	inFlight map[string]int   // by member
	next     int              // counter of round-robin
	kinds    map[string]int   // op types of open ops
	actions  []logic.Action
}

func newBaseline(rule string, types []logic.OpType, seed uint64) *baseline {
	return &baseline{
		rule:     rule,
		types:    types,
		random:   rand.New(rand.NewPCG(seed, 77)),
		members:  map[int64][]string{},
		primary:  map[int64]string{},
		draining: map[string]bool{},
		group:    map[string]int64{},
		inFlight: map[string]int{},
		kinds:    map[string]int{},
	}
}

// Step implements policy.
func (b *baseline) Step(_ float64, events []logic.Event) []logic.Action {
	b.actions = b.actions[:0]
	for i := range events {
		switch e := &events[i]; e.Kind {
		case logic.EvMembers:
			b.update(e.Members)
		case logic.EvOp:
			b.send(e)
		case logic.EvAnswer:
			b.answer(e)
		}
	}
	return b.actions
}

// send sends an op to the chosen member, or refuses it if there is none.
func (b *baseline) send(event *logic.Event) {
	const margin = 15 // milliseconds of the op's time that remain after the attempt's timeout
	member := b.choose(event)
	if member == "" {
		b.actions = append(b.actions, logic.Action{Kind: logic.ActRefuse, Op: event.Op})
		return
	}
	b.kinds[event.Op] = event.OpType
	b.inFlight[member]++
	send := logic.Action{Kind: logic.ActSend, Op: event.Op, Member: member, Wait: event.Left - margin}
	b.actions = append(b.actions, send)
}

// answer learns a member's role from its answer, and answers an op that is still open: it refuses an op that is proved
// not to have been executed or is retryable, and fails any other.
func (b *baseline) answer(event *logic.Event) {
	b.inFlight[event.Member]--
	if g := b.group[event.Member]; event.Note.Role == logic.Primary {
		b.primary[g] = event.Member
	} else if event.Note.Role == logic.Replica && b.primary[g] == event.Member {
		delete(b.primary, g)
	}
	kind := b.kinds[event.Op]
	delete(b.kinds, event.Op)
	if event.Closed {
		return
	}
	mayHaveRun := event.Outcome != logic.Miss && event.Outcome != logic.Full && event.Outcome != logic.ConnectFailed
	if mayHaveRun && b.types[kind].Effect != logic.Retryable {
		b.actions = append(b.actions, logic.Action{Kind: logic.ActFail, Op: event.Op})
	} else {
		b.actions = append(b.actions, logic.Action{Kind: logic.ActRefuse, Op: event.Op})
	}
}

// update applies entries of the list of members.
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

// choose returns the member for an op, or "" if there is none.
func (b *baseline) choose(event *logic.Event) string {
	var candidates []string
	for _, m := range b.members[event.Group] {
		if !b.draining[m] {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	primary, known := b.primary[event.Group]
	if !known || b.draining[primary] {
		primary = b.drawOne(candidates)
	}
	if b.types[event.OpType].Need >= logic.Fresh || b.rule == PolicyPrimary {
		return primary
	}
	switch b.rule {
	case PolicyRoundRobin:
		b.next++
		return candidates[b.next%len(candidates)]
	case PolicyLeastLoaded:
		best := b.drawOne(candidates)
		for _, m := range candidates {
			if b.inFlight[m] < b.inFlight[best] {
				best = m
			}
		}
		return best
	}
	return b.drawOne(candidates)
}

func (b *baseline) drawOne(members []string) string { return members[b.random.IntN(len(members))] }

package failover

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
)

// inOrder gives a step's acts with those of kind Covered, which come last and from a map, in order of their members.
func inOrder(acts []Action) []Action {
	first := slices.IndexFunc(acts, func(a Action) bool { return a.Kind == AllowRemoval })
	if first >= 0 {
		slices.SortFunc(acts[first:], func(a, b Action) int { return cmp.Compare(a.ID, b.ID) })
	}
	return acts
}

// digestHistory plays a seeded history of losses, planned hand-overs, drains, second losses, late and lost calls, lost answers,
// accusations and doubt, and hashes every act, fencing token and state text in order.
func digestHistory(seed uint64, syncN int, ids ...string) (uint64, map[string]int) {
	p := newPassOf(seed, syncN, ids...)
	p.core.hard = true
	sum, kinds := fnv.New64a(), map[string]int{}
	p.record = func(parts ...any) {
		fmt.Fprintln(sum, parts...)
		if k, ok := parts[0].(ActionKind); ok {
			kinds[fmt.Sprint("act ", k)]++
		} else if parts[0] == "step" {
			kinds[p.s.State()[:4]]++
		}
	}
	var accused, cleared, stuck int
	doubt, mute := false, ""
	p.alter = func(v *View) {
		v.SuspectReports, v.HealthyReports, v.MembershipUncertain = accused, cleared, doubt
		v.StallReports += stuck
		for i := range v.Members {
			v.Members[i].Distance = float64(i % 2)
			if v.Members[i].ID == mute {
				v.Members[i].SinceHeartbeat += 5000
			}
			v.Members[i].Generation = [...]string{"v1", "v2"}[int(seed+uint64(i))/2%2]
		}
	}
	drain := func() {
		if lead := p.g.Leader(); lead != nil {
			lead.Drains = true
		}
	}
	p.run(2500)
	for range 5 {
		for range 1 + p.r.IntN(3) {
			switch p.r.IntN(14) {
			case 0:
				accused, cleared = 1+p.r.IntN(4), p.r.IntN(2)
			case 1:
				doubt = true
				drain()
			case 2:
				stuck = 2
			case 3:
				p.refuses = true
				p.hardTrouble()
			case 4: // a planned hand-over in which the successor gets nothing
				drain()
				p.g.Members[p.r.IntN(len(p.g.Members))].Deaf = true
			case 5: // both ends of a planned hand-over fall
				drain()
				p.in(800*p.r.Float64(), func() {
					if m := p.g.Get(p.s.candidate); m != nil {
						m.Up = false
					}
					if m := p.g.Get(p.s.oldPrimary); m != nil && p.r.IntN(2) == 0 {
						m.Up = false
					}
				})
			case 6: // the primary leaves while it hands over
				drain()
				p.in(700*p.r.Float64(), func() {
					if m := p.g.Get(p.s.oldPrimary); m != nil && len(p.g.Members) > 2 {
						p.g.End(m.ID)
						p.core.ends(m.ID)
						p.joined++
						p.g.Join(fmt.Sprint("n", p.joined))
					}
				})
			case 7: // all are to be replaced, in short order
				drain()
				p.in(400*p.r.Float64(), func() {
					for _, m := range p.g.Members {
						m.Drains = true
					}
				})
			case 8:
				mute = p.g.Members[p.r.IntN(len(p.g.Members))].ID
				p.trouble()
			case 9: // a core that forgot does not find one member again for long, and nobody leads
				if p.core.under > 0 || p.r.IntN(3) > 0 {
					break
				}
				p.core.forget()
				p.s = New(p.now)
				any := p.g.Members[p.r.IntN(len(p.g.Members))]
				p.core.hidden[any.ID] = p.now + 30000
				if any.Up = false; p.g.Leader() != nil {
					p.g.Leader().Up = false
				}
				p.run(24000)
			case 10: // an answer that nobody waits for
				p.s.HandlePromoteResult(p.g.Members[0].ID, 200, p.now)
			default:
				p.hardTrouble()
			}
			p.run(1500 * p.r.Float64())
		}
		p.run(4000 * p.r.Float64())
		p.heal()
		accused, cleared, stuck, doubt, mute = 0, 0, 0, false, ""
		p.refuses, p.core.late = false, 0
		p.run(500 + 4000*p.r.Float64())
	}
	p.run(10000)
	fmt.Fprintln(sum, p.g.Leads, len(p.g.Acked), p.log)
	return sum.Sum64(), kinds
}

// What is decided, when and in which order stays as it was when these digests were recorded.
func TestDecisionsMatchTheRecordedDigests(t *testing.T) {
	for _, group := range []struct {
		name  string
		syncN int
		ids   []string
		want  uint64
	}{
		{"three members, one acknowledgement", 1, []string{"a", "b", "c"}, 0x0d174bb09e3554ff},
		{"five members, two acknowledgements", 2, []string{"a", "b", "c", "d", "e"}, 0x7683e18ccdaa3c85},
		{"four members, none", 0, []string{"a", "b", "c", "d"}, 0x9a4bb2f534ec8ba0},
		{"a primary and one replica", 1, []string{"a", "b"}, 0x1ebd2b5944e48eea},
		{"a primary alone", 0, []string{"a"}, 0x841d83015b29b8f2},
	} {
		t.Run(group.name, func(t *testing.T) {
			sum, kinds := fnv.New64a(), map[string]int{}
			for seed := range uint64(40) {
				digest, ks := digestHistory(seed, group.syncN, group.ids...)
				fmt.Fprintln(sum, digest)
				for k, n := range ks {
					kinds[k] += n
				}
			}
			t.Log(kinds)
			if got := sum.Sum64(); got != group.want {
				t.Errorf("digest %#016x, recorded %#016x", got, group.want)
			}
		})
	}
}

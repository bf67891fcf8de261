package failover

import (
	"fmt"
	"hash"
	"hash/fnv"
	"testing"

	"weirwind/internal/standin/replicaset"
)

// digestHistory is a simulation that hashes every action, fencing token and state text in order. It also injects
// drivers' reports, uncertain membership, stale heartbeats and faults during switchovers.
type digestHistory struct {
	*simulation
	sum   hash.Hash64
	kinds map[string]int // number of occurrences of each action and phase

	suspects, healthy, stalls int // drivers' reports
	uncertain                 bool
	staleMember               string // member whose heartbeats are stale
}

// runDigestHistory runs a seeded history of faults.
func runDigestHistory(seed uint64, syncReplicas int, ids ...string) *digestHistory {
	h := &digestHistory{simulation: newSimulationOf(seed, syncReplicas, ids...), sum: fnv.New64a(),
		kinds: map[string]int{}}
	h.control.delayReceiving = true
	h.record = h.recordStep
	h.modifyView = func(v *View) { h.addReports(v, seed) }
	h.run(2500)
	for range 5 {
		for range 1 + h.random.IntN(3) {
			h.injectAnyFault()
			h.run(1500 * h.random.Float64())
		}
		h.run(4000 * h.random.Float64())
		h.heal()
		h.suspects, h.healthy, h.stalls, h.uncertain, h.staleMember = 0, 0, 0, false, ""
		h.refuseConnections, h.control.latePromoteRate = false, 0
		h.run(500 + 4000*h.random.Float64())
	}
	h.run(10000)
	fmt.Fprintln(h.sum, h.group.Promotions, len(h.group.Acked), h.transcript)
	return h
}

func (h *digestHistory) recordStep(parts ...any) {
	fmt.Fprintln(h.sum, parts...)
	if kind, ok := parts[0].(ActionKind); ok {
		h.kinds[fmt.Sprint("action ", kind)]++
	} else if parts[0] == "step" {
		h.kinds[h.controller.phase.String()]++
	}
}

func (h *digestHistory) addReports(v *View, seed uint64) {
	v.MembershipUncertain = h.uncertain
	for i := range v.Members {
		m := &v.Members[i]
		m.Reports.Suspect, m.Reports.Healthy = h.suspects, h.healthy
		m.Reports.Stalled += h.stalls
		m.Distance = float64(i % 2)
		m.Generation = [...]string{"v1", "v2"}[int(seed+uint64(i))/2%2]
		if m.ID == h.staleMember {
			m.SinceHeartbeat += 5000
		}
	}
}

func (h *digestHistory) drainPrimary() {
	if primary := h.group.Leader(); primary != nil {
		primary.Draining = true
	}
}

func (h *digestHistory) randomMember() *replicaset.Member {
	return h.group.Members[h.random.IntN(len(h.group.Members))]
}

func (h *digestHistory) injectAnyFault() {
	switch h.random.IntN(14) {
	case 0:
		h.suspects, h.healthy = 1+h.random.IntN(4), h.random.IntN(2)
	case 1:
		h.uncertain = true
		h.drainPrimary()
	case 2:
		h.stalls = 2
	case 3:
		h.refuseConnections = true
		h.injectHardFault()
	case 4: // the member that stops receiving may be the candidate
		h.drainPrimary()
		h.randomMember().NotReceiving = true
	case 5:
		h.drainPrimary()
		h.after(800*h.random.Float64(), h.failCandidate)
	case 6:
		h.drainPrimary()
		h.after(700*h.random.Float64(), h.removeOldPrimary)
	case 7: // all members drain, shortly after the primary
		h.drainPrimary()
		h.after(400*h.random.Float64(), func() {
			for _, m := range h.group.Members {
				m.Draining = true
			}
		})
	case 8:
		h.staleMember = h.randomMember().ID
		h.injectFault()
	case 9:
		if h.control.latePromotes == 0 && h.random.IntN(3) == 0 {
			h.loseLeaderAndMember()
		}
	case 10: // an unexpected answer of the platform
		h.controller.HandlePromoteResult(h.group.Members[0].ID, 200, h.now)
	default:
		h.injectHardFault()
	}
}

// failCandidate makes the candidate of a switchover fail, and sometimes the old primary too.
func (h *digestHistory) failCandidate() {
	if m := h.group.Member(h.controller.candidate); m != nil {
		m.Up = false
	}
	if m := h.group.Member(h.controller.oldPrimary); m != nil && h.random.IntN(2) == 0 {
		m.Up = false
	}
}

// removeOldPrimary makes the old primary leave during a switchover, and another member join.
func (h *digestHistory) removeOldPrimary() {
	m := h.group.Member(h.controller.oldPrimary)
	if m == nil || len(h.group.Members) <= 2 {
		return
	}
	h.group.Remove(m.ID)
	h.control.depart(m.ID)
	h.joins++
	h.group.Join(fmt.Sprint("n", h.joins))
}

// loseLeaderAndMember changes the leader of the control plane while the primary fails. The new leader gets no
// heartbeats of one member for a long time.
func (h *digestHistory) loseLeaderAndMember() {
	h.control.changeLeader()
	h.takeOver()
	m := h.randomMember()
	h.control.heartbeatsLostUntil[m.ID] = h.now + 30000
	m.Up = false
	if primary := h.group.Leader(); primary != nil {
		primary.Up = false
	}
	h.run(24000)
}

// The controller's decisions, their times and their order match the recorded digests.
func TestDecisionsMatchRecordedDigests(t *testing.T) {
	for _, group := range []struct {
		name         string
		syncReplicas int
		ids          []string
		want         uint64
	}{
		{"three members, one acknowledgement", 1, []string{"a", "b", "c"}, 0xaeb266c6d0e00bcc},
		{"five members, two acknowledgements", 2, []string{"a", "b", "c", "d", "e"}, 0x9848b4253e1eaa5e},
		{"four members, no acknowledgement", 0, []string{"a", "b", "c", "d"}, 0xc1092a7411d40140},
		{"a primary and one replica", 1, []string{"a", "b"}, 0x8f3b48ab0a64ca89},
		{"a single primary", 0, []string{"a"}, 0xdf4a34eb850b87de},
	} {
		t.Run(group.name, func(t *testing.T) {
			sum, kinds := fnv.New64a(), map[string]int{}
			for seed := range uint64(40) {
				h := runDigestHistory(seed, group.syncReplicas, group.ids...)
				fmt.Fprintln(sum, h.sum.Sum64())
				for kind, n := range h.kinds {
					kinds[kind] += n
				}
			}
			t.Log(kinds)
			if got := sum.Sum64(); got != group.want {
				t.Errorf("digest %#016x, recorded %#016x", got, group.want)
			}
		})
	}
}

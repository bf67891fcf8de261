package learned

import (
	"cmp"
	"fmt"
	"slices"

	"weirwind/logic"
)

// Membership is the member list that a starting run knows.
type Membership struct {
	Revision int64
	Entries  []Entry
}

// Verdict states how much of a saved state was restored; its text appears in logs.
type Verdict string

// The verdicts of Restore.
const (
	VerdictTrusted     Verdict = "believed"   // everything, each part by its age
	VerdictUncertain   Verdict = "unsure"     // the age isn't certain: a primary is queried before it is trusted
	VerdictFuture      Verdict = "future"     // dated in the future: only announcements are restored
	VerdictOtherDriver Verdict = "other_name" // another driver's state: nothing is restored
	VerdictNone        Verdict = "nothing"    // no state was saved
)

// Restored is the knowledge that a run starts with.
type Restored struct {
	Verdict    Verdict
	Age        float64    // milliseconds since the last save, as far as the clocks show
	FromSaved  bool       // Membership comes from the saved state, not from the start's configuration
	Membership Membership // its entries are sorted by id where FromSaved is set
	Memory     logic.Memory
	Discarded  []string // descriptions of the discarded parts, with the reason, for the log
}

// Restore decides which parts of a saved state a starting run may use. saved is nil where there is no state; given is
// the membership that the start was configured with.
func Restore(saved *State, config Config, now Timestamp, given Membership) Restored {
	r := Restored{Verdict: VerdictNone, Membership: given}
	r.Memory.Ceiling = now.Wall + maxPositionLead // an earlier run may have acknowledged writes up to now
	if saved == nil {
		return r
	}
	if saved.Meta.Name != config.Name {
		r.Verdict = VerdictOtherDriver
		r.discard("all of it is of driver %q", saved.Meta.Name)
		return r
	}
	if lead := saved.Meta.MaxPosition - now.Wall; lead < maxReservedLead {
		r.Memory.Ceiling = max(r.Memory.Ceiling, saved.Meta.MaxPosition)
	} else {
		r.discard("the ceiling lies %.0f s ahead: that clock was wrong", lead/1000)
	}
	r.restoreMembership(saved, given)
	since := elapsedSince(saved.Meta.SavedAt, now)
	r.Age = since.ms
	switch {
	case since.future:
		r.Verdict = VerdictFuture
		r.discard("evidence and hints: dated after the present")
		return r
	case since.certain:
		r.Verdict, r.Memory.TrustWindow = VerdictTrusted, config.trustWindow()
	default: // another boot, or an unknown one: a switchover may have occurred in the uncertain part of the time
		r.Verdict = VerdictUncertain
		r.discard("trust in primaries: their age is by a clock that may have been stepped")
	}
	r.restoreEvidence(saved, config, now, since)
	r.restoreOpTypes(saved, config, since)
	return r
}

func (r *Restored) discard(format string, args ...any) {
	r.Discarded = append(r.Discarded, fmt.Sprintf(format, args...))
}

// restoreMembership chooses between the saved membership and the given one. The one with the higher revision was
// announced last: a start is given the membership as the driver knew it at some earlier time. Where revisions have gone
// back, a revision up to the highest of the previous epochs may belong to any of them: then the saved membership is
// kept, and discovery's first complete list corrects it.
func (r *Restored) restoreMembership(saved *State, given Membership) {
	newer := given.Revision > saved.Meta.Revision && (saved.Meta.Epoch == 0 || given.Revision > saved.Meta.PriorRevision)
	if len(saved.Membership) == 0 || newer {
		if len(saved.Membership) > 0 {
			r.discard("the kept list: %d is newer than %d", given.Revision, saved.Meta.Revision)
		}
		return
	}
	r.FromSaved = true
	r.Membership = Membership{Revision: saved.Meta.Revision}
	for _, e := range saved.Membership {
		r.Membership.Entries = append(r.Membership.Entries, e)
	}
	slices.SortFunc(r.Membership.Entries, func(x, y Entry) int { return cmp.Compare(x.ID, y.ID) })
}

// restoreEvidence restores the evidence on members and groups, dated by this run's clock. A member with another address
// or group counts as a different member.
func (r *Restored) restoreEvidence(saved *State, config Config, now Timestamp, since elapsed) {
	listed := make(map[string]Entry, len(r.Membership.Entries))
	for _, e := range r.Membership.Entries {
		listed[e.ID] = e
	}
	moved := map[string]bool{}
	for _, e := range r.Membership.Entries {
		m, ok := saved.Members[e.ID]
		if !ok {
			continue
		}
		before, wasListed := saved.Membership[e.ID]
		if wasListed && before.Address != e.Address || m.Group != e.Group {
			moved[e.ID] = true
			r.discard("member %s: it has moved", e.ID)
			continue
		}
		r.Memory.Members = append(r.Memory.Members, restoreMember(e, m, saved.Meta.SavedAt, config, now, since))
	}
	for id, g := range saved.Groups {
		group := logic.GroupMemory{Group: id, WorkRate: g.WorkRate * config.hintWeight(since.ms)}
		if e, ok := listed[g.Primary]; ok && !moved[g.Primary] && e.Group == id && g.SeenAt > 0 {
			group.Primary, group.InSlot, group.SeenAt = g.Primary, g.InSlot, redate(g.SeenAt, saved.Meta.SavedAt, now, since)
		}
		r.Memory.Groups = append(r.Memory.Groups, group)
	}
	slices.SortFunc(r.Memory.Groups, func(x, y logic.GroupMemory) int { return cmp.Compare(x.Group, y.Group) })
}

// restoreMember returns the parts of a member's saved evidence that are still valid. Most of them end with a restart of
// the member.
func restoreMember(entry Entry, saved Member, savedAt Timestamp, config Config, now Timestamp,
	since elapsed) logic.MemberMemory {
	memory := logic.MemberMemory{Member: entry.ID, Group: entry.Group, Position: -1}
	restarted := entry.StartedAt > saved.StartedAt
	if saved.Position > 0 && since.certain && !since.stepped && !restarted {
		// No member is rebuilt under its old name within the trust window.
		if age := since.ms + savedAt.Wall - saved.Position; age < config.trustWindow() {
			memory.Position = saved.Position
		}
	}
	if saved.StartedAt > 0 && !restarted {
		if startedAt := redate(saved.StartedAt, savedAt, now, since); now.Wall-startedAt < config.WarmUp {
			memory.StartedAt = saved.StartedAt
			if since.stepped && entry.StartedAt != saved.StartedAt { // it was dated by the clock before the step
				memory.StartedAt = startedAt
			}
		}
	}
	ejectedAt := redate(saved.EjectedAt, savedAt, now, since)
	if saved.EjectedAt > 0 && !restarted && now.Wall-ejectedAt < config.halfLife() {
		memory.EjectedAt, memory.Disconnected = ejectedAt, saved.Disconnected
	}
	if window := saved.Window * config.hintWeight(since.ms); window >= minWindow {
		memory.Window = window
	}
	return memory
}

// restoreOpTypes restores the usual times of op types. With age they approach a third of the latency target, which a
// start without hints assumes. An op type with another target counts as a different one.
func (r *Restored) restoreOpTypes(state *State, config Config, since elapsed) {
	weight := config.hintWeight(since.ms)
	for _, opType := range config.OpTypes {
		memory := logic.TypeMemory{}
		saved, ok := state.OpTypes[opType.Name]
		if ok && saved.LatencyTarget == opType.LatencyTarget && weight > 0 && saved.Typical > 0 {
			assumed := opType.LatencyTarget / 3
			memory.Typical = assumed + (saved.Typical-assumed)*weight
			memory.Best = assumed + (saved.Best-assumed)*weight
		}
		r.Memory.OpTypes = append(r.Memory.OpTypes, memory)
	}
}

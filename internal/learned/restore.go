package learned

import (
	"cmp"
	"fmt"
	"slices"

	"weirwind/logic"
)

// Membership is a member list, as a run that starts knows it.
type Membership struct {
	Revision int64
	Entries  []Entry
}

// Verdict says how much of a saved state was restored; its text is what logs show.
type Verdict string

// The verdicts.
const (
	VerdictTrusted     Verdict = "believed"   // all, each part by its age
	VerdictUncertain   Verdict = "unsure"     // its age isn't certain: a primary is queried before it is trusted
	VerdictFuture      Verdict = "future"     // dated after the present: only what was announced holds
	VerdictOtherDriver Verdict = "other_name" // another driver's: nothing holds
	VerdictNone        Verdict = "nothing"    // there is no state
)

// Restored is what a run starts with.
type Restored struct {
	Verdict    Verdict
	Age        float64    // milliseconds since the state was last saved, as far as can be told
	FromSaved  bool       // Membership is the saved one, not the one that was given
	Membership Membership // with its entries sorted by id where it is the saved one
	Memory     logic.Memory
	Discarded  []string // what was left out and why, for the log
}

// Restore decides what holds of a saved state at a start. The state is nil where none was saved; given is the
// membership that the start was configured with.
func Restore(saved *State, config Config, now Timestamp, given Membership) Restored {
	r := Restored{Verdict: VerdictNone, Membership: given}
	r.Memory.Ceiling = now.Wall + maxPositionLead // whoever ran before may have acknowledged writes up to now
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
	default: // another boot, or the machine doesn't tell: a switchover may fit into the time that isn't known
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

// restoreMembership chooses between the saved membership and the given one: the last announced binds, which is the one
// with the higher revision, as a start is given what the driver knew at some earlier time. Where revisions have gone
// back, one up to the highest of the epochs before may be of any of them: then the saved one holds, and the first
// complete list of discovery corrects it.
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

// restoreEvidence gives the decision module what was seen of members and groups, dated by this run's clock. A member
// that has moved to another address or group is another one.
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
		k := logic.GroupMemory{Group: id, WorkRate: g.WorkRate * config.hintWeight(since.ms)}
		if e, ok := listed[g.Primary]; ok && !moved[g.Primary] && e.Group == id && g.SeenAt > 0 {
			k.Primary, k.InSlot, k.SeenAt = g.Primary, g.InSlot, redate(g.SeenAt, saved.Meta.SavedAt, now, since)
		}
		r.Memory.Groups = append(r.Memory.Groups, k)
	}
	slices.SortFunc(r.Memory.Groups, func(x, y logic.GroupMemory) int { return cmp.Compare(x.Group, y.Group) })
}

// restoreMember is what still holds of a member's evidence that was saved at the given time. A restart of the member
// ends most of it.
func restoreMember(entry Entry, saved Member, savedAt Timestamp, config Config, now Timestamp,
	since elapsed) logic.MemberMemory {
	k := logic.MemberMemory{Member: entry.ID, Group: entry.Group, Position: -1}
	restarted := entry.StartedAt > saved.StartedAt
	if saved.Position > 0 && since.certain && !since.stepped && !restarted {
		// No member is rebuilt under its old name within the trust window.
		if age := since.ms + savedAt.Wall - saved.Position; age < config.trustWindow() {
			k.Position = saved.Position
		}
	}
	if saved.StartedAt > 0 && !restarted {
		if startedAt := redate(saved.StartedAt, savedAt, now, since); now.Wall-startedAt < config.WarmUp {
			k.StartedAt = saved.StartedAt
			if since.stepped && entry.StartedAt != saved.StartedAt { // it was dated by the clock before the step
				k.StartedAt = startedAt
			}
		}
	}
	ejectedAt := redate(saved.EjectedAt, savedAt, now, since)
	if saved.EjectedAt > 0 && !restarted && now.Wall-ejectedAt < config.halfLife() {
		k.EjectedAt, k.Disconnected = ejectedAt, saved.Disconnected
	}
	if window := saved.Window * config.hintWeight(since.ms); window >= minWindow {
		k.Window = window
	}
	return k
}

// restoreOpTypes gives the usual times of op types, drawn towards a third of the latency target as they age, which is
// what a start without them assumes. A type whose target has changed is another one.
func (r *Restored) restoreOpTypes(state *State, config Config, since elapsed) {
	weight := config.hintWeight(since.ms)
	for _, opType := range config.OpTypes {
		k := logic.TypeMemory{}
		saved, ok := state.OpTypes[opType.Name]
		if ok && saved.LatencyTarget == opType.LatencyTarget && weight > 0 && saved.Typical > 0 {
			assumed := opType.LatencyTarget / 3
			k.Typical = assumed + (saved.Typical-assumed)*weight
			k.Best = assumed + (saved.Best-assumed)*weight
		}
		r.Memory.OpTypes = append(r.Memory.OpTypes, k)
	}
}

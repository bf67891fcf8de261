package failover

import (
	"slices"

	"weirwind/internal/member/wire"
)

// This file keeps the record of the promote under way, which is replicated before the platform is called.
//
// The platform answers a call before the promote takes effect, and an answer may be lost. So only two observations
// resolve a promote: the candidate replies that it is the primary, or the platform rejects a later call for the same
// candidate, as it is not running. Until then the promote may take effect at any time, however much later. A leader
// that takes over finds the record and continues with the same candidate; without a record no promote is under way.
//
// Where the platform was called twice, the second effect may come after the first has been observed. It changes nothing
// while the candidate leads, so for effectTimeout no other member is promoted, and the record stays.

// PromoteRecord is the replicated record of a promote that may take effect. The control plane has at most one for each
// service.
type PromoteRecord struct {
	Number     uint64 // rises with each record of a service
	Candidate  string
	OldPrimary string        // "" if it was not known
	Position   wire.Position // end of the candidate's log when it was selected
	Term       uint64        // newest term of any member then: the promote begins a later one
	Repeated   bool          // the platform may have been called more than once
	Accepted   bool          // the platform has accepted the latest call
}

// adoptRecord continues the promote that an earlier leader has recorded, and has the record of a resolved promote
// removed.
func (c *Controller) adoptRecord(view *View, now float64) {
	recorded := view.PendingPromote
	switch {
	case recorded == nil:
	case recorded.Number <= c.resolved && now < c.repeatUntil:
	case recorded.Number <= c.resolved:
		c.actions = append(c.actions, Action{Kind: ClearPromote, Record: *recorded})
	case recorded.Number > c.record.Number:
		c.record, c.issued, c.calledAt = *recorded, true, now
		if recorded.Repeated {
			c.repeatUntil = now + effectTimeout
		}
		c.assignWriter(recorded.Candidate)
		c.begin(view, recorded.OldPrimary, failover, "an earlier leader may have had "+recorded.Candidate+" promoted", now)
	}
}

// isRecorded reports whether the record of the selected candidate is replicated.
func (c *Controller) isRecorded(view *View) bool {
	return view.PendingPromote != nil && *view.PendingPromote == c.record && c.record.Candidate == c.candidate
}

// startRecording enters phaseRecording. The record of an earlier promote of the same candidate is kept and marked.
func (c *Controller) startRecording(view *View, now float64) {
	c.enterPhase(phaseRecording, now)
	if c.isRepeated() {
		c.record.Repeated, c.record.Accepted = true, false
	} else {
		end, _ := c.candidateEnd(now)
		number := max(c.record.Number, c.resolved)
		if view.PendingPromote != nil {
			number = max(number, view.PendingPromote.Number)
		}
		c.record = PromoteRecord{Number: number + 1, Candidate: c.candidate, OldPrimary: c.oldPrimary, Position: end,
			Term: c.newestTerm}
	}
	c.assignWriter(c.candidate)
	c.stepRecording(view, now)
}

// stepRecording has the record replicated, and issues the promote once it is. The candidate's log must cover the
// others' at that moment too, as a replica may have restarted since the candidate was selected.
func (c *Controller) stepRecording(view *View, now float64) {
	if c.observeEffect(view, now) || c.abandonIfPrimaryExists(view, now) {
		return
	}
	c.watchOldPrimary(now)
	if !c.isRecorded(view) {
		c.replicateRecord()
	} else if c.watchStop(view, now) && c.covers(view, now) {
		c.promote(now)
		return
	}
	if now >= c.nextQueryAt {
		c.nextQueryAt = now + urgentInterval
		c.pauseReplicas(view, now)
		c.queryOldPrimary(view, now)
	}
	if now-c.phaseStart > recordTimeout {
		c.restart(now)
	}
}

func (c *Controller) replicateRecord() {
	c.actions = append(c.actions, Action{Kind: RecordPromote, ID: c.candidate, Record: c.record})
}

// resolveRecord notes that the recorded promote has taken effect, can't any more, or was never issued.
func (c *Controller) resolveRecord() { c.issued, c.resolved = false, c.record.Number }

// observeEffect ends the failover once the promote has taken effect, and reports whether it has: the candidate replies
// that it is the primary, or a replica has entries of a later term. If only the latter holds, the candidate can't be
// reached, and a failover from it begins.
func (c *Controller) observeEffect(view *View, now float64) bool {
	if !c.issued {
		return false
	}
	candidate := c.record.Candidate
	o := c.observation(candidate)
	if o.known && o.status.Primary && o.queriedAt >= c.phaseStart {
		c.candidate = candidate
		c.complete(view, now)
		return true
	}
	if o.failures == 0 || now < c.repeatUntil || !c.laterTermReceived(view) {
		return false
	}
	c.resolveRecord()
	c.begin(view, candidate, failover, "it has taken the lead, and does not reply", now)
	return true
}

// laterTermReceived reports whether a member has entries of a term that began after the record was made.
func (c *Controller) laterTermReceived(view *View) bool {
	return slices.ContainsFunc(view.Members, func(m Member) bool {
		o := c.observation(m.ID)
		return o.known && o.status.Received.Term > c.record.Term
	})
}

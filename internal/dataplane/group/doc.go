// Package group decides, for one replication group as one proxy sees it, which member each statement is routed to.
//
// It is a pure state machine: it does no I/O and reads no clock. The caller (package proxy) reports what happens,
// with the time in milliseconds on its own monotonic clock, and asks for decisions:
//
//	event                                   method
//	a member's record in the directory      UpdateMember
//	a request was sent to a member          RecordSend
//	how that request ended                  RecordOutcome
//	a health check was answered, or failed  RecordProbe, RecordProbeFailure
//	time passed                             SuspectPrimary, ProbesToSend
//
//	question                                method
//	where may this statement go now?        Route
//	who is the primary?                     Primary
//	does the primary hang, do commits?      PrimaryUnresponsiveFor, CommitsStalled
//
// # The writer slot
//
// The slot names the member that is believed to be the primary; at most one member is in it. Package writerslot
// holds the rules by which evidence fills it, and is shared with the driver's decision module. Evidence is dated by
// when its request began, so that an answer that was long under way never undoes anything newer.
//
// The slot is filled by a heartbeat with the role primary ("beat"), by an answer that only a primary gives
// ("answer"), and by a health check answered as primary ("probe"). It is emptied when its member
//
//   - drains: the control plane is about to promote another, and a write sent now could be lost in between;
//   - is removed from the directory;
//   - refuses a request as read-only (a miss), or reports the role replica: it has been demoted;
//   - takes no connection, and has sent nothing on other connections of late either.
//
// While the slot is empty, Route gives no target for writes and linearizable reads: the caller keeps them queued
// until the slot is filled or their deadline is near. Nothing is ever sent to a member on the guess that it may
// lead.
//
// A primary that owes answers in silence stays in the slot but is suspected (SuspectPrimary): no new request goes
// there until it answers a probe or anything else. A primary that answers, but no commit, only has its writes
// queued (CommitsStalled): its replicas may not receive what it writes.
//
// # What a read must see
//
// A linearizable read goes to the primary, in a transaction by which it proves that it leads
// (Target.VerifyPrimary). Any other read must see what was acknowledged before a moment (Requirement.AckedBefore)
// and its own session's last commit. The group keeps positions that the primary had when it was asked (watermarks):
// the first that was asked for after that moment covers it, and any replica whose log reaches it may answer. The
// replica checks this itself, against Target.MinPosition; what is known here of its position only avoids attempts
// that would fail.
//
// # Ejection
//
// A replica whose connections fail is ejected from routing for a time that doubles with each further failure, up to a
// bound (maxEjection). Any answer ends the ejection.
package group

// Package group decides, for one replication group as one proxy sees it, which member each statement is routed to.
//
// It is a pure state machine: it does no I/O and reads no clock. The caller (package proxy) reports events, with the
// time in milliseconds on its own monotonic clock, and asks for decisions:
//
//	event                                   method
//	a member's record in the directory      UpdateMember
//	a request was sent to a member          RecordSend
//	a request ended                         RecordOutcome
//	a health check was answered, or failed  RecordProbe, RecordProbeFailure
//	time passed                             SuspectPrimary, ProbesToSend
//
//	question                                method
//	where may this statement go now?        Route
//	which member is the primary?            Primary
//	is the primary or are commits hanging?  PrimaryUnresponsiveFor, CommitsStalled
//
// # The writer slot
//
// The slot names the member that is believed to be the primary; at most one member is in it. Package writerslot has the
// rules by which evidence fills it, and is shared with the driver's decision module. Evidence has the time at which its
// request was sent, so that a delayed answer never overrides newer evidence.
//
// The slot is filled by a heartbeat with the role primary ("beat"), by an answer that only a primary sends ("answer"),
// and by a health check answered as primary ("probe"). A success in a transaction that may write is such an answer,
// except to the COMMIT of a transaction that wrote nothing: a deposed primary accepts that one too. The slot is emptied
// when its member
//
//   - drains: the control plane is about to promote another member, and a write sent now could be lost in between;
//   - is removed from the directory;
//   - refuses a request as read-only (a miss), or reports the role replica: it has been demoted. An answer to a request
//     from before the slot was filled does not count: the member has been promoted since;
//   - accepts no connection, and has not answered on other connections recently either.
//
// While the slot is empty, Route returns no target for writes and linearizable reads: the caller keeps them queued
// until the slot is filled or their deadline is near. No write is ever sent to a member merely because it might be the
// primary.
//
// The caller may rule out members as writers (MayWrite), whatever the slot names.
//
// A primary that leaves requests unanswered stays in the slot but is suspected (SuspectPrimary): no new request is sent
// to it until it answers a probe or any other request. If a primary answers other requests but no commit, only writes
// are queued (CommitsStalled): its replicas may not be receiving what it writes.
//
// # What a read must see
//
// A linearizable read goes to the primary, in a transaction by which the primary proves that it still leads
// (Target.VerifyPrimary). Any other read must see what was acknowledged before a given time (Requirement.AckedBefore)
// and its own session's last commit. The group keeps log positions from the primary's answers (watermarks): the first
// one whose request was sent after that time covers it, and any replica whose log reaches that position may answer. The
// replica checks this itself, against Target.MinPosition; the replica positions known to the group only avoid attempts
// that would fail.
//
// # Ejection
//
// A replica whose connections fail is ejected from routing for a time that doubles with each further failure, up to
// maxEjection. Any answer ends the ejection.
package group

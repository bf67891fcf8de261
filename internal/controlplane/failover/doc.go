// Package failover decides when and how the primary of a service is replaced.
//
// A [Controller] is the state machine for one service. It runs at the leader of the control plane, which calls
// [Controller.Step] with a [View] of the service, carries out the returned [Action] list, and feeds the outcomes
// back: [Controller.HandleStatus] and [Controller.HandleStatusFailure] for queries to members,
// [Controller.HandlePromoteResult] for calls to the platform. The package does no I/O and reads no clock; all times
// are milliseconds of the caller's clock. A Controller is used by one goroutine at a time.
//
// # Terms
//
//   - A service has one primary and replicas. A commit is acknowledged to its client once it is on the primary and on
//     SyncReplicas replicas. With zero, the primary acknowledges on its own.
//   - A position (term, number) is the end of a member's log. Positions are ordered by term, then by number.
//   - Only the platform can promote a member. Each promote call has a fencing token that is higher than that of every
//     call before it, by this leader of the control plane and by earlier ones; the platform rejects a call once it has
//     seen a higher token. The caller issues the tokens, one for each [Promote] action.
//   - A paused replica receives nothing until it is resumed or restarts. A restart ends the pause.
//   - The roster is the list of the service's members that may hold an acknowledged commit. It is replicated by the
//     control plane's consensus, so it survives a change of leader, unlike the state of a Controller.
//
// # Invariants
//
// No acknowledged commit is lost: when the platform carries out a promote, every acknowledged commit is in the
// promoted member's log, and none is acknowledged between the decision and the moment at which the promote is carried
// out or void. Where that can't be ensured, the controller waits and logs what it waits for. This is based on four
// rules:
//
//   - It is known which members may have a commit. A member on the roster that is unknown to this machine, or that has
//     departed, counts as a replica that has not answered. It is removed from the roster only when it has departed and
//     is covered: a position that the primary reported afterwards is on SyncReplicas other replicas (coverage.go).
//   - Enough replicas are paused and queried. An acknowledged commit is on SyncReplicas of n replicas, so any
//     n-SyncReplicas+1 replicas together have all of them (pauseQuorum). Pausing a replica also queries it, and from
//     then on it acknowledges no more commits. The replica with the longest log becomes the candidate.
//   - The old primary has stopped before a promote is issued, as it would commit with replicas that start meanwhile,
//     and only replies to later queries select the candidate (steppingdown.go). It has told somebody that it is a
//     replica, or no proxy passes its commits on: see [AssignWriter] and package writerlease. Silence and refused
//     connections prove neither.
//   - A promote under way is recorded on a majority of the control plane before the platform is called, and ends at its
//     observed effect (promoterecord.go). Until then no other member is promoted, and no replica is resumed.
//
// # When a promote is decided
//
// A failover from a failed primary begins if it refuses two connections in a row, is silent for a second, does not
// reply while a third of the drivers (at least two) suspect it, or replies but commits nothing while its replicas
// are behind it and make no progress. A failover without an old primary begins if all members on the roster replied
// that they are not the primary. A switchover begins if the primary is draining and has replied that it is the primary;
// one that drains and does not reply is replaced by a failover. The rest depends on the mode:
//
//	mode                commits acknowledged by  what has to hold
//	failover            no one: the old primary  a quorum of replicas is paused, and the candidate's log is the longest
//	                    has stepped down, or no  among them; or it has all that the old primary had when it stepped down
//	                    proxy writes to it
//	switchover          the primary              all other replicas are paused and the candidate has caught up: then the
//	                                             primary steps down, and the mode is failover
//	switchoverDraining  the primary, while its   the same without the pauses, as a replica can't be paused or is not
//	                    drain is enforced        known. If the candidate lacks a commit, the old primary leads again
//
// A switchover also turns into a failover if the primary leaves or falls silent.
//
// # Phases
//
// State reports the phase under the name in quotes.
//
//	phase                       on                                    next phase
//	phaseWatching "watching"    a failure, a drain, no primary, the   pausing
//	                            record of an earlier leader
//	phasePausing "freezing"     the mode's condition holds            recording; confirming if the platform has accepted
//	                                                                  a promote of the same candidate
//	                            there is a primary after all, or no   watching; replicas are resumed
//	                            member could take over
//	phaseRecording "recording"  the record is replicated, and the     promoting
//	                            condition still holds
//	                            there is a primary after all          watching; replicas are resumed
//	                            a timeout                             pausing
//	phasePromoting "calling"    the platform answers 200              confirming
//	                            another answer, or none               pausing
//	phaseConfirming "proving"   the candidate replies that it is the  watching; replicas are resumed
//	                            primary
//	                            the candidate left, has restarted or  pausing; the same candidate is promoted again
//	                            does not reply
//
// In each phase after a call was made, the promote's effect leads to phaseWatching.
//
// # Hazards
//
//   - A promote call without an answer may be carried out at any later time, and so may an accepted one. So the same
//     candidate is promoted again. Only a 409 means that it is not running, and that no call for it can take effect any
//     more; if there were earlier ones, it may have led in between, and a failover from it begins.
//   - A repeated call may take effect after the candidate was confirmed. That changes nothing while it leads: nothing
//     else begins for effectTimeout.
//   - A crashed primary comes back as the primary, under another ID, if no other member was promoted yet.
//   - The status of a member is as old as its query, not as its reply: HandleStatus takes the time at which the query
//     was sent, and each phase compares it with its own start.
//   - The role in a heartbeat is older than its arrival by an unknown time: it may have been sent before a promote that
//     has taken effect since. So it is a reason to query the member, and never confirms a promote.
//   - Only the reply to a pause makes a replica count as paused, and a promote relies on no reply that is older than
//     pauseValidity: the replica may have restarted since, and so have lost the pause.
//   - A pause whose reply was lost may have arrived, or may arrive late. So a replica is queried (resumeCheckDue) until
//     it reports that it is not paused, in reply to a query that was sent after the pause could last arrive.
//   - A resume whose reply was lost may arrive late as well, after a later pause on another connection, and undo it. So
//     a pause counts only if it was sent after the resume could last arrive (lateStatementWindow).
//   - A new leader of the control plane knows of earlier promotes by the record alone. Statements of the former leader
//     may be executed for takeoverDelay: it begins and resumes nothing before, and no earlier reply counts.
//   - A replica may lag or restart at any time; only the primary certainly has all entries.
//
// # Differences from leader election by vote
//
// Promotion needs no vote of the members: the platform carries it out, and fencing tokens take the place of the voters'
// terms. The members themselves assign the terms of the log; the controller only passes on the highest term that it
// saw, so that a pause or step-down is not refused as outdated. If SyncReplicas is zero, all replicas must be paused,
// and a commit that only the primary had is lost with it.
package failover

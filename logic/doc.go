// Package logic decides where each op of a driver goes: to which member it is sent, whether it waits, and when it is
// refused. It is a deterministic state machine without I/O or a clock of its own.
//
// # Use
//
// Give a zero Driver an EvOpen event first. Then call Step with the clock (milliseconds) and the events since the last
// call, in order, and carry out the actions that it returns, in order. The types of events and actions are in api.go,
// the decisions in logic.go; docs/design.md describes the design that they implement.
//
// # Routing
//
// Method route is the ordinary path of an op. Writes and fresh reads go to the primary that the group's writer slot
// names (package writerslot), and are queued while the slot is empty. Other reads go to the least loaded replica that
// is fresh enough, else to the primary.
//
// Five mechanisms support it:
//
//  1. Outlier ejection: a member that is silent, returns errors or breaks connections gets no ops until a trial op
//     succeeds, it answers an earlier send, or a peer reports that it answers.
//  2. Retries and hedging: an op is sent again if its effect allows it, at once after a send that failed, and within a
//     budget while a send is stuck at an ejected member.
//  3. Adaptive concurrency: every member has a window for this driver's sends in flight; in a large fleet, where the
//     sends of one driver seldom fill a window, a member takes a fraction of the ops instead. A member that has just
//     started (a cold one) has a budget. Queued ops that can still meet their latency target are sent first.
//  4. Load shedding: under overload new reads are refused at random, those with a low value per unit of work more often.
//  5. Gossip: drivers tell each other the members' positions, which one is primary, which ones answer and how fast, and
//     which ones are silent.
//
// # Life of an op
//
// startOp takes a new op and sheds it, or hands it to route, which sends or queues it. endSend takes the end of each
// send: it records what the answer shows about the member (observe, recordSuccess, recordLatency) and then closes the op,
// routes it again or rejects it. sweep runs at every timer: it detects silent members, probes for primaries, routes
// queued ops again, and lets sweepOp reject those that wait too long, try a queued write at a possible primary, or hedge
// a stuck send. closeOp cancels what is still open when an op has its final answer.
//
// # Evidence of roles
//
// Answers, probes, peers, the member list and the memory of an earlier run all show roles (observe, observePrimary).
// fillSlot and emptySlot apply what package writerslot accepts: a filled slot gets the queued ops, an emptied one starts
// the search for the new primary (probeGroup, or tryAsPrimary if probes don't show roles).
//
// # Gossip messages
//
// A message is a sequence of entries of 7 bytes, one per member: 24 bits of the hash of its id, 8 bits of flags with the
// newest latency ratio in sixths, and the 24 low bits of its position in milliseconds, 0 for unknown or too old.
//
// # Latency ratios
//
// Overload is detected by latency. For each op type, overloadLatency derives from the latency target and from the best
// mean latency so far the mean latency above which a member counts as overloaded. A latency ratio is a latency divided
// by it: a member with a smoothed ratio over 1 is overloaded.
//
// # Fleet scale
//
// Drivers of one fleet have much the same information about the members and must not all act at once. Delays, probes
// and budgets are therefore scaled by fleetScale, a third of the number of drivers, so that a large fleet acts about as
// often as three drivers do.
package logic

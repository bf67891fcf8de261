// Package zones lets the drivers of a fleet agree, while zones and regions fail, come apart and return, on a plan:
// which zones serve whose reads, and in which zones primaries should be. It does no I/O and reads no clock: its owner
// (internal/driver) feeds a Coordinator with what the driver observes, with messages of its peers and with the passing
// of time, and carries out the Output of each call. Times are milliseconds on the driver's own monotonic clock. A plan
// never holds a time of anybody's clock, or anything that two readers could take differently.
//
// # Parts
//
//   - consensus (consensus.go, proposer.go, acceptor.go, bootstrap.go, lease.go): which plan follows which, and until
//     when the plan held may be relied on;
//   - leader (leader.go, assessment.go, tracker.go, flows.go, program.go, primaries.go): which plan is due;
//   - tollController (tolls.go): what each driver makes of the plan for its own reads;
//   - TrafficCounter and LatencyBaseline: what drivers count and measure of each zone.
//
// # Agreement
//
// A plan names its voters. They decide on its successor by single-decree Paxos (internal/fleet/paxos), one instance a
// plan, identified by the plan's epoch and its checksum. A plan is decided once majorities of the voters before it and
// of its own voters have accepted it. The first plan moves nothing and needs all drivers of the roster once, so that
// no fleet has two first plans.
//
//	no plan ──Bootstrap──▶ all of the roster Bootstrapped ──▶ plan 1
//	plan n ──Prepare──▶ majority of n Promise ──Accept──▶ majorities of n and n+1 Accepted ──Decided──▶ plan n+1
//
// The leader is the first voter of the plan that is alive; the next ones in order take over where nothing comes of
// that. Leadership is only an optimization: two leaders at a time cost proposals, and break nothing.
//
// # Lease
//
// A plan is confirmed when a majority of its voters answered a Confirm that they have accepted no successor. It is in
// force for Options.Lease from when that Confirm was sent, on the sender's own clock. Peers pass the age of the
// confirmation on in a Summary, and whoever receives one counts from when it asked for it. So clocks need not agree,
// and a late or duplicated message only shortens a lease. A plan in force promises: no later plan has been in force
// for longer than one lease. Allowed says what a driver may do with it and without.
//
// Invariants:
//
//   - no two plans of one epoch are decided;
//   - a voter that accepted a successor confirms the plan no more;
//   - a vote is durable before it is sent (Output.Save before Output.Messages), or, where nothing is kept, a driver
//     that may have forgotten a vote abstains for a while (consensus.voteAfter);
//   - a primary is asked to move only by the leader, with a majority of the drivers, under a plan in force.
//
// # States of a zone
//
// Each driver's Report says what it observes of each zone. The leader takes the majority verdict of a zone's reporters,
// and a zone counts as lost only when all other zones find it unreachable (assess). Its tracker then moves:
//
//	Serving    -> Suspected   an ejecting cause
//	Suspected  -> Serving     the cause is over
//	Suspected  -> Ejected     it lasted Timing.SuspectFor
//	Serving, Suspected -> Draining   operators evacuate the zone: its capacity goes step by step
//	Draining   -> Ejected     no capacity is left, or a cause that leaves nothing to serve
//	Ejected    -> Recovering  after Timing.BaseEjection, doubled with each flap, and healthy; one zone at a time
//	Recovering -> Serving     its capacity is whole again (slow start)
//	Recovering -> Ejected, Draining  an ejecting cause, or an evacuation: one flap more
//
// A slow or lagging zone stays Serving with part of its capacity: to shut it costs more than it saves.
//
// # Shares of reads
//
// Where reads can't all stay in their zone the leader solves a linear program (program.go): for each pair of zones that
// may exchange reads the flow, with costs of 1 for crossing, 2 for crossing into another region, 3 for using a zone's
// headroom, 20 for exceeding the cross-zone budget and 100 for reads that find no capacity. Reads stay local until that
// would break a bound, and spill in proportion. Plans approach the solution by Options.MaxShiftRate; where a zone is
// lost, at once. Each driver brings its own reads to the planned shares by tolls: costs, in sends in flight, that its
// routing module adds to a zone's members.
//
// # Known open case
//
// Three drivers that keep nothing on disk, all three ended and started anew without message loss: one of them followed
// a plan for 17.7 s beside a later one, over its lease (TestAnyFaults, seed 6189724649917034021, the 65th case; as
// docs/zones.md tells). With -rapid.seed of that number rapid fails at once and shrinks it to all three being stopped
// before any is started: nobody remembers plan 2 then, the fleet bootstraps a plan 1 anew, and that one is in force
// after plan 2 was. With a state folder votes outlive the process, and the chain of plans goes on.
package zones

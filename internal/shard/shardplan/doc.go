// Package shardplan plans which replicas of shards move between nodes, and in which order, so that nodes are used
// evenly and few bytes are moved. It does no I/O and reads no clock; a plan depends on its cluster alone.
//
// # What a plan keeps
//
// While a replica moves it stands on both nodes, and it may grow meanwhile. At no moment of a plan does any node hold
// more than its capacity, counting a moving replica on its target with its growth from the start of its round, and on
// its source up to the round's end. This holds for every prefix of a plan, so that it may be stopped after any round.
//
// # How a plan is made
//
// A node's capacity for shards is its disk without what others use and without a reserved share. Its band is its fair
// share of all bytes, by capacity, give or take Rules.BalanceBand.
//
//  1. departures (depart.go): replicas that have to leave their node, since it drains, is lost or has another replica
//     of the shard in its zone; then from each node above its band the replicas whose bytes come closest to the excess.
//  2. assign (assign.go): the largest first, each gets the node with the most slack in its band, or where none has any
//     one with the capacity.
//  3. fill (assign.go): nodes below their band take what others can spare.
//  4. scheduleRounds (rounds.go): moves become rounds in which every target has capacity. Where replicas wait for each
//     other's space, the smallest moves to a third node first (Move.Staging).
//
// Plan.LowerBound is what no plan can go below. What can't be done is said in Plan.Unplaced, with the bytes that it
// lacks, and which nodes miss their band in Plan.OutOfBand.
package shardplan

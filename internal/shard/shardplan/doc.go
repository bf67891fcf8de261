// Package shardplan plans which replicas of shards move between nodes, and in which order, so that nodes are filled
// evenly and few bytes are moved. It does no I/O and reads no clock; a plan depends only on its cluster.
//
// # Capacity invariant
//
// While a replica moves it takes space on both nodes, and it may grow. At no time during a plan does a node hold more
// than its capacity, where a moving replica counts on its target, with its growth, from the start of its round, and on
// its source until the end of the round. This holds for every prefix of a plan, so a plan may be stopped after any
// round.
//
// # How a plan is made
//
// A node's capacity for shards is the size of its disk minus external data and a reserved share. Its band is its share
// of all bytes in proportion to its capacity, plus or minus Rules.BalanceBand.
//
//  1. departures (depart.go): replicas that have to leave their node because it drains, is lost or shares a zone with
//     another replica of the shard; then, from each node above its band, replicas whose sizes add up to the excess.
//  2. assign (assign.go): the largest first, each departure gets the node with the most slack in its band. If it fits
//     into no node's band it gets a node that has the capacity.
//  3. fillBelowBand (assign.go): nodes below their band get replicas from nodes that stay within theirs.
//  4. scheduleRounds (rounds.go): moves are grouped into rounds in which every target has capacity. If replicas wait
//     for each other's space, the smallest moves to a third node first (Move.Staging).
//
// Plan.LowerBound is a lower bound of the bytes that any plan moves. Plan.Unplaced lists what can't be moved and how
// many bytes are missing, and Plan.OutOfBand the nodes that end outside of their band.
package shardplan

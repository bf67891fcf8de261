// Package agent is the agent beside each proxy, a process of its own on the same machine.
//
// A proxy with its agent is a driver. The agent renews the driver's lease at a core machine, subscribes to updates
// there, exchanges them with a few peer agents, and feeds the proxy over loopback. It decides nothing about traffic:
// what it has not received its proxy doesn't know, and what it received holds until something newer comes. It keeps
// nothing on disk.
//
// # The core machine in use
//
// One core machine is enough as long as it has contact with a majority, which it says with each answer to a lease
// renewal (corelink.go). Where it says that it has none, or doesn't answer, the agent fails over: it tries the other
// machines, one at a time with a backoff, as a candidate beside the one in use, and moves once a candidate with
// contact has answered. The former link is kept until then, as what its machine knows is better than nothing.
// Machines of the agent's own region are tried first, and an agent whose machine is in another region tries to return
// from time to time (corelist.go).
//
// # Updates
//
// An update is merged by version or incarnation, whatever its source, and only what was new is passed on: members to
// peers and to the proxy; a new configuration or shard map to the proxy, and to peers as a digest, since most of them
// have it already (updates.go). A digest that differs is answered by what its sender lacks (peers.go). That is how an
// agent that no core machine serves still learns what its peers know, the addresses of other core machines included.
//
// # Goroutines
//
// One goroutine, Run's, owns all tables and takes commands from a queue. Links' readers only put frames into that
// queue, so that nothing else is locked. Timers do the same.
package agent

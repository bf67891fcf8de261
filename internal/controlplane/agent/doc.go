// Package agent is the agent beside each proxy, a process of its own on the same machine.
//
// A proxy and its agent together are a driver. The agent renews the driver's lease at a core machine (a machine of the
// control plane), subscribes to updates there, exchanges them with a few peer agents, and passes them to the proxy over
// loopback. It makes no decisions about traffic. State that it has received stays valid until a newer version arrives.
// It keeps nothing on disk.
//
// # The core machine in use
//
// The agent uses one core machine as long as that machine has contact with a majority of the core, which it reports in
// each answer to a lease renewal (corelink.go). If the machine reports no contact or doesn't answer, the agent fails
// over: it tries the other machines one at a time, with a backoff, as a candidate beside the machine in use, and
// switches once a candidate with contact has answered. The previous link is kept until then, because stale state is
// better than none. Machines of the agent's own region are tried first, and an agent whose machine is in another region
// periodically tries to return (corelist.go).
//
// # Updates
//
// An update is merged by version or incarnation, whatever its source, and only new state is passed on: members to peers
// and to the proxy; a new configuration or shard map to the proxy, and to peers only as a digest, since most of them
// already have it (updates.go). A digest that differs from the receiver's is answered with the state that its sender
// lacks (peers.go). In this way an agent without a working core machine still gets its peers' state, including the
// addresses of other core machines.
//
// # Goroutines
//
// The goroutine of Run owns all state and executes commands from a queue. Readers of links and timers only enqueue
// commands, so no locks are needed.
package agent

// Package driver implements the database driver as a service, a read/write splitter: it accepts client connections,
// passes every op (one statement of a client) to the decision module (package logic), and sends requests to the
// members of the database as the module decides. The package does the I/O; which member to use and when to retry,
// hedge, queue or reject is decided in logic and the other decision packages.
//
// # Path of an op
//
//  1. A client's reader (client_reader.go) reads a message and passes it to the client's main goroutine (client.go),
//     which parses the query (query.go) and performs the op (op.go). Clients are admitted or evicted in admission.go.
//  2. A write that must not run twice and has an idempotency key goes through the ledger (ledger.go): a record is on
//     disk before the op is submitted, and the op's result is recorded afterwards.
//  3. The op is submitted to the decider (decider.go, decider_ops.go), which owns the decision module. The module
//     returns actions: start an attempt, cancel one, answer busy or with an error.
//  4. Each attempt (attempt.go) takes a connection from the pool (pool.go, member_conn.go), writes the request and
//     reads the answer (answer.go). Its result goes back to the decider, which may decide on further actions.
//  5. The first successful answer, or the module's busy or error reply (replies.go), finishes the op. Attempts that
//     have not been sent are forbidden to write, and the answer is written to the client.
//
// # Goroutine lifetimes
//
//	goroutine                     ends
//	a client's main and reader    with its connection; the service waits for all of them (Service.inFlight)
//	an attempt                    with its answer, deadline or cancellation; the service waits (Service.inFlight)
//	a health check                with its answer or timeout (Service.healthChecks)
//	background (run.go): watches  with the context of Run's background, once clients, attempts, the last saves and
//	  of discovery and registry,  health checks have ended
//	  pool's reaper, headroom,
//	  control sockets, peers,
//	  mesh, zones, presence
//	the ledger's writer           when its queue is closed, after all ops have ended
//	the state saver               with that context; the service doesn't wait, as its disk may hang
//	the log's writer              last
//
// Shutdown is graceful: connections are accepted for a short time longer (acceptGrace, acceptQuiet), and a client gets
// the answers to the messages that it has sent before its connection is closed.
//
// # Locks
//
// decider.mu is held during each call of the module. Nothing under it blocks: the actions that don't belong to an op
// (see performer) only start goroutines or fill queues. The order of locks that are taken while others are held:
//
//	stateSaver.saveMu  >  Service.rosterMu  >  fleet.mu  >  decider.mu  >  zoneAgent.trafficMu
//	zoneAgent.mu       >  decider.mu
//	switchovers.mu     >  decider.mu
//	Service.rosterMu   >  pool.mu, stateSaver.mu
//	attempt.mu         >  attempt.writeMu
//
// No lock is taken while one of the others (clientSet.mu, opLedger.mu, presence.mu, Service.discoveryMu) is held.
//
// # Invariants
//
//   - Answers are written in the order of a connection's messages. Invalid input on one connection affects no other.
//   - A request is written at most once, and nothing is written for an op once its answer is decided.
//   - A connection goes back to the pool only if nothing was written on it or its answer ended cleanly.
//   - The module's clock is never stepped, and implausible positions of members are discarded (clock.go).
//   - Changes of the membership reach the pool's addresses, then the module, in the roster's order (membership.go).
//   - No op waits for a registry, a peer, zones or the state's disk. Only the ledger's disk may delay an op, for at
//     most ledgerTimeShare of its timeout.
//   - The names of counters, events and keys in the log, and the reason codes, are an interface to operators.
//
// # Other files
//
// service.go assembles the parts, run.go starts and stops them, reload.go applies a SIGHUP. state_saver.go and
// state_restore.go save and restore what the module has learned (internal/learned). fleet*.go, peer.go, presence.go
// and datagrams.go communicate with other drivers; switchover.go and zone*.go are the driver's part in switchovers and
// in decisions about zones.
package driver

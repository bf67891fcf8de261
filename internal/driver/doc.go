// Package driver is the database driver as a service: it stands between clients and a database's members on sockets,
// and puts every op (one statement of a client) before the decision module, logic. The package does the I/O; what to
// send where, when to retry, hedge, queue or reject, is decided in logic and the other deciding packages.
//
// # The way of an op
//
//  1. A client's reader (client_reader.go) reads a message and passes it to the client's main goroutine (client.go),
//     which parses the query (query.go) and performs the op (op.go). Clients are admitted or evicted in admission.go.
//  2. A write that must not run twice and has an idempotency key goes by the ledger (ledger.go): its record is on disk
//     before the op goes on, and how it ended is recorded after.
//  3. The op is submitted to the decider (decider.go, decider_ops.go), which owns the decision module. The module
//     returns actions: start an attempt, cancel one, answer busy or with an error.
//  4. Each attempt (attempt.go) takes a connection from the pool (pool.go, member_conn.go), writes the request and
//     reads the answer (answer.go). Its result goes back to the decider, which may decide on further actions.
//  5. The first good answer, or the module's busy or error (replies.go), finishes the op. Attempts that were not sent
//     yet can't be sent any more, and the answer is written to the client.
//
// # Goroutines and who ends them
//
//	goroutine                     ends
//	a client's main and reader    with its connection; the service waits for all (Service.inFlight)
//	an attempt                    with its answer, deadline or cancellation; likewise
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
// A stop is graceful: connections are accepted for a moment longer (acceptGrace, acceptQuiet), and a client gets the
// answer to what it has sent before its connection is closed.
//
// # Locks
//
// decider.mu is held around each call of the module. Nothing under it blocks: actions beside ops (performer) only start
// goroutines or fill queues. Locks that are taken while others are held, in their order:
//
//	stateSaver.saveMu  >  Service.rosterMu  >  fleet.mu  >  decider.mu  >  zoneAgent.trafficMu
//	zoneAgent.mu       >  decider.mu
//	switchovers.mu     >  decider.mu
//	Service.rosterMu   >  pool.mu, stateSaver.mu
//	attempt.mu         >  attempt.writing
//
// The others (clientSet.mu, opLedger.mu, presence.mu, Service.discoveryMu) have none taken under them.
//
// # Invariants
//
//   - Answers go out in the order of a connection's messages. Bad input on one connection touches no other.
//   - A request is written at most once, and nothing is written for an op once its answer is due.
//   - A connection goes back to the pool only if nothing was written on it or its answer ended cleanly.
//   - The module's clock never steps, and positions of members that can't be true are left out (clock.go).
//   - Changes of the membership reach the pool's addresses, then the module, in the roster's order (membership.go).
//   - No op waits for a registry, a peer, zones or the state's disk. Only the ledger's disk may hold an op up, for
//     ledgerTimeShare of its time.
//   - Names of counters, events, reasons and their values in the log are an interface to operators.
//
// # Where else to look
//
// service.go puts the parts together, run.go has their lifetimes, reload.go what a SIGHUP changes. state_saver.go and
// state_restore.go keep what the module learned (internal/learned). Other drivers are reached by fleet*.go, peer.go,
// presence.go and datagrams.go; switchover.go and zone*.go are a driver's part in switchovers and decisions on zones.
package driver

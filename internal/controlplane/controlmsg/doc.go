// Package controlmsg defines the messages that the system's processes send each other over links of package transport.
//
// It defines only their format; the sending packages decide who sends what when. Messages are CBOR with integer keys. A
// key is never reused with another meaning, and a field that a later version adds is optional: processes of different
// versions can read each other's messages, as unknown keys are skipped. testdata/frames.txt has the bytes of every
// message.
//
// # Senders and receivers
//
//	message        from                    to                         file
//	Hello          dialling process        accepting process; answer  hello.go
//	LeaseRenewal   agent                   its core machine           lease.go
//	DriverLease    core machine            other core machines        lease.go
//	LeaseSync      core machine            leader; answer             lease.go
//	StateDigest    core machine, agent     its peers                  state.go
//	StateUpdate    core machine, agent     process with older state   state.go
//	Heartbeat      core machine            other core machines        state.go
//	PrimaryReport  proxy, via its agent    leader                     report.go
//	Request        core machine            leader                     request.go
//	Response       leader                  sender of the Request      request.go
//	QuotaRequest   proxy, via its agent    its core machine           quota.go
//	QuotaAnswer    core machine            sender of the request      quota.go
//	QuotaReport    core machine, agent     leader                     quota.go
//	QuotaGrant     leader                  sender of the report       quota.go
//
// Messages of the consensus protocol are consensus.Message; the Frame carries them unchanged.
//
// # Anti-entropy
//
// Members, drivers, the configuration and the shard map spread as updates that are sent once and are not acknowledged.
// Updates that are lost with a link are recovered by digests: each process periodically sends a StateDigest of its
// state, and a receiver that has something newer answers with a StateUpdate. Every merge is idempotent and independent
// of order, so that duplicate or late updates do no harm.
package controlmsg

// Package controlmsg is the messages that the system's processes send each other over links of package transport.
//
// It owns their form and nothing else: who sends what when is decided by the packages that send. Messages are CBOR
// with integer keys. A key is never given to another meaning, and a field that a later version adds is optional:
// processes of two versions read each other, as unknown keys are skipped. testdata/frames.txt holds the bytes of
// every message.
//
// # Who sends what to whom
//
//	message        from                    to                    file
//	Hello          who dialled             who accepted; answered hello.go
//	LeaseRenewal   agent                   its core machine      lease.go
//	DriverLease    core machine            other core machines   lease.go
//	LeaseSync      core machine            the leading machine   lease.go
//	StateDigest    core machine, agent     its peers             state.go
//	StateUpdate    core machine, agent     who lacks the state   state.go
//	Heartbeat      core machine            other core machines   state.go
//	PrimaryReport  proxy, by its agent     the leading machine   report.go
//	Request        core machine            the leading machine   request.go
//	Response       the leading machine     who sent the Request  request.go
//
// Messages of the consensus protocol are consensus.Message; the Frame carries them as they are.
//
// # Anti-entropy
//
// Members, drivers, the configuration and the shard map spread as updates that are sent once, and are not
// acknowledged. What is lost with a link is made good by digests: each process sends a StateDigest of what it has at
// intervals, and whoever has something newer answers with a StateUpdate. Every merge is idempotent and independent of
// order, so that an update that comes twice or late does no harm.
package controlmsg

package roster

import (
	"math/rand/v2"

	"weirwind/internal/limits"
)

// PresenceStep is an action on the driver's own lease.
type PresenceStep uint8

// The steps.
const (
	StepWait  PresenceStep = iota
	StepGrant              // grant a new lease, with the driver's key under it unless another driver owns the key
	StepRenew
)

// PresenceResult is the result of a step.
type PresenceResult uint8

// The results of steps.
const (
	StepDone      PresenceResult = iota
	StepLeaseLost                // the lease no longer exists
	StepNameTaken                // another driver's key has the name
	StepFailed
)

// firstPresenceBackoff is the maximum delay after the first failed step, in milliseconds. Later delays are limited by
// the lease's time to live.
const firstPresenceBackoff = 200

// Presence is the state of the driver's own lease in the registry. It never takes a lease as valid for longer than the
// registry may. Times are milliseconds.
type Presence struct {
	ttl        float64
	validUntil float64 // guaranteed end of validity while leased
	nextAt     float64 // when the next step is due
	leased     bool
	nameTaken  bool
	random     *rand.Rand
	backoff    limits.Backoff
}

// NewPresence returns a Presence without a lease. ttl is the time to live of the leases to request.
func NewPresence(ttl float64, seed uint64) *Presence {
	return &Presence{
		ttl:     ttl,
		random:  rand.New(rand.NewPCG(seed, 0xA5A5)),
		backoff: limits.Backoff{Base: firstPresenceBackoff, Max: ttl},
	}
}

// Next returns the step that is due, or StepWait with the time until the next one.
func (p *Presence) Next(now float64) (PresenceStep, float64) {
	if p.leased && now >= p.validUntil { // expired while the process was suspended: request a new one
		p.leased = false
	}
	switch {
	case now < p.nextAt:
		return StepWait, p.nextAt - now
	case p.leased:
		return StepRenew, 0
	}
	return StepGrant, 0
}

// StepEnded records the result of a step. A lease is valid from the start of the step, as the registry may count its
// time from then. ttl is the time to live that the registry granted, 0 for the requested one.
func (p *Presence) StepEnded(startedAt, now float64, result PresenceResult, ttl float64) {
	switch result {
	case StepDone:
		if ttl <= 0 {
			ttl = p.ttl
		}
		p.backoff.Reset()
		p.leased, p.nameTaken, p.validUntil, p.nextAt = true, false, startedAt+ttl, startedAt+ttl/3
	case StepLeaseLost:
		p.leased, p.nextAt = false, now
	case StepNameTaken: // by the lease of an earlier run, which will expire, or by another driver
		p.leased, p.nameTaken = false, true
		p.nextAt = now + p.ttl*(0.5+0.5*p.random.Float64())
	default:
		p.nextAt = now + p.backoff.RecordFailure(p.random)
	}
}

// Status reports whether the lease is certainly valid, and whether another driver has the name.
func (p *Presence) Status(now float64) (valid, nameTaken bool) {
	return p.leased && now < p.validUntil, p.nameTaken
}

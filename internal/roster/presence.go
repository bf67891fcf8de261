package roster

import (
	"math/rand/v2"

	"weirwind/internal/limits"
)

// PresenceStep is what to do about the driver's own lease.
type PresenceStep uint8

// The steps.
const (
	StepWait  PresenceStep = iota
	StepGrant              // a new lease, and the driver's key under it unless another one has it
	StepRenew
)

// PresenceResult is how a step ended.
type PresenceResult uint8

// The results of steps.
const (
	StepDone      PresenceResult = iota
	StepLeaseLost                // the lease is not there any more
	StepNameTaken                // another driver's key has the name
	StepFailed
)

// minPresenceBackoff is the limit of the first delay behind a failed step, in milliseconds; that of all is the
// lease's time.
const minPresenceBackoff = 200

// Presence is the state of the driver's own lease in the registry. A lease is never taken as valid for longer than
// the registry may take it. Times are milliseconds.
type Presence struct {
	ttl        float64
	validUntil float64 // for certain, while leased
	nextAt     float64 // when the next step is due
	leased     bool
	nameTaken  bool
	random     *rand.Rand
	backoff    limits.Backoff
}

// NewPresence begins without a lease. ttl is the time of the leases to ask for.
func NewPresence(ttl float64, seed uint64) *Presence {
	return &Presence{
		ttl:     ttl,
		random:  rand.New(rand.NewPCG(seed, 0xA5A5)),
		backoff: limits.Backoff{Base: minPresenceBackoff, Max: ttl},
	}
}

// Next gives the step that is due, or StepWait with the time until one is.
func (p *Presence) Next(now float64) (PresenceStep, float64) {
	if p.leased && now >= p.validUntil { // expired while the process was frozen: it is not renewed but granted anew
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

// StepEnded takes the result of a step that began at began. A lease is valid from then on, as the registry may have
// counted from then; ttl is the time that the registry granted, 0 for the one asked for.
func (p *Presence) StepEnded(began, now float64, result PresenceResult, ttl float64) {
	switch result {
	case StepDone:
		if ttl <= 0 {
			ttl = p.ttl
		}
		p.backoff.Reset()
		p.leased, p.nameTaken, p.validUntil, p.nextAt = true, false, began+ttl, began+ttl/3
	case StepLeaseLost:
		p.leased, p.nextAt = false, now
	case StepNameTaken: // by an earlier run's lease, which expires, or by another driver
		p.leased, p.nameTaken = false, true
		p.nextAt = now + p.ttl*(0.5+0.5*p.random.Float64())
	default:
		p.nextAt = now + p.backoff.RecordFailure(p.random)
	}
}

// Status says whether the lease is valid for certain, and whether another driver has the name.
func (p *Presence) Status(now float64) (valid, nameTaken bool) {
	return p.leased && now < p.validUntil, p.nameTaken
}

package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/quota/limiter"
	"weirwind/internal/standin/virtualclock"
)

// This file has a model of a core in virtual time: machines with the real limiter, leaders with the real allocator, and
// a network between them.

const (
	modelWindowMs    = 5000.0 // window in which admitted operations are counted
	modelContactMs   = 1500.0 // time for which a leader continues after its successor started
	modelTickMs      = 25.0
	maxConfigDelayMs = 1000.0 // time until a new configuration has reached every machine
)

// modelOptions turn off the model's faults, or one of the safeguards of the protocol.
type modelOptions struct {
	faultFree             bool // messages arrive once and in time, no machine fails, limits and leaders stay
	acceptsOldGrants      bool // a holder applies grants that answer older reports
	assumesAllSharesKnown bool // a new leader assumes that no share is unreported
	forgetsFormerVoters   bool // a new leader doesn't wait for machines that have stopped voting
}

type model struct {
	virtualclock.Scheduler
	options      modelOptions
	rng          *rand.Rand
	limits       map[string]Limit
	limitChanges []limitChange
	leaders      []*modelLeader // the newest is the last
	holders      []*modelHolder
	network      network

	requested, admitted map[string][]float64 // times of operations, by tenant
	maxShareSum         float64              // largest sum of the shares of a tenant that holders had at one moment
}

// network has the probabilities of the network's faults.
type network struct{ lossRate, delayRate, duplicateRate float64 }

type limitChange struct {
	at     float64
	limits map[string]Limit
}

type modelLeader struct {
	allocator    *Allocator
	contactUntil float64
}

type modelHolder struct {
	name             string
	limiter          *limiter.Limiter
	incarnation      uint64
	newestSeq        uint64
	partitionedUntil float64
	voterUntil       float64              // +Inf while it is a voter
	demand           map[string]float64   // operations a second
	waitingSince     map[string][]float64 // arrival times of waiting operations, by tenant
}

func newModel(seed uint64, options modelOptions) *model {
	m := &model{options: options, rng: rand.New(rand.NewPCG(seed, 7)), requested: map[string][]float64{},
		admitted: map[string][]float64{},
		limits:   map[string]Limit{"large": {Rate: 60, Burst: 30}, "small": {Rate: 6, Burst: 12}}}
	if !options.faultFree {
		chances := []float64{0, 0.05, 0.3}
		m.network = network{chances[m.rng.IntN(3)], chances[m.rng.IntN(3)], chances[m.rng.IntN(3)]}
	}
	m.limitChanges = []limitChange{{-math.MaxFloat64, m.limits}}
	first := &modelLeader{allocator: New(0, 1, []string{}, true), contactUntil: math.Inf(1)}
	first.allocator.SetLimits(m.limits, 0)
	m.leaders = []*modelLeader{first}
	for i := range 8 {
		m.addVoter(fmt.Sprint("core-", i))
	}
	return m
}

// addVoter adds a machine that votes.
func (m *model) addVoter(name string) {
	h := &modelHolder{name: name, demand: map[string]float64{}, voterUntil: math.Inf(1)}
	m.holders = append(m.holders, h)
	m.restart(h)
	m.After(m.rng.Float64()*modelTickMs, func() { m.tick(h) })
}

func (m *model) restart(h *modelHolder) {
	h.incarnation++
	h.limiter, h.newestSeq = limiter.New(h.incarnation, modelWindowMs), 0
	h.waitingSince = map[string][]float64{}
	m.applyLimits(h)
}

// applyLimits gives a holder the current limits.
func (m *model) applyLimits(h *modelHolder) {
	limits := map[string]limiter.Limit{}
	for name, limit := range m.limits {
		limits[name] = limiter.Limit(limit)
	}
	h.limiter.SetLimits(limits, m.Now)
}

// tick generates a holder's operations, and sends its report if one is due.
func (m *model) tick(h *modelHolder) {
	m.After(modelTickMs, func() { m.tick(h) })
	for _, tenant := range []string{"large", "small"} {
		m.serveWaiting(h, tenant)
		for range m.arrivals(h.demand[tenant]) {
			m.requested[tenant] = append(m.requested[tenant], m.Now)
			switch h.limiter.Admit(tenant, len(h.waitingSince[tenant]), m.Now).Verdict {
			case limiter.Admitted:
				m.admitted[tenant] = append(m.admitted[tenant], m.Now)
			case limiter.Waiting:
				h.waitingSince[tenant] = append(h.waitingSince[tenant], m.Now)
			}
		}
	}
	m.sendReport(h)
}

func (m *model) recordShareSum() {
	for tenant := range m.limits {
		sum := 0.0
		for _, h := range m.holders {
			share, _ := h.limiter.ShareAndDemand(tenant, m.Now)
			sum += share
		}
		m.maxShareSum = max(m.maxShareSum, sum)
	}
}

// arrivals draws the number of operations that arrive in a tick.
func (m *model) arrivals(perSecond float64) (n int) {
	for at := m.rng.ExpFloat64(); at < perSecond*modelTickMs/1000; at += m.rng.ExpFloat64() {
		n++
	}
	return n
}

func (m *model) serveWaiting(h *modelHolder, tenant string) {
	for len(h.waitingSince[tenant]) > 0 {
		switch h.limiter.Retry(tenant, 0, m.Now).Verdict {
		case limiter.Admitted:
			m.admitted[tenant] = append(m.admitted[tenant], m.Now)
		case limiter.Waiting:
			return
		}
		h.waitingSince[tenant] = h.waitingSince[tenant][1:]
	}
}

func (m *model) sendReport(h *modelHolder) {
	report := h.limiter.NextReport(m.Now)
	if report == nil {
		return
	}
	report.Holder, h.newestSeq = h.name, report.Seq
	m.transmit(h, func() {
		leader := m.leaders[len(m.leaders)-1]
		if !m.options.faultFree && m.rng.IntN(3) == 0 { // the message is routed to an earlier leader
			leader = m.leaders[m.rng.IntN(len(m.leaders))]
		}
		if m.Now > leader.contactUntil || m.Now > h.voterUntil {
			return
		}
		if grant := leader.allocator.Report(report, m.Now); grant != nil {
			m.transmit(h, func() { m.apply(h, *grant) })
		}
	})
}

func (m *model) apply(h *modelHolder, grant controlmsg.QuotaGrant) {
	if m.options.acceptsOldGrants && grant.Incarnation == h.incarnation {
		grant.Seq = h.newestSeq
	}
	if h.limiter.Apply(&grant, m.Now) {
		m.serveWaiting(h, "large")
		m.serveWaiting(h, "small")
		m.recordShareSum()
	}
}

// transmit delivers a message to or from a holder: once, late, twice or never.
func (m *model) transmit(h *modelHolder, deliver func()) {
	delay := 5 + 55*m.rng.Float64()
	if m.Now < h.partitionedUntil || m.rng.Float64() < m.network.lossRate {
		return
	}
	if m.rng.Float64() < m.network.delayRate {
		delay += 15_000 * math.Pow(m.rng.Float64(), 3)
	}
	m.After(delay, deliver)
	if m.rng.Float64() < m.network.duplicateRate {
		m.After(delay+3000*m.rng.Float64(), deliver)
	}
}

// setDemand changes the holders' demand at random; its sum is factor times the limit.
func (m *model) setDemand(factor float64) {
	for _, tenant := range []string{"large", "small"} { // in a fixed order, as each draws random numbers
		limit := m.limits[tenant]
		sum, weights := 0.0, make([]float64, len(m.holders))
		for i := range weights {
			weights[i] = math.Pow(m.rng.Float64(), 4)
			sum += weights[i]
		}
		for i, h := range m.holders {
			h.demand[tenant] = limit.Rate * factor * weights[i] / sum
		}
	}
}

// changeLeader starts another leader's term. The previous leader continues until its contact with a quorum ends.
func (m *model) changeLeader() {
	previous := m.leaders[len(m.leaders)-1]
	previous.contactUntil = m.Now + modelContactMs
	next := &modelLeader{allocator: New(m.Now, uint64(len(m.leaders)+1), m.possibleHolders(), true), contactUntil: math.Inf(1)}
	next.allocator.SetLimits(m.limits, m.Now)
	m.leaders = append(m.leaders, next)
}

// possibleHolders returns the machines that a new leader regards as possible holders of shares; at random it returns
// nil, which means that they are unknown.
func (m *model) possibleHolders() (holders []string) {
	if m.options.assumesAllSharesKnown {
		return []string{}
	}
	if m.rng.IntN(4) == 0 {
		return nil
	}
	for _, h := range m.holders {
		if h.voterUntil == math.Inf(1) || !m.options.forgetsFormerVoters && m.Now-h.voterUntil <= BoundLifetimeMs {
			holders = append(holders, h.name)
		}
	}
	return holders
}

// replaceVoter turns a voter into a non-voter, which keeps running, and adds another voter.
func (m *model) replaceVoter(h *modelHolder) {
	h.voterUntil = min(h.voterUntil, m.Now)
	m.addVoter(fmt.Sprint("core-", len(m.holders)))
}

// changeLimits sets other limits, which reach each machine after a random delay.
func (m *model) changeLimits() {
	scale := 0.5 + m.rng.Float64()
	m.limits = map[string]Limit{"large": {Rate: 60 * scale, Burst: 30 * scale}, "small": {Rate: 6, Burst: 12 / scale}}
	m.limitChanges = append(m.limitChanges, limitChange{m.Now, m.limits})
	limits := m.limits
	for _, leader := range m.leaders {
		m.After(maxConfigDelayMs*m.rng.Float64(), func() { leader.allocator.SetLimits(limits, m.Now) })
	}
	for _, h := range m.holders {
		m.After(maxConfigDelayMs*m.rng.Float64(), func() { m.applyLimits(h) })
	}
}

// injectFault makes one random change or fault, and schedules the next.
func (m *model) injectFault() {
	h := m.holders[m.rng.IntN(len(m.holders))]
	switch m.rng.IntN(7) {
	case 0:
		m.changeLeader()
	case 1:
		m.restart(h)
	case 2:
		h.partitionedUntil = m.Now + 25_000*m.rng.Float64()
	case 3:
		m.changeLimits()
	case 4:
		m.replaceVoter(h)
	default:
		m.setDemand([]float64{0.3, 0.9, 1.5, 7.5}[m.rng.IntN(4)])
	}
	m.After(4000*m.rng.Float64(), m.injectFault)
}

// run simulates changes and faults until a time in milliseconds.
func (m *model) run(until float64) {
	m.setDemand(7.5)
	m.After(0, m.injectFault)
	m.RunUntil(until)
}

// maxOperations returns the operations that the largest limit in force anywhere during a window allows in it.
func (m *model) maxOperations(tenant string, from, to float64) (operations float64) {
	for i, change := range m.limitChanges {
		ended := i+1 < len(m.limitChanges) && m.limitChanges[i+1].at+maxConfigDelayMs < from
		if limit := change.limits[tenant]; !ended && change.at <= to {
			operations = max(operations, limit.Rate*modelWindowMs/1000+limit.Burst)
		}
	}
	return operations
}

// maxWindowUsage returns the largest fraction of a tenant's limit that was admitted in one window; above 1, the limit
// was exceeded.
func (m *model) maxWindowUsage(tenant string) (usage float64) {
	times := m.admitted[tenant]
	slices.Sort(times)
	first := 0
	for last, now := range times {
		for now-times[first] > modelWindowMs {
			first++
		}
		limit := m.maxOperations(tenant, times[first], times[first]+modelWindowMs)
		usage = max(usage, float64(last-first+1)/limit)
	}
	return usage
}

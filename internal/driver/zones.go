package driver

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"weirwind/internal/durable"
	"weirwind/internal/fleet/zones"
	"weirwind/internal/operator"
	"weirwind/logic"
)

const (
	observationsPerHeartbeat = 5
	zonePlansTag             = "PLAN" // names this kind of state to the store
	zonePlansBytes           = 4 << 20
)

// How the operators' few settings of zones become internal/fleet/zones' many.
const (
	maxShiftRate        = 0.5 // of a zone's reads, a second
	degradedIntervals   = 5   // of EjectAfter
	maxEjectionTimes    = 32  // of MinEjectionTime
	slowStartHeartbeats = 4
	forgiveTimes        = 30 // of MinEjectionTime
)

// zoneAgent is a driver's part in decisions on zones: it gives internal/fleet/zones, which judges zones and makes
// plans, what the driver observes and what peers say, carries out what that decides, and counts traffic between zones.
// No op waits for it.
type zoneAgent struct {
	service        *Service
	zone           string // the driver's own
	heartbeat      time.Duration
	store          *durable.Latest // of votes; nil where they don't outlive the process
	outgoing       chan zones.Envelope
	stalenessBound float64  // milliseconds, the tightest of all op types; 0 for none
	opTypes        []string // names, in the module's order

	webhook      string              // URL; empty for none
	webhookCalls map[int64]time.Time // the last of each group; the observing goroutine's

	mu    sync.Mutex // guards what follows; never taken with the decider's lock held
	zones *zones.Coordinator

	trafficMu   sync.Mutex // guards what follows; may be taken with the decider's lock held
	traffic     zones.TrafficCounter
	latencies   map[string]*zones.LatencyBaseline // by zone
	positions   map[string]reportedPosition       // by member: the last it reported
	planned     map[string]bool                   // zones that the plan has a share for
	readRates   map[string]float64                // own reads a second by zone, as counted last
	readRatesAt float64                           // when that was, in milliseconds
}

// reportedPosition is a position that a member reported, and when, in milliseconds.
type reportedPosition struct{ position, reportedAt float64 }

// openZones makes a driver's part in decisions on zones.
func (s *Service) openZones(block operator.Zones, membership operator.Membership, config *configuration) error {
	z := &zoneAgent{
		service:      s,
		zone:         zoneOf(membership, config),
		heartbeat:    block.HeartbeatInterval,
		outgoing:     make(chan zones.Envelope, outgoingZoneMessages),
		opTypes:      make([]string, len(config.settings.Opening.OpTypes)),
		webhook:      block.Webhook,
		webhookCalls: map[int64]time.Time{},
		latencies:    map[string]*zones.LatencyBaseline{},
		positions:    map[string]reportedPosition{},
		readRatesAt:  s.decider.clock.now(),
	}
	for _, t := range config.settings.Opening.OpTypes {
		if t.Need == logic.Bounded && (z.stalenessBound == 0 || t.MaxAge < z.stalenessBound) {
			z.stalenessBound = t.MaxAge
		}
	}
	for name, i := range config.settings.OpTypes {
		z.opTypes[i] = name
	}
	options := zoneOptions(block)
	if membership.Folder != "" {
		if err := z.openStore(filepath.Join(membership.Folder, "plans"), &options); err != nil {
			return fmt.Errorf("zones: %w", err)
		}
	}
	self := zones.Peer{Name: config.Name, Zone: z.zone}
	z.zones = zones.New(s.decider.clock.now(), options, self, uint64(s.decider.clock.unixMs))
	s.zones = z
	s.decider.countByZone(z)
	return nil
}

// zoneOptions derives the options of decisions on zones from the operators'.
func zoneOptions(block operator.Zones) zones.Options {
	heartbeat, ejectAfter := milliseconds(block.HeartbeatInterval), milliseconds(block.EjectAfter)
	minEjection := milliseconds(block.MinEjectionTime)
	options := zones.Options{
		Heartbeat:           heartbeat,
		Lease:               milliseconds(block.PlanLease),
		Voters:              block.Voters,
		BaselineUtilization: float64(block.TargetLoad) / 100,
		MaxShiftRate:        maxShiftRate,
		Timing: zones.Timing{
			SuspectFor:   ejectAfter,
			DegradedFor:  degradedIntervals * ejectAfter,
			BaseEjection: minEjection,
			MaxEjection:  maxEjectionTimes * minEjection,
			SlowStart:    slowStartHeartbeats * heartbeat,
			ForgiveAfter: forgiveTimes * minEjection,
		},
		Limits: zones.Limits{
			Headroom:        float64(block.Headroom) / 100,
			CrossZoneBudget: float64(block.CrossZoneBudget) / 100,
		},
	}
	for _, r := range block.Regions {
		options.Regions = append(options.Regions, zones.Region{Name: r.Name, Zones: r.Zones})
	}
	return options
}

// openStore opens the folder of votes and restores the last that an earlier run saved.
func (z *zoneAgent) openStore(folder string, options *zones.Options) error {
	store, last, err := durable.OpenLatest(folder, zonePlansTag, zonePlansBytes)
	if err == nil && len(last) > 0 {
		options.Saved = &zones.SavedState{}
		err = cbor.Unmarshal(last, options.Saved)
	}
	if err != nil {
		return err
	}
	z.store, options.Persistent = store, true
	return nil
}

// run takes part until the context ends.
func (z *zoneAgent) run(ctx context.Context) error {
	var senders errgroup.Group
	for range zoneSenders {
		senders.Go(func() error { z.sendLoop(ctx); return nil })
	}
	every(ctx, z.heartbeat/observationsPerHeartbeat, func() { z.observe(ctx) })
	err := senders.Wait()
	if z.store != nil {
		_ = z.store.Close() // what was appended is on disk
	}
	return err
}

// observe gives what the driver observes to the decisions, and lets time pass for them.
func (z *zoneAgent) observe(ctx context.Context) {
	observations, primaries, readRates := z.observations(z.service.decider.clock.now())
	fleet := z.membership()
	z.apply(func(now float64) zones.Output { return z.zones.Observe(now, observations, primaries, readRates) })
	z.apply(func(now float64) zones.Output { return z.zones.Tick(now, fleet) })
	z.callWebhook(ctx)
}

// apply makes a decision and carries out what comes of it, and says whether the plan changed. Votes are on disk before
// they are sent, and before anything else is decided.
func (z *zoneAgent) apply(decide func(now float64) zones.Output) (planChanged bool) {
	z.mu.Lock()
	now := z.service.decider.clock.now()
	out := decide(now)
	if out.Save != nil {
		if err := z.saveVotes(out.Save); err != nil {
			z.service.log.Warn("zones", "reason", "votes_not_kept", "error", err)
			out.Messages = nil
			z.zones.Saved(now, false)
		} else {
			z.zones.Saved(now, true)
		}
	}
	if out.PenaltiesChanged {
		tolls := z.zones.ZonePenalties()
		z.service.decider.step(logic.Event{Kind: logic.EvTolls, Tolls: tolls})
		z.service.log.Info("zones", "reason", "tolls", "text", fmt.Sprint(tolls))
		z.trafficMu.Lock()
		z.planned = z.zones.PlannedZones()
		z.trafficMu.Unlock()
	}
	z.mu.Unlock()
	for _, e := range out.Events {
		z.service.log.Info("zones", "reason", e.Reason, "name", e.Name, "text", e.Text)
	}
	for _, m := range out.Messages {
		z.send(m)
	}
	if out.PlanChanged {
		z.service.fleet.mesh.SpreadGossip()
	}
	return out.PlanChanged
}

func (z *zoneAgent) saveVotes(votes *zones.SavedState) error {
	b, err := cbor.Marshal(votes)
	if err != nil {
		return err
	}
	return z.store.Save(b)
}

// Status is the view of zones as it is now.
func (z *zoneAgent) Status() zones.Status {
	z.mu.Lock()
	s := z.zones.Status(z.service.decider.clock.now())
	z.mu.Unlock()
	z.trafficMu.Lock()
	s.CrossZone = z.traffic.CrossZone()
	z.trafficMu.Unlock()
	return s
}

// Submit takes an operator's command.
func (z *zoneAgent) Submit(command zones.Command) (err error) {
	command.ID = uint64(z.service.decider.clock.now() * 1000)
	z.apply(func(now float64) (out zones.Output) {
		out, err = z.zones.Submit(now, command)
		return out
	})
	return err
}

// Preview is the plan that would be made without a zone.
func (z *zoneAgent) Preview(zone string) (zones.Preview, error) {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.zones.Simulate(z.service.decider.clock.now(), zone)
}

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
	zonePlansTag             = "PLAN" // identifies this kind of state in the store
	zonePlansBytes           = 4 << 20
)

// Factors by which the options of internal/fleet/zones are derived from the operators' settings.
const (
	maxShiftRate         = 0.5 // share of a zone's reads that may be shifted per second
	degradedMultiple     = 5   // in units of EjectAfter
	maxEjectionMultiple  = 32  // in units of MinEjectionTime
	slowStartHeartbeats  = 4
	forgiveAfterMultiple = 30 // in units of MinEjectionTime
)

// zoneAgent is a driver's part in decisions about zones: it passes the driver's observations and messages from peers to
// internal/fleet/zones, which evaluates zones and makes plans, carries out its decisions, and counts traffic between
// zones. No op waits for it.
type zoneAgent struct {
	service        *Service
	zone           string // the zone of the driver
	heartbeat      time.Duration
	store          *durable.Latest // saved votes; nil if votes are not persistent
	outgoing       chan zones.Envelope
	stalenessBound float64  // in milliseconds, the minimum over all op types; 0 if none
	opTypes        []string // names, in the order of the module

	webhook      string              // URL; empty if none is configured
	webhookCalls map[int64]time.Time // time of the last call by group; used by the observing goroutine only

	mu          sync.Mutex // guards what follows; never taken with the decider's lock held
	coordinator *zones.Coordinator

	trafficMu          sync.Mutex // guards what follows; may be taken with the decider's lock held
	traffic            zones.TrafficCounter
	latencies          map[string]*zones.LatencyBaseline // by zone
	positions          map[string]reportedPosition       // the last reported one, by member
	plannedZones       map[string]bool                   // zones that the plan has a share for
	readRates          map[string]float64                // this driver's reads per second by zone, as last counted
	readRatesCountedAt float64                           // when they were counted, in milliseconds
}

// reportedPosition is a position that a member reported, and the time of the report in milliseconds.
type reportedPosition struct{ position, reportedAt float64 }

// openZones creates the driver's part in decisions about zones.
func (s *Service) openZones(block operator.Zones, membership operator.Membership, config *configuration) error {
	agent := &zoneAgent{
		service:            s,
		zone:               driverZone(membership, config),
		heartbeat:          block.HeartbeatInterval,
		outgoing:           make(chan zones.Envelope, zoneMessageQueueSize),
		opTypes:            make([]string, len(config.settings.Opening.OpTypes)),
		webhook:            block.Webhook,
		webhookCalls:       map[int64]time.Time{},
		latencies:          map[string]*zones.LatencyBaseline{},
		positions:          map[string]reportedPosition{},
		readRatesCountedAt: s.decider.clock.now(),
	}
	for _, opType := range config.settings.Opening.OpTypes {
		if opType.Need == logic.Bounded && (agent.stalenessBound == 0 || opType.MaxAge < agent.stalenessBound) {
			agent.stalenessBound = opType.MaxAge
		}
	}
	for name, i := range config.settings.OpTypes {
		agent.opTypes[i] = name
	}
	options := zoneOptions(block)
	if membership.Folder != "" {
		if err := agent.openStore(filepath.Join(membership.Folder, "plans"), &options); err != nil {
			return fmt.Errorf("zones: %w", err)
		}
	}
	self := zones.Peer{Name: config.Name, Zone: agent.zone}
	agent.coordinator = zones.New(s.decider.clock.now(), options, self, uint64(s.decider.clock.startUnixMs))
	s.zones = agent
	s.decider.setZoneAgent(agent)
	return nil
}

// zoneOptions derives the options of the coordinator from the operators' settings.
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
			DegradedFor:  degradedMultiple * ejectAfter,
			BaseEjection: minEjection,
			MaxEjection:  maxEjectionMultiple * minEjection,
			SlowStart:    slowStartHeartbeats * heartbeat,
			ForgiveAfter: forgiveAfterMultiple * minEjection,
		},
		Limits: zones.Limits{
			Headroom:        float64(block.Headroom) / 100,
			CrossZoneBudget: float64(block.CrossZoneBudget) / 100,
		},
	}
	for _, region := range block.Regions {
		options.Regions = append(options.Regions, zones.Region{Name: region.Name, Zones: region.Zones})
	}
	return options
}

// openStore opens the store of votes and loads the last state that an earlier run saved.
func (z *zoneAgent) openStore(folder string, options *zones.Options) error {
	store, saved, err := durable.OpenLatest(folder, zonePlansTag, zonePlansBytes)
	if err == nil && len(saved) > 0 {
		options.Saved = &zones.SavedState{}
		err = cbor.Unmarshal(saved, options.Saved)
	}
	if err != nil {
		return err
	}
	z.store, options.Persistent = store, true
	return nil
}

// run takes part in decisions about zones until the context ends.
func (z *zoneAgent) run(ctx context.Context) error {
	var senders errgroup.Group
	for range zoneSenders {
		senders.Go(func() error { z.sendLoop(ctx); return nil })
	}
	runPeriodically(ctx, z.heartbeat/observationsPerHeartbeat, func() { z.observe(ctx) })
	err := senders.Wait()
	if z.store != nil {
		_ = z.store.Close() // what was appended is on disk
	}
	return err
}

// observe passes the driver's observations, the state of the fleet and the time to the coordinator.
func (z *zoneAgent) observe(ctx context.Context) {
	observations, primaries, readRates := z.observations(z.service.decider.clock.now())
	fleet := z.fleetView()
	z.apply(func(now float64) zones.Output { return z.coordinator.Observe(now, observations, primaries, readRates) })
	z.apply(func(now float64) zones.Output { return z.coordinator.Tick(now, fleet) })
	z.callWebhook(ctx)
}

// apply calls the coordinator through decide, carries out the output, and reports whether the plan changed. Votes are
// saved to disk before they are sent, and before the next decision.
func (z *zoneAgent) apply(decide func(now float64) zones.Output) (planChanged bool) {
	z.mu.Lock()
	now := z.service.decider.clock.now()
	output := decide(now)
	if output.Save != nil {
		if err := z.saveVotes(output.Save); err != nil {
			z.service.log.Warn("zones", "reason", "votes_not_kept", "error", err)
			output.Messages = nil
			z.coordinator.Saved(now, false)
		} else {
			z.coordinator.Saved(now, true)
		}
	}
	if output.PenaltiesChanged {
		penalties := z.coordinator.ZonePenalties()
		z.service.decider.step(logic.Event{Kind: logic.EvTolls, Tolls: penalties})
		z.service.log.Info("zones", "reason", "tolls", "text", fmt.Sprint(penalties))
		z.trafficMu.Lock()
		z.plannedZones = z.coordinator.PlannedZones()
		z.trafficMu.Unlock()
	}
	z.mu.Unlock()
	for _, event := range output.Events {
		z.service.log.Info("zones", "reason", event.Reason, "name", event.Name, "text", event.Text)
	}
	for _, envelope := range output.Messages {
		z.send(envelope)
	}
	if output.PlanChanged {
		z.service.fleet.mesh.SpreadGossip()
	}
	return output.PlanChanged
}

func (z *zoneAgent) saveVotes(votes *zones.SavedState) error {
	encoded, err := cbor.Marshal(votes)
	if err != nil {
		return err
	}
	return z.store.Save(encoded)
}

// Status returns the current status of zones.
func (z *zoneAgent) Status() zones.Status {
	z.mu.Lock()
	status := z.coordinator.Status(z.service.decider.clock.now())
	z.mu.Unlock()
	z.trafficMu.Lock()
	status.CrossZone = z.traffic.CrossZone()
	z.trafficMu.Unlock()
	return status
}

// Submit executes an operator's command.
func (z *zoneAgent) Submit(command zones.Command) (err error) {
	command.ID = uint64(z.service.decider.clock.now() * 1000)
	z.apply(func(now float64) (output zones.Output) {
		output, err = z.coordinator.Submit(now, command)
		return output
	})
	return err
}

// Preview returns the plan that would be made without a zone.
func (z *zoneAgent) Preview(zone string) (zones.Preview, error) {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.coordinator.Simulate(z.service.decider.clock.now(), zone)
}

package driver

// This file owns what the driver does with plans of zones: it puts what it sees and what peers say before
// internal/fleet/zones, carries out what that decides, and counts sends between zones. It must never judge a zone or a
// plan itself, or keep an op waiting for either.

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"weirwind/internal/durable"
	"weirwind/internal/fleet/membership"
	"weirwind/internal/fleet/zones"
	"weirwind/internal/operator"
	"weirwind/logic"
)

const (
	observationsPerInterval = 5 // a beat
	zoneSenders             = 8 // to peers at a time
	zoneQueueLength         = 256
	zoneCallTimeout         = 2 * time.Second
	zonePlansTag            = "PLAN"
	zonePlansBytes          = 4 << 20
	webhookTimeout          = 5 * time.Second
	webhookInterval         = 10 * time.Second
	positionTTL             = 2000.0 // ms that a member's position counts
)

// countEvery is the least time between two counts of reads, in milliseconds: shorter spans say little.
const sendRateInterval = 900.0

// zoneAgent is a driver's part in deciding on zones.
type zoneAgent struct {
	service        *Service
	zone           string
	interval       time.Duration
	store          *durable.Latest // nil where votes do not outlive the process
	outgoing       chan zones.Envelope
	webhook        string
	stalenessBound float64 // the tightest bound on the age of data; 0: there is none
	opTypes        []string

	mu    sync.Mutex // guards what follows; never taken with the decider's lock held
	zones *zones.Coordinator

	trafficMu   sync.Mutex // guards what follows; may be taken with the decider's lock held
	traffic     zones.TrafficCounter
	latencies   map[string]*zones.LatencyBaseline // by zone
	positions   map[string]reportedPosition       // by member: what it said last
	planned     map[string]bool                   // zones that the plan has a share for
	sendRates   map[string]float64
	sendRatesAt float64

	webhookCalls map[int64]time.Time // webhooks, by group
}

// reportedPosition is a position that a member said, and when.
type reportedPosition struct{ position, reportedAt float64 }

// openZones makes a driver's part in deciding on zones.
func (v *Service) openZones(o operator.Zones, m operator.Membership, a *configuration) error {
	z := &zoneAgent{service: v, zone: zoneOf(m, a), interval: o.HeartbeatInterval, outgoing: make(chan zones.Envelope, zoneQueueLength), webhook: o.Webhook,
		latencies: map[string]*zones.LatencyBaseline{}, positions: map[string]reportedPosition{}, webhookCalls: map[int64]time.Time{},
		sendRatesAt: v.decider.clock.now()}
	for _, t := range a.settings.Opening.OpTypes {
		if t.Need == logic.Bounded && (z.stalenessBound == 0 || t.MaxAge < z.stalenessBound) {
			z.stalenessBound = t.MaxAge
		}
	}
	z.opTypes = make([]string, len(a.settings.Opening.OpTypes))
	for name, i := range a.settings.OpTypes {
		z.opTypes[i] = name
	}
	beat := milliseconds(o.HeartbeatInterval)
	rules := zones.Options{Heartbeat: beat, Lease: milliseconds(o.PlanLease), Voters: o.Voters, BaselineUtilization: float64(o.TargetLoad) / 100,
		MaxShiftRate: 0.5,
		Timing: zones.Timing{SuspectFor: milliseconds(o.EjectAfter), DegradedFor: 5 * milliseconds(o.EjectAfter), BaseEjection: milliseconds(o.MinEjectionTime),
			MaxEjection: 32 * milliseconds(o.MinEjectionTime), SlowStart: 4 * beat, ForgiveAfter: 30 * milliseconds(o.MinEjectionTime)},
		Limits: zones.Limits{Headroom: float64(o.Headroom) / 100, CrossZoneBudget: float64(o.CrossZoneBudget) / 100}}
	for _, r := range o.Regions {
		rules.Regions = append(rules.Regions, zones.Region{Name: r.Name, Zones: r.Zones})
	}
	if m.Folder != "" {
		keep, last, err := durable.OpenLatest(filepath.Join(m.Folder, "plans"), zonePlansTag, zonePlansBytes)
		if err == nil && len(last) > 0 {
			rules.Saved = &zones.SavedState{}
			err = cbor.Unmarshal(last, rules.Saved)
		}
		if err != nil {
			return fmt.Errorf("zones: %w", err)
		}
		z.store, rules.Persistent = keep, true
	}
	z.zones = zones.New(v.decider.clock.now(), rules, zones.Peer{Name: a.Name, Zone: z.zone}, uint64(v.decider.clock.unixMs))
	v.zones = z
	v.decider.countByZone(z)
	return nil
}

// run takes part until the context ends.
func (z *zoneAgent) run(ctx context.Context) error {
	var all errgroup.Group
	for range zoneSenders {
		all.Go(func() error {
			for {
				select {
				case <-ctx.Done():
					return nil
				case s := <-z.outgoing:
					z.deliver(ctx, s)
				}
			}
		})
	}
	every(ctx, z.interval/observationsPerInterval, func() { z.observe(ctx) })
	err := all.Wait()
	if z.store != nil {
		_ = z.store.Close() // what was appended is on disk
	}
	return err
}

// look puts what is seen before the decisions, and lets time pass.
func (z *zoneAgent) observe(ctx context.Context) {
	sights, homes, sent := z.observations(z.service.decider.clock.now())
	fleet := z.membership()
	z.apply(func(now float64) zones.Output { return z.zones.Observe(now, sights, homes, sent) })
	z.apply(func(now float64) zones.Output { return z.zones.Tick(now, fleet) })
	z.callWebhook(ctx)
}

// apply lets something be decided and carries out what comes of it. Votes are on disk before they are sent, and before
// anything else is decided.
func (z *zoneAgent) apply(decide func(now float64) zones.Output) (news bool) {
	z.mu.Lock()
	now := z.service.decider.clock.now()
	out := decide(now)
	if out.Save != nil {
		b, err := cbor.Marshal(out.Save)
		if err == nil {
			err = z.store.Save(b)
		}
		if err != nil {
			z.service.log.Warn("zones", "reason", "votes_not_kept", "error", err)
			out.Messages = nil
		}
		z.zones.Saved(now, err == nil)
	}
	if out.TollsChanged {
		tolls := z.zones.Tolls()
		z.service.decider.step(logic.Event{Kind: logic.EvTolls, Tolls: tolls})
		z.service.log.Info("zones", "reason", "tolls", "text", fmt.Sprint(tolls))
		z.trafficMu.Lock()
		z.planned = z.zones.PlannedZones()
		z.trafficMu.Unlock()
	}
	z.mu.Unlock()
	for _, n := range out.Events {
		z.service.log.Info("zones", "reason", n.Reason, "name", n.Name, "text", n.Text)
	}
	for _, s := range out.Messages {
		z.send(s)
	}
	if out.PlanChanged {
		z.service.fleet.mesh.SpreadGossip()
	}
	return out.PlanChanged
}

// send has a message brought to a peer, soon.
func (z *zoneAgent) send(s zones.Envelope) {
	select {
	case z.outgoing <- s:
	default: // it is said again where it matters
	}
}

// deliver brings a message to a peer, and what it answers before the decisions.
func (z *zoneAgent) deliver(ctx context.Context, s zones.Envelope) {
	b, err := cbor.Marshal([]zones.Message{s.Message})
	if err != nil {
		return
	}
	within, stop := context.WithTimeout(ctx, zoneCallTimeout)
	defer stop()
	asked := z.service.decider.clock.now()
	back, err := z.service.fleet.mesh.Request(within, s.To, b)
	if err == nil {
		for _, w := range z.receiveMessages(s.To, back, asked) {
			z.send(zones.Envelope{To: s.To, Message: w})
		}
	} else if !errors.Is(err, membership.ErrUnknownDriver) {
		z.service.log.Debug("zones", "reason", "word_not_sent", "to", s.To, "step", s.Message.Kind, "took",
			z.service.decider.clock.now()-asked, "error", err)
	}
}

// receive takes messages of a peer; what answers them goes back at once, the rest is sent.
func (z *zoneAgent) receive(from string, what []byte) []byte {
	if back := z.receiveMessages(from, what, math.Inf(-1)); len(back) > 0 {
		b, _ := cbor.Marshal(back)
		return b
	}
	return nil
}

func (z *zoneAgent) receiveMessages(from string, what []byte, asked float64) (back []zones.Message) {
	var words []zones.Message
	if len(what) == 0 || cbor.Unmarshal(what, &words) != nil || len(words) > 16 {
		return nil
	}
	for _, w := range words {
		z.apply(func(now float64) zones.Output {
			out := z.zones.Receive(now, asked, from, w)
			if out.Save == nil { // else it goes when that is safe
				out.Messages = slices.DeleteFunc(out.Messages, func(s zones.Envelope) bool {
					if s.To == from {
						back = append(back, s.Message)
					}
					return s.To == from
				})
			}
			return out
		})
	}
	return back
}

// fleet is what membership tells.
func (z *zoneAgent) membership() zones.Fleet {
	s := z.service.fleet.mesh.Status()
	f := zones.Fleet{Partition: s.Partition, Alive: []zones.Peer{{Name: s.Self, Zone: z.zone}}, Zones: []string{z.zone}}
	if s.Roster != nil {
		f.RosterVersion, f.Roster = s.Roster.Version, s.Roster.Names
	}
	for _, d := range s.Drivers {
		if d.State == membership.Alive || d.State == membership.Suspect {
			f.Alive = append(f.Alive, zones.Peer{Name: d.Name, Zone: d.Zone})
		}
		f.Zones = append(f.Zones, d.Zone)
	}
	slices.SortFunc(f.Alive, func(a, b zones.Peer) int { return strings.Compare(a.Name, b.Name) })
	slices.Sort(f.Zones)
	f.Zones = slices.Compact(f.Zones)
	return f
}

// observations are what the own module knows of members, by zone, and where own reads went.
func (z *zoneAgent) observations(now float64) (all []zones.Observation, homes []zones.PrimaryLocation, sent map[string]float64) {
	var memory logic.Memory
	z.service.decider.step(logic.Event{Kind: logic.EvRemember, Memory: &memory})
	lines := z.service.decider.listedMembers()
	byZone, heard := z.countMembers(now, &memory, lines)
	for _, g := range memory.Groups {
		if l, ok := lines[g.Slot]; ok && g.Slot != "" {
			homes = append(homes, zones.PrimaryLocation{Group: g.Group, Zone: l.Zone})
		}
	}
	z.trafficMu.Lock()
	defer z.trafficMu.Unlock()
	sent = z.updateSendRates(now)
	for zone, s := range byZone {
		if s.Reads = z.sendRates[zone]; 2*heard[zone] < s.Members {
			s.Lagging = 0 // too few were heard of late to tell
		}
		if u := z.latencies[zone]; u != nil {
			s.LatencyRatio = u.Ratio()
		}
		all = append(all, *s)
	}
	slices.SortFunc(all, func(a, b zones.Observation) int { return strings.Compare(a.Zone, b.Zone) })
	return all, homes, sent
}

// countMembers counts the members of each zone: those that are silent, that are behind, and that were heard of late.
func (z *zoneAgent) countMembers(now float64, memory *logic.Memory, lines map[string]logic.ListEntry) (
	byZone map[string]*zones.Observation, heard map[string]int) {
	byZone, heard = map[string]*zones.Observation{}, map[string]int{}
	applied := z.recentPositions(now, lines)
	newest := map[int64]float64{}
	for member, t := range applied {
		newest[lines[member].Group] = max(newest[lines[member].Group], t.position)
	}
	for _, m := range memory.Members {
		l, ok := lines[m.Member]
		if !ok || l.Phase != logic.Ready {
			continue
		}
		s := byZone[l.Zone]
		if s == nil {
			s = &zones.Observation{Zone: l.Zone}
			byZone[l.Zone] = s
		}
		if s.Members++; m.Aside > 0 {
			s.Unreachable++
		}
		if t, ok := applied[m.Member]; ok {
			if heard[l.Zone]++; z.stalenessBound > 0 && newest[m.Group]-t.position > z.stalenessBound {
				s.Lagging++
			}
		}
	}
	return byZone, heard
}

// appliedPositions are those that listed members told of late.
func (z *zoneAgent) recentPositions(now float64, lines map[string]logic.ListEntry) map[string]reportedPosition {
	z.trafficMu.Lock()
	defer z.trafficMu.Unlock()
	maps.DeleteFunc(z.positions, func(member string, t reportedPosition) bool {
		_, listed := lines[member]
		return !listed || now-t.reportedAt > positionTTL
	})
	return maps.Clone(z.positions)
}

// sentSince counts reads by zone, a second, about once a second; nil in between. The caller holds counting.
func (z *zoneAgent) updateSendRates(now float64) map[string]float64 {
	span := now - z.sendRatesAt
	if span < sendRateInterval && z.sendRates != nil {
		return nil
	}
	z.sendRates = z.traffic.TakeReads()
	for zone, n := range z.sendRates {
		z.sendRates[zone] = n * 1000 / max(span, 1)
	}
	z.sendRatesAt = now
	return z.sendRates
}

// counted takes a send, under the decider's lock.
func (z *zoneAgent) countSend(o *op, zone string, repeat, near bool) {
	z.trafficMu.Lock()
	defer z.trafficMu.Unlock()
	z.traffic.Record(z.zone, zone, z.opTypes[o.opType], len(o.statement.Text),
		zones.SendAttributes{Retry: repeat, Primary: o.statement.Write, NoLocalMember: !near}, z.planned[zone])
}

// timed takes how long a good answer took and the position that came with it, 0 for none, under the decider's lock.
func (z *zoneAgent) recordAnswer(member, zone string, ms, position float64) {
	z.trafficMu.Lock()
	defer z.trafficMu.Unlock()
	if position > 0 {
		z.positions[member] = reportedPosition{position, z.service.decider.clock.now()}
	}
	u := z.latencies[zone]
	if u == nil {
		if len(z.latencies) >= 64 {
			return
		}
		u = &zones.LatencyBaseline{}
		z.latencies[zone] = u
	}
	u.Add(ms)
}

// Status is the view as it is now.
func (z *zoneAgent) Status() zones.Status {
	z.mu.Lock()
	s := z.zones.Status(z.service.decider.clock.now())
	z.mu.Unlock()
	z.trafficMu.Lock()
	s.CrossZone = z.traffic.CrossZone()
	z.trafficMu.Unlock()
	return s
}

// Submit takes what operators say.
func (z *zoneAgent) Submit(s zones.Command) (err error) {
	s.ID = uint64(z.service.decider.clock.now() * 1000)
	z.apply(func(now float64) (out zones.Output) {
		out, err = z.zones.Submit(now, s)
		return out
	})
	return err
}

// Preview tells what would be planned were a zone away.
func (z *zoneAgent) Preview(zone string) (zones.Preview, error) {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.zones.Simulate(z.service.decider.clock.now(), zone)
}

// hook has the topology manager asked for moves, while this driver leads and may ask.
func (z *zoneAgent) callWebhook(ctx context.Context) {
	if z.webhook == "" {
		return
	}
	z.mu.Lock()
	moves, epoch := z.zones.DueMoves(z.service.decider.clock.now())
	z.mu.Unlock()
	for _, m := range moves {
		if time.Since(z.webhookCalls[m.Group]) < webhookInterval {
			continue
		}
		if len(z.webhookCalls) > 1024 {
			clear(z.webhookCalls)
		}
		z.webhookCalls[m.Group] = time.Now()
		body, _ := json.Marshal(struct {
			zones.Move
			Epoch uint64 `json:"epoch"`
		}{m, epoch})
		go func() {
			within, stop := context.WithTimeout(ctx, webhookTimeout)
			defer stop()
			req, err := http.NewRequestWithContext(within, http.MethodPost, z.webhook, bytes.NewReader(body))
			if err == nil {
				req.Header.Set("Content-Type", "application/json")
				var res *http.Response
				if res, err = http.DefaultClient.Do(req); err == nil {
					if res.Body.Close(); res.StatusCode/100 != 2 {
						err = errors.New(res.Status)
					}
				}
			}
			z.service.log.Info("zones", "reason", "move_asked", "group", m.Group, "to", m.To, "epoch", epoch, "error", err)
		}()
	}
}

package site

// This file renews the site's lease and applies the map that the core returns with it.

import (
	"context"
	"errors"
	"time"

	"weirwind/internal/session/queue"
	"weirwind/internal/session/sites"
	"weirwind/internal/util/commandqueue"
	"weirwind/internal/util/events"
)

const renewInterval = 400 * time.Millisecond

// keepLease renews the lease until ctx ends. A lease starts when its renewal is sent, so that a late answer doesn't
// extend it.
func (r *runner) keepLease(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		incarnation, err := commandqueue.Call(ctx, r.commands, func() uint64 { return r.incarnation })
		if err != nil {
			return
		}
		r.renewLease(ctx, incarnation)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *runner) renewLease(ctx context.Context, incarnation uint64) {
	askedAt := r.now()
	m, err := r.core.renew(ctx, r.settings.Hostname, sites.Renewal{Addr: r.meshAddr(),
		HTTPAddr: r.settings.ReadyAddr, Zone: r.settings.Zone, Region: r.settings.Region, Incarnation: incarnation})
	switch {
	case err == nil:
		r.commands.Do(func() { r.applyMap(ctx, m, askedAt) })
	case errors.Is(err, errIncarnationEnded):
		r.commands.Do(func() { r.beginIncarnation(incarnation) })
	}
}

// beginIncarnation starts a new incarnation after the core has removed the ended one, whose sessions are taken over by
// their replicas.
func (r *runner) beginIncarnation(ended uint64) {
	m := r.decider.Map()
	if ended != r.incarnation || m == nil || m.Sites[r.settings.Hostname].Incarnation != ended {
		return
	}
	r.log.Event(events.SiteStateChanged, "site", r.settings.Hostname, "what", "this incarnation has ended; another starts")
	r.decider = queue.NewSite(r.settings.Hostname, r.limits)
	r.incarnation = newIncarnation()
	r.loggedState = ""
}

// applyMap applies the answer to a renewal that was sent at askedAt. Links to new sites end with ctx.
func (r *runner) applyMap(ctx context.Context, m *sites.Map, askedAt float64) {
	previous := r.decider.Map()
	r.decider.ApplyMap(m, r.incarnation, r.now())
	self := m.Sites[r.settings.Hostname]
	if self.Incarnation == r.incarnation && self.State != sites.StateRemoved {
		r.decider.ExtendLease(askedAt + float64(sites.LeaseDuration.Milliseconds()))
		if self.State != r.loggedState {
			r.loggedState = self.State
			r.log.Event(events.SiteStateChanged, "site", r.settings.Hostname, "what", string(self.State), "epoch", self.Epoch)
		}
	}
	if previous == nil || previous.Version < m.Version {
		r.connectPeers(ctx, m)
		for _, l := range r.edges {
			l.Send(&Frame{Envelope: &queue.Envelope{Map: m}})
		}
	}
	r.flush()
}

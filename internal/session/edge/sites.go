package edge

// This file keeps the edge's map of sites, and its links to them.

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/samber/oops"

	"weirwind/internal/session/site"
	"weirwind/internal/session/sites"
	"weirwind/internal/util/transport"
)

const (
	mapInterval    = 500 * time.Millisecond
	mapTimeout     = 900 * time.Millisecond
	maxAnswerBytes = 4 << 20
)

type link = transport.Link[site.Frame]

// siteLink is a site to which the edge keeps a link.
type siteLink struct {
	addr string
	link *link // nil while there is none
	stop context.CancelFunc
}

// pollMap polls the machines of the core in turn for the map of sites. Sites usually send a new map earlier.
func (r *runner) pollMap(ctx context.Context) {
	client := http.Client{Timeout: mapTimeout}
	machines := r.settings.Peers
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if m, err := fetchMap(ctx, &client, machines[attempt%len(machines)]); err == nil {
			r.commands.Do(func() { r.applyMap(ctx, m) })
		}
		select {
		case <-time.After(mapInterval):
		case <-ctx.Done():
		}
	}
}

// fetchMap fetches the map from one machine of the core.
func fetchMap(ctx context.Context, client *http.Client, machine string) (*sites.Map, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+machine+"/sites", http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var m sites.Map
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&m); err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK || m.Version == 0 {
		return nil, oops.In("map").Errorf("status %d, version %d", response.StatusCode, m.Version)
	}
	return &m, nil
}

// applyMap closes links to sites that are no longer in the map or have another address, opens links to sites that are
// alive, and passes the map to the decider. The links end with ctx.
func (r *runner) applyMap(ctx context.Context, m *sites.Map) {
	for name, known := range r.sites {
		if current, ok := m.Sites[name]; !ok || current.Addr != known.addr {
			known.stop()
			delete(r.sites, name)
		}
	}
	for name, entry := range m.Sites {
		if entry.State != sites.StateRemoved && r.sites[name] == nil {
			r.sites[name] = r.connectSite(ctx, name, entry.Addr)
		}
	}
	r.decider.ApplyMap(m, r.now())
	r.flush()
}

// connectSite keeps a link to a site until it is stopped or ctx ends. A map that the site sends may open other links,
// which must outlive this one: they end with ctx, not with the link.
func (r *runner) connectSite(ctx context.Context, name, addr string) *siteLink {
	linkCtx, stop := context.WithCancel(ctx)
	s := &siteLink{addr: addr, stop: stop}
	onLinkChange := func(l *link) {
		r.commands.Do(func() {
			s.link = l
			if l == nil {
				r.decider.HandleSiteLost(name, r.now())
			}
			r.flush()
		})
	}
	receive := func(_ *link, frame *site.Frame) {
		if frame.Envelope != nil {
			r.commands.Do(func() { r.receive(ctx, name, frame) })
		}
	}
	go site.KeepLink(linkCtx, addr, site.Frame{Hello: r.settings.Hostname, Edge: true}, onLinkChange, receive)
	return s
}

// receive handles an envelope of a site, which may contain a map.
func (r *runner) receive(ctx context.Context, name string, frame *site.Frame) {
	if frame.Envelope.Map != nil {
		r.applyMap(ctx, frame.Envelope.Map)
	} else {
		r.decider.Receive(name, frame.Envelope, r.now())
	}
	r.flush()
}

// flush sends the decider's events to clients and its envelopes to sites. Envelopes without a link are dropped, since
// the decider sends them again.
func (r *runner) flush() {
	for _, event := range r.decider.TakeClientEvents() {
		if s := r.sockets[event.Socket]; s != nil {
			r.writeEvent(s, event)
		}
	}
	for _, outgoing := range r.decider.TakeOutgoing() {
		if s := r.sites[outgoing.To]; s != nil && s.link != nil {
			s.link.Send(&site.Frame{Envelope: &outgoing.Envelope})
		}
	}
}

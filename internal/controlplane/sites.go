package controlplane

// This file owns the sites of open sessions at the core: their joining, their leases, and their end.

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/session/sites"
	"weirwind/internal/util/events"
)

// A site's lease holds for SiteLeaseDuration from when it asked. The core takes it for over only siteSlack later than it can possibly
// hold: a tenth for clocks that run apart, and what an answer takes.
const (
	SiteLeaseDuration = 1500 * time.Millisecond
	siteSlack         = 300 * time.Millisecond
)

// lapseSites proposes the end of sites whose lease is over. A new leader grants every site a lease's time: it doesn't know what was
// granted before it.
func (t *tables) lapseSites(now float64) {
	if t.state == nil || t.state.Sites == nil {
		return
	}
	for name, s := range t.state.Sites.Sites {
		if t.lives[name] != s.Incarnation { // it has just joined
			t.lives[name], t.granted[name] = s.Incarnation, now
		}
		if s.State == sites.StateRemoved || now-max(t.granted[name], t.ledAt) < ms(SiteLeaseDuration+siteSlack) {
			continue
		}
		t.granted[name] = now // not again at once
		t.h.log.Event(events.SiteLapsed, "site", name, "epoch", s.Epoch)
		change := &sites.Change{Kind: sites.ChangeExpire, Name: name, Epoch: s.Epoch}
		go t.h.call(controlmsg.Request{SiteChange: change})
	}
}

// sitesResource is the resource of the sites that hold open sessions.
type sitesResource struct{ h *Server }

// SiteRenewal is what a site says of itself; the answer is the map of sites.
type SiteRenewal struct {
	Addr        string `json:"addr"`
	HTTPAddr    string `json:"http"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Incarnation uint64 `json:"life"`
}

func (s *sitesResource) renew(w http.ResponseWriter, r *http.Request) {
	var n SiteRenewal
	name := r.PathValue("name")
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostBeat)).Decode(&n); err != nil || n.Addr == "" || n.Incarnation == 0 {
		http.Error(w, "a renewal names its addr and life", http.StatusBadRequest)
		return
	}
	grant := controlmsg.Request{SiteLease: &controlmsg.SiteLeaseRequest{Site: name, Incarnation: n.Incarnation}}
	status, body := s.h.call(grant)
	if status == http.StatusConflict {
		join := &sites.Change{Kind: sites.ChangeJoin, Name: name, Site: sites.Site{Addr: n.Addr, HTTPAddr: n.HTTPAddr, Zone: n.Zone, Region: n.Region, Incarnation: n.Incarnation}}
		if status, body = s.h.call(controlmsg.Request{SiteChange: join}); status == http.StatusOK {
			status, body = s.h.call(grant)
		}
	}
	s.answer(w, status, body)
}

func (s *sitesResource) answer(w http.ResponseWriter, status int, body []byte) {
	if status == http.StatusOK {
		w.Header().Set("Content-Type", "application/json")
	}
	w.WriteHeader(status)
	w.Write(body)
}

func (s *sitesResource) change(kind sites.ChangeKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := &sites.Change{Kind: kind, Name: r.PathValue("name")}
		c.Epoch, _ = strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 64)
		if pace := r.URL.Query().Get("pace"); pace != "" {
			n, err := strconv.Atoi(pace)
			if err != nil || n < 1 {
				http.Error(w, "pace is how many sessions a second are handed on, from 1 on", http.StatusBadRequest)
				return
			}
			c.DrainRate = n
		}
		status, body := s.h.call(controlmsg.Request{SiteChange: c})
		s.answer(w, status, body)
	}
}

// show gives the map as this machine knows it, which edges may go by: what an old one says is refused by whom it names.
func (s *sitesResource) show(w http.ResponseWriter, _ *http.Request) {
	ch := make(chan *sites.Map, 1)
	s.h.tables.do(func() {
		if b := s.h.tables.state; b != nil && b.Sites != nil {
			ch <- b.Sites
		} else {
			ch <- &sites.Map{}
		}
	})
	select {
	case m := <-ch:
		s.h.setContactHeader(w)
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(m)
	case <-s.h.ctx.Done():
		io.WriteString(w, "{}")
	}
}

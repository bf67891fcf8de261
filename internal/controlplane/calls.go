package controlplane

// This file owns the calls of members and operators: one handler object for each resource.

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/session/sites"
	"weirwind/internal/shard/shardmap"
	"weirwind/internal/shard/shardnode"
)

const (
	mostBeat   = 4 << 10
	mostConfig = 4 << 20
)

func (h *Server) routes() http.Handler {
	mux := http.NewServeMux()
	m, c, sh, si := &membersResource{h}, &configResource{h}, &shardsResource{h}, &sitesResource{h}
	mux.HandleFunc("POST /members/{id}/heartbeat", m.heartbeat)
	mux.HandleFunc("POST /members/{id}/leave", m.leave)
	mux.HandleFunc("POST /members/{id}/forget", m.forget)
	mux.HandleFunc("POST /config/replace", c.replace)
	mux.HandleFunc("POST /config/amend", c.amend)
	mux.HandleFunc("GET /config/show", c.show)
	mux.HandleFunc("GET /config/log", c.log)
	mux.HandleFunc("GET /shards", sh.show)
	mux.HandleFunc("POST /shards", sh.change)
	mux.HandleFunc("GET /sites", si.show)
	mux.HandleFunc("POST /sites/{name}/renew", si.renew)
	mux.HandleFunc("POST /sites/{name}/drain", si.change(sites.ChangeDrain))
	mux.HandleFunc("POST /sites/{name}/undrain", si.change(sites.ChangeUndrain))
	mux.HandleFunc("POST /sites/{name}/leave", si.change(sites.ChangeLeave))
	mux.Handle("GET /status", &statusResource{h})
	mux.Handle("GET /events", h.log)
	return mux
}

// membersResource is the resource of members.
type membersResource struct{ h *Server }

type beat struct {
	Svc   string `json:"svc"`
	Addr  string `json:"addr"`
	Zone  string `json:"zone"`
	Gen   string `json:"gen"`
	Slots int    `json:"slots"`
	State string `json:"state"`
	Role  string `json:"dbRole"`
	Seq   uint64 `json:"seq"`
}

func (m *membersResource) heartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostBeat))
	var b beat
	if err == nil {
		err = json.Unmarshal(body, &b)
	}
	if err != nil || b.Svc == "" || b.Addr == "" {
		http.Error(w, "a beat names its svc and addr", http.StatusBadRequest)
		return
	}
	rec := directory.Member{ID: r.PathValue("id"), Service: b.Svc, Addr: b.Addr, Zone: b.Zone, Generation: b.Gen, Slots: b.Slots,
		Leaving: b.State == "draining", Seq: b.Seq}
	switch b.Role {
	case "primary":
		rec.Role = directory.RolePrimary
	case "replica":
		rec.Role = directory.RoleReplica
	}
	done := make(chan struct{})
	m.h.tables.do(func() {
		m.h.tables.beat(rec)
		close(done)
	})
	select {
	case <-done:
	case <-m.h.ctx.Done():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	m.h.acknowledge(w)
}

func (m *membersResource) leave(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	m.h.tables.do(func() { m.h.tables.leave(id) })
	m.h.acknowledge(w)
}

// acknowledge answers a member whose word is in the table here. Without contact it would be in no other: the member is to tell another
// machine as well.
func (h *Server) acknowledge(w http.ResponseWriter) {
	if h.refuseWithoutContact(w) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	io.WriteString(w, "{}\n")
}

// configResource is the resource of the operator's word.
type configResource struct{ h *Server }

func (c *configResource) change(w http.ResponseWriter, r *http.Request, amend bool) {
	base, err := strconv.ParseUint(r.Header.Get("Weirwind-Base-Version"), 10, 64)
	if err != nil {
		http.Error(w, "Weirwind-Base-Version must be the version that the change is built on", http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostConfig))
	if err != nil {
		http.Error(w, "the body did not come whole: "+err.Error(), statusOf(err))
		return
	}
	status, answer := c.h.call(controlmsg.Request{Amend: amend, BaseVersion: base, Body: body})
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	w.Write(answer)
}

// statusOf says what an order is told whose body did not come. One that was too slow is not refused: this very order may have been taken,
// and is to be sent again.
func statusOf(err error) int {
	var long *http.MaxBytesError
	var slow net.Error
	switch {
	case errors.As(err, &long):
		return http.StatusRequestEntityTooLarge
	case errors.As(err, &slow) && slow.Timeout():
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

func (c *configResource) replace(w http.ResponseWriter, r *http.Request) { c.change(w, r, false) }
func (c *configResource) amend(w http.ResponseWriter, r *http.Request)   { c.change(w, r, true) }

func (c *configResource) show(w http.ResponseWriter, _ *http.Request) {
	status, body := c.h.call(controlmsg.Request{ReadConfig: true})
	if status == http.StatusOK {
		w.Header().Set("Content-Type", "application/json")
	}
	w.WriteHeader(status)
	w.Write(body)
}

// log tells which changes this machine knows to be taken: all that were acknowledged before the age that its header names.
func (c *configResource) log(w http.ResponseWriter, _ *http.Request) {
	if c.h.refuseWithoutContact(w) {
		return
	}
	c.h.setContactHeader(w)
	ch := make(chan []config.AppliedChange, 1)
	c.h.loop.do(func() {
		var past []config.AppliedChange
		if c.h.loop.state != nil {
			past = c.h.loop.state.History
		}
		ch <- past
	})
	select {
	case past := <-ch:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(past)
	case <-c.h.ctx.Done():
	}
}

// shardsResource is the resource of who holds which shard, and of the moves.
type shardsResource struct{ h *Server }

// change takes an operator's change, as JSON. What the mover alone may say is not taken.
func (s *shardsResource) change(w http.ResponseWriter, r *http.Request) {
	var c shardmap.Change
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostConfig))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		http.Error(w, "the change can't be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	switch c.Kind {
	case shardmap.ChangeHandOver, shardmap.ChangeRollBack, shardmap.ChangeEndTask:
		http.Error(w, "that is said by who moves shards", http.StatusBadRequest)
		return
	}
	status, body := s.h.call(controlmsg.Request{ShardChange: &c})
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	w.Write(body)
}

// ShardsView is what GET /shards answers. Only who leads knows what nodes say and what goes on.
type ShardsView struct {
	Leading     bool                        `json:"leads"`
	Leader      string                      `json:"leader"`
	Map         *shardmap.Map               `json:"map"`
	Nodes       map[string]shardnode.Report `json:"nodes,omitempty"`
	Transfers   map[string]string           `json:"runs,omitempty"`
	BytesMoved  int64                       `json:"moved"`
	WriteGapsMs []float64                   `json:"gapsMs,omitempty"`
	Progress    []movePoint                 `json:"points,omitempty"`
}

func (s *shardsResource) show(w http.ResponseWriter, _ *http.Request) {
	lead, ch := make(chan string, 1), make(chan ShardsView, 1)
	s.h.loop.do(func() {
		leader, _ := s.h.loop.node.Leader()
		lead <- leader.Addr
	})
	s.h.tables.do(func() { ch <- s.h.tables.shardsView() })
	var v ShardsView
	for range 2 {
		select {
		case v.Leader = <-lead:
		case all := <-ch:
			all.Leader, v = v.Leader, all
		case <-s.h.ctx.Done():
			return
		}
	}
	s.h.setContactHeader(w)
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

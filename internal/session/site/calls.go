package site

// This file owns the calls of producers, consumers and operators: one handler object for each resource.

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"weirwind/internal/session/queue"
)

func (t *Site) routes() http.Handler {
	mux := http.NewServeMux()
	m := &messages{t}
	mux.HandleFunc("POST /sessions/{id}/messages", m.put)
	mux.HandleFunc("GET /sessions/{id}/inbox", m.inbox)
	mux.HandleFunc("POST /sessions/{id}/took", m.took)
	mux.HandleFunc("GET /sessions/{id}", m.show)
	mux.HandleFunc("GET /status", t.status)
	mux.Handle("GET /events", t.log)
	return mux
}

// messages is the resource of a session's messages.
type messages struct{ t *Site }

// at sends a caller to the session's home where this site knows it, else says that it is not here.
func (m *messages) at(w http.ResponseWriter, r *http.Request) {
	ch := make(chan string, 1)
	m.t.q.Do(func() {
		where := ""
		if home, ok := m.t.s.OwnerOf(r.PathValue("id")); ok && m.t.s.Map() != nil {
			where = m.t.s.Map().Sites[home].HTTPAddr
		}
		ch <- where
	})
	if where := <-ch; where != "" && where != m.t.set.ReadyAddr {
		http.Redirect(w, r, "http://"+where+r.URL.RequestURI(), http.StatusTemporaryRedirect)
		return
	}
	http.Error(w, "the session is not at this site", http.StatusNotFound)
}

func (m *messages) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(m.t.lim.MessageBytes)))
	if err != nil {
		http.Error(w, fmt.Sprintf("a message has at most %d bytes", m.t.lim.MessageBytes), http.StatusRequestEntityTooLarge)
		return
	}
	type answer struct {
		status int
		n      uint64
	}
	ch := make(chan answer, 1)
	m.t.q.Do(func() {
		m.t.s.Enqueue(r.PathValue("id"), r.Header.Get("Weirwind-Key"), body, m.t.now(),
			func(status int, n uint64) { ch <- answer{status, n} })
		m.t.flush()
	})
	select {
	case a := <-ch:
		switch a.status {
		case http.StatusNotFound:
			m.at(w, r)
			return
		case http.StatusServiceUnavailable:
			w.Header().Set("Retry-After", "1")
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(a.status)
		fmt.Fprintf(w, `{"n":%d}`+"\n", a.n)
	case <-time.After(putMost):
		http.Error(w, "not known yet; send it again under the same Weirwind-Key", http.StatusServiceUnavailable)
	case <-m.t.ctx.Done():
	}
}

func (m *messages) inbox(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	type answer struct {
		msgs []queue.Message
		ok   bool
	}
	ch := make(chan answer, 1)
	m.t.q.Do(func() {
		msgs, ok := m.t.s.Inbox(r.PathValue("id"), after, m.t.now())
		ch <- answer{msgs, ok}
	})
	a := <-ch
	if !a.ok {
		m.at(w, r)
		return
	}
	out := []map[string]any{}
	for _, x := range a.msgs {
		out = append(out, map[string]any{"n": x.Number, "body": string(x.Body)})
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(out)
}

func (m *messages) took(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.ParseUint(r.URL.Query().Get("n"), 10, 64)
	if err != nil {
		http.Error(w, "n is the number of the last message that was taken", http.StatusBadRequest)
		return
	}
	ch := make(chan bool, 1)
	m.t.q.Do(func() {
		ch <- m.t.s.Consume(r.PathValue("id"), n, m.t.now())
		m.t.flush()
	})
	if !<-ch {
		m.at(w, r)
	}
}

func (m *messages) show(w http.ResponseWriter, r *http.Request) {
	ch := make(chan map[string]any, 1)
	m.t.q.Do(func() { ch <- m.t.s.Describe(r.PathValue("id")) })
	v := <-ch
	if v == nil {
		m.at(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

func (t *Site) status(w http.ResponseWriter, _ *http.Request) {
	ch := make(chan map[string]any, 1)
	t.q.Do(func() {
		ch <- map[string]any{"site": t.set.Hostname, "state": t.state, "epoch": t.s.Epoch, "homes": t.s.OwnedSessions(),
			"copies": t.s.ReplicatedSessions(), "bytes": t.s.Bytes(),
			"givenUp": t.s.ExpiredMessages, "edges": len(t.edges), "sites": t.s.Map()}
	})
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.Encode(<-ch)
}

package kv

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"
)

// Server is an endpoint of a store. Its faults may be changed while it serves.
type Server struct {
	*httptest.Server
	store *Store

	Down         atomic.Bool            // answers 503
	Silent       atomic.Bool            // accepts requests without answering; open watches send nothing
	DelayMs      atomic.Int64           // delay before each answer, in milliseconds
	Stale        atomic.Pointer[Store]  // store served instead, as by a lagging follower; nil: none
	FragmentSize atomic.Int64           // maximum number of events in a watch message; 0: no limit
	SkipEvents   atomic.Bool            // watches silently skip events
	Password     atomic.Pointer[string] // password with which requests have to authenticate; nil: none

	FullReads atomic.Int64 // number of answered reads of all keys
	Watches   atomic.Int64 // number of opened watches
	tokens    atomic.Int64 // serial of the valid token
}

// Serve starts a server of a store at a free loopback port.
func Serve(store *Store) *Server {
	v := newServer(store)
	v.Start()
	return v
}

// ServeTLS starts a server with TLS and httptest's certificate.
func ServeTLS(store *Store) *Server {
	v := newServer(store)
	v.StartTLS()
	return v
}

func newServer(store *Store) *Server {
	v := &Server{store: store}
	m := http.NewServeMux()
	m.HandleFunc("POST /v3/kv/range", v.withFaults(v.etcdRange))
	m.HandleFunc("POST /v3/watch", v.withFaults(v.etcdWatch))
	m.HandleFunc("POST /v3/auth/authenticate", v.withFaults(v.etcdToken))
	m.HandleFunc("GET /v1/kv/{prefix...}", v.withFaults(v.consulKeys))
	m.HandleFunc("GET /v1/health/service/{name}", v.withFaults(v.consulService))
	v.handleLeases(m)
	v.Server = httptest.NewUnstartedServer(m)
	return v
}

// CloseConnections closes all clients' connections.
func (v *Server) CloseConnections() { v.CloseClientConnections() }

// withFaults wraps a handler with the server's faults.
func (v *Server) withFaults(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // the server detects a closed connection only after the body is read
		r.Body = io.NopCloser(bytes.NewReader(body))
		if v.Silent.Load() {
			<-r.Context().Done()
			return
		}
		if ms := v.DelayMs.Load(); ms > 0 {
			select {
			case <-time.After(time.Duration(ms) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
		if v.Down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		serve(w, r)
	}
}

// readStore returns the store to read from.
func (v *Server) readStore() *Store {
	if s := v.Stale.Load(); s != nil {
		return s
	}
	return v.store
}

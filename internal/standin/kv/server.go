package kv

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"
)

// Server is one endpoint of a store. Its faults may be changed while it serves.
type Server struct {
	*httptest.Server
	store *Store

	Down         atomic.Bool            // answers 503
	Silent       atomic.Bool            // takes requests and answers nothing; open watches fall silent
	DelayMs      atomic.Int64           // before each answer
	Stale        atomic.Pointer[Store]  // served in place of the store, as by a follower that lags; nil: none
	FragmentSize atomic.Int64           // events in a message of a watch at most; 0: no limit
	SkipEvents   atomic.Bool            // watches pass over events without notice
	Password     atomic.Pointer[string] // that requests have to authenticate with; nil: none

	FullReads atomic.Int64 // reads of all keys that were answered
	Watches   atomic.Int64 // watches that were opened
	tokens    atomic.Int64 // serial of the valid token
}

// Serve starts a server on a free loopback port.
func Serve(store *Store) *Server {
	v := newServer(store)
	v.Start()
	return v
}

// ServeTLS starts a server with TLS, under httptest's certificate.
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

// withFaults applies the faults to a handler.
func (v *Server) withFaults(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // only then the end of the connection is noticed
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

// served is the store to read from.
func (v *Server) readStore() *Store {
	if s := v.Stale.Load(); s != nil {
		return s
	}
	return v.store
}

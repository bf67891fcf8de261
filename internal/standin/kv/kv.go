// Package kv is a stand-in for a key-value registry, for tests: etcd's v3 API in its plain HTTP form and Consul's HTTP
// API before one store, with faults by command. It owns what a real registry may do to its readers: compact, cut
// off, fall silent, answer late, lag, split a revision, lose or restore its data. It is no registry for use.
package kv

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Item is a key's value and the revision that wrote it; Deleted of an event that removed it.
type Item struct {
	Key         string
	Value       []byte
	ModRevision int64
	Deleted     bool
}

// Store is what servers serve from.
type Store struct {
	mu        sync.Mutex
	Cluster   string
	revision  int64
	compacted int64
	keys      map[string]Item
	events    []Item // ordered by revision
	changed   chan struct{}
	leases    map[string]*lease
	serial    int
}

// NewStore is an empty store.
func NewStore(cluster string) *Store {
	return &Store{Cluster: cluster, revision: 1, keys: map[string]Item{}, changed: make(chan struct{})}
}

// Put writes keys, or removes those with a nil value, all at one revision, and gives it.
func (s *Store) Put(pairs ...any) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for i := 0; i < len(pairs); i += 2 {
		x := Item{Key: pairs[i].(string), ModRevision: s.revision}
		if text, ok := pairs[i+1].(string); ok {
			x.Value = []byte(text)
			s.keys[x.Key] = x
		} else {
			x.Deleted = true
			delete(s.keys, x.Key)
		}
		s.events = append(s.events, x)
	}
	s.notify()
	return s.revision
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact forgets what happened up to a revision.
func (s *Store) Compact(rev int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = rev
	s.events = slices.DeleteFunc(s.events, func(x Item) bool { return x.ModRevision <= rev })
}

// Snapshot and Restore: a backup, and what a registry is after one was put back, under another cluster's id or not.
func (s *Store) Snapshot() *Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Store{
		Cluster:   s.Cluster,
		revision:  s.revision,
		compacted: s.compacted,
		keys:      maps.Clone(s.keys),
		events:    slices.Clone(s.events),
	}
}

// Restore puts the content of another store in place, under another cluster id, as from a backup.
func (s *Store) Restore(from *Store, cluster string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Cluster, s.revision, s.compacted, s.keys, s.events = cluster, from.revision, from.compacted, maps.Clone(from.keys),
		slices.Clone(from.events)
	s.notify()
}

// Revision is the newest one.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// list is the keys under a prefix, ordered, as at a revision of now.
func (s *Store) list(prefix string) (items []Item) {
	for _, k := range slices.Sorted(maps.Keys(s.keys)) {
		if strings.HasPrefix(k, prefix) {
			items = append(items, s.keys[k])
		}
	}
	return items
}

// Server is one endpoint of a store. Its faults may be changed while it serves.
type Server struct {
	*httptest.Server
	store      *Store
	Down       atomic.Bool  // answers 503
	Silent     atomic.Bool  // takes calls and says nothing; watches that stand fall silent
	DelayMs    atomic.Int64 // before each answer
	Stale      atomic.Pointer[Store]
	Fragment   atomic.Int64 // events in a message at the most, 0 for all
	SkipEvents atomic.Bool  // watches pass over what happens, without a word
	Password   atomic.Pointer[string]
	FullReads  atomic.Int64 // whole lists given
	Watches    atomic.Int64 // watches opened
	tokens     atomic.Int64
}

// Serve starts a server on a free loopback port.
func Serve(s *Store) *Server {
	v := newServer(s)
	v.Start()
	return v
}

// ServeTLS starts one that wants TLS, under httptest's certificate.
func ServeTLS(s *Store) *Server {
	v := newServer(s)
	v.StartTLS()
	return v
}

func newServer(s *Store) *Server {
	v := &Server{store: s}
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

// Cut ends all connections.
func (v *Server) CloseConnections() { v.CloseClientConnections() }

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

// from is the store that is served: a follower may be behind.
func (v *Server) served() *Store {
	if s := v.Stale.Load(); s != nil {
		return s
	}
	return v.store
}

func (v *Server) authorized(w http.ResponseWriter, r *http.Request) bool {
	if p := v.Password.Load(); p != nil && r.Header.Get("Authorization") != fmt.Sprint("token-", v.tokens.Load()) {
		etcdFailure(w, http.StatusUnauthorized, 16, "etcdserver: invalid auth token")
		return false
	}
	return true
}

// Expire makes tokens that were given worthless.
func (v *Server) ExpireTokens() { v.tokens.Add(1) }

func (v *Server) etcdToken(w http.ResponseWriter, r *http.Request) {
	var ask struct{ Name, Password string }
	_ = json.NewDecoder(r.Body).Decode(&ask) // what is missing is zero
	if p := v.Password.Load(); p == nil || *p != ask.Password {
		etcdFailure(w, http.StatusBadRequest, 3, "etcdserver: authentication failed, invalid user ID or password")
		return
	}
	fmt.Fprintf(w, `{"header":{},"token":"token-%d"}`, v.tokens.Add(1))
}

func etcdFailure(w http.ResponseWriter, status, code int, text string) {
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"error":%q,"code":%d,"message":%q}`, text, code, text)
}

func etcdKV(x Item) map[string]any {
	m := map[string]any{"key": x.Key64(), "mod_revision": strconv.FormatInt(x.ModRevision, 10)}
	if !x.Deleted {
		m["value"] = base64.StdEncoding.EncodeToString(x.Value)
	}
	return m
}

// Key64 is the key as etcd writes it.
func (x Item) Key64() string { return base64.StdEncoding.EncodeToString([]byte(x.Key)) }

func (v *Server) etcdRange(w http.ResponseWriter, r *http.Request) {
	var ask struct {
		Key      []byte
		End      []byte `json:"range_end"`
		Limit    int    `json:"limit,string"`
		Revision int64  `json:"revision,string"`
	}
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		etcdFailure(w, 400, 3, err.Error())
		return
	}
	if !v.authorized(w, r) {
		return
	}
	s := v.served()
	s.mu.Lock()
	rev, cluster := s.revision, s.Cluster
	switch {
	case ask.Revision > rev:
		s.mu.Unlock()
		etcdFailure(w, 400, 11, "etcdserver: mvcc: required revision is a future revision")
		return
	case ask.Revision > 0 && ask.Revision < s.compacted:
		s.mu.Unlock()
		etcdFailure(w, 400, 11, "etcdserver: mvcc: required revision has been compacted")
		return
	}
	kvs, more := []any{}, false
	for _, x := range s.list("") {
		if x.Key < string(ask.Key) || x.Key >= string(ask.End) || ask.Revision > 0 && x.ModRevision > ask.Revision {
			continue
		}
		if more = len(kvs) == ask.Limit && ask.Limit > 0; more {
			break
		}
		kvs = append(kvs, etcdKV(x))
	}
	s.mu.Unlock()
	if ask.Revision == 0 {
		v.FullReads.Add(1)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"header": map[string]any{"cluster_id": cluster,
		"revision": strconv.FormatInt(rev, 10)}, "kvs": kvs, "more": more, "count": strconv.Itoa(len(kvs))})
}

func (v *Server) etcdWatch(w http.ResponseWriter, r *http.Request) {
	var ask struct {
		Create struct {
			Key   []byte
			Start int64 `json:"start_revision,string"`
		} `json:"create_request"`
	}
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		etcdFailure(w, 400, 3, err.Error())
		return
	}
	if !v.authorized(w, r) {
		return
	}
	v.Watches.Add(1)
	s, next := v.served(), ask.Create.Start
	watch := &etcdWatcher{server: v, store: s, ctx: r.Context(), w: w, out: json.NewEncoder(w)}
	watch.send(map[string]any{"created": true})
	for {
		events, head, compacted, changed := s.eventsSince(next, string(ask.Create.Key))
		if v.SkipEvents.Load() {
			events = nil
		}
		if next <= compacted && next <= head {
			watch.send(map[string]any{"canceled": true, "compact_revision": strconv.FormatInt(compacted, 10)})
			return
		}
		watch.sendEvents(events)
		next = max(next, head+1)
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(100 * time.Millisecond):
			watch.send(map[string]any{})
		}
	}
}

// since is what happened to keys under a prefix from a revision on, up to head; changed is closed with the next change.
func (s *Store) eventsSince(revision int64, prefix string) (events []Item, head, compacted int64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.events {
		if x.ModRevision >= revision && strings.HasPrefix(x.Key, prefix) {
			events = append(events, x)
		}
	}
	return events, s.revision, s.compacted, s.changed
}

// etcdWatcher writes the messages of one watch.
type etcdWatcher struct {
	server *Server
	store  *Store
	ctx    context.Context // of the request
	w      http.ResponseWriter
	out    *json.Encoder
}

func (x *etcdWatcher) send(fields map[string]any) {
	if x.server.Silent.Load() {
		<-x.ctx.Done()
		return
	}
	x.store.mu.Lock()
	fields["header"] = map[string]any{"cluster_id": x.store.Cluster, "revision": strconv.FormatInt(x.store.revision, 10)}
	x.store.mu.Unlock()
	_ = x.out.Encode(map[string]any{"result": fields}) // the caller may have left
	x.w.(http.Flusher).Flush()
}

// sayEvents writes events, in fragments where the server is to.
func (x *etcdWatcher) sendEvents(events []Item) {
	size := len(events)
	if n := int(x.server.Fragment.Load()); n > 0 {
		size = n
	}
	for len(events) > 0 {
		n := min(size, len(events))
		kvs := []any{}
		for _, item := range events[:n] {
			e := map[string]any{"kv": etcdKV(item)}
			if item.Deleted {
				e["type"] = "DELETE"
			}
			kvs = append(kvs, e)
		}
		events = events[n:]
		x.send(map[string]any{"events": kvs, "fragment": len(events) > 0})
	}
}

// wait blocks as a query with an index does; it gives the store to read.
func (v *Server) blockingQuery(r *http.Request) *Store {
	s := v.served()
	index, _ := strconv.ParseInt(r.FormValue("index"), 10, 64)
	limit, _ := time.ParseDuration(r.FormValue("wait"))
	over := time.After(limit)
	for index > 0 {
		s.mu.Lock()
		rev, changed := s.revision, s.changed
		s.mu.Unlock()
		if rev != index { // one that went back answers at once
			break
		}
		select {
		case <-changed:
			continue
		case <-over:
		case <-r.Context().Done():
		}
		break
	}
	return s
}

func (v *Server) consulKeys(w http.ResponseWriter, r *http.Request) {
	s := v.blockingQuery(r)
	s.mu.Lock()
	items, rev := s.list(r.PathValue("prefix")), s.revision
	s.mu.Unlock()
	v.FullReads.Add(1)
	w.Header().Set("X-Consul-Index", strconv.FormatInt(rev, 10))
	if len(items) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	all := []any{}
	for _, x := range items {
		all = append(all, map[string]any{"Key": x.Key, "Value": base64.StdEncoding.EncodeToString(x.Value),
			"ModifyIndex": x.ModRevision})
	}
	_ = json.NewEncoder(w).Encode(all) // the caller may have left
}

// consulService takes the values under the service's name for instances as Consul writes them.
func (v *Server) consulService(w http.ResponseWriter, r *http.Request) {
	s := v.blockingQuery(r)
	s.mu.Lock()
	items, rev := s.list(r.PathValue("name")+"/"), s.revision
	s.mu.Unlock()
	v.FullReads.Add(1)
	w.Header().Set("X-Consul-Index", strconv.FormatInt(rev, 10))
	all := []json.RawMessage{}
	for _, x := range items {
		all = append(all, x.Value)
	}
	_ = json.NewEncoder(w).Encode(all) // the caller may have left
}

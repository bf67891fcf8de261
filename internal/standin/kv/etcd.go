package kv

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// This file implements etcd's JSON gateway.

const progressPeriod = 100 * time.Millisecond // between two progress notifications of a watch

// authorized reports whether a request has a valid token, and otherwise answers with an error.
func (v *Server) authorized(w http.ResponseWriter, r *http.Request) bool {
	if p := v.Password.Load(); p != nil && r.Header.Get("Authorization") != fmt.Sprint("token-", v.tokens.Load()) {
		etcdFailure(w, http.StatusUnauthorized, 16, "etcdserver: invalid auth token")
		return false
	}
	return true
}

// ExpireTokens invalidates all issued tokens.
func (v *Server) ExpireTokens() { v.tokens.Add(1) }

// etcdToken issues a token for the password.
func (v *Server) etcdToken(w http.ResponseWriter, r *http.Request) {
	var request struct{ Name, Password string }
	_ = json.NewDecoder(r.Body).Decode(&request) // what is missing is zero
	if p := v.Password.Load(); p == nil || *p != request.Password {
		etcdFailure(w, http.StatusBadRequest, 3, "etcdserver: authentication failed, invalid user ID or password")
		return
	}
	fmt.Fprintf(w, `{"header":{},"token":"token-%d"}`, v.tokens.Add(1))
}

// etcdFailure writes an error with its gRPC code.
func etcdFailure(w http.ResponseWriter, status, code int, text string) {
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"error":%q,"code":%d,"message":%q}`, text, code, text)
}

// etcdKV returns an item as etcd encodes it.
func etcdKV(item Item) map[string]any {
	m := map[string]any{"key": item.encodedKey(), "mod_revision": strconv.FormatInt(item.ModRevision, 10)}
	if !item.Deleted {
		m["value"] = base64.StdEncoding.EncodeToString(item.Value)
	}
	return m
}

// encodedKey returns the key as etcd encodes it.
func (x Item) encodedKey() string { return base64.StdEncoding.EncodeToString([]byte(x.Key)) }

// etcdRange handles a range request.
func (v *Server) etcdRange(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Key      []byte
		End      []byte `json:"range_end"`
		Limit    int    `json:"limit,string"`
		Revision int64  `json:"revision,string"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		etcdFailure(w, 400, 3, err.Error())
		return
	}
	if !v.authorized(w, r) {
		return
	}
	s := v.readStore()
	s.mu.Lock()
	rev, cluster := s.revision, s.Cluster
	switch {
	case request.Revision > rev:
		s.mu.Unlock()
		etcdFailure(w, 400, 11, "etcdserver: mvcc: required revision is a future revision")
		return
	case request.Revision > 0 && request.Revision < s.compacted:
		s.mu.Unlock()
		etcdFailure(w, 400, 11, "etcdserver: mvcc: required revision has been compacted")
		return
	}
	kvs, more := s.etcdItems(string(request.Key), string(request.End), request.Revision, request.Limit)
	s.mu.Unlock()
	if request.Revision == 0 {
		v.FullReads.Add(1)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"header": map[string]any{"cluster_id": cluster,
		"revision": strconv.FormatInt(rev, 10)}, "kvs": kvs, "more": more, "count": strconv.Itoa(len(kvs))})
}

// etcdItems returns the items from key up to end that were written up to a revision, 0 for all. more reports that the
// limit, 0 for none, left some out. The caller holds the lock.
func (s *Store) etcdItems(key, end string, revision int64, limit int) (kvs []any, more bool) {
	kvs = []any{}
	for _, x := range s.list("") {
		if x.Key < key || x.Key >= end || revision > 0 && x.ModRevision > revision {
			continue
		}
		if limit > 0 && len(kvs) == limit {
			return kvs, true
		}
		kvs = append(kvs, etcdKV(x))
	}
	return kvs, false
}

// etcdWatch streams events from a revision on, until the client disconnects or the next revision is compacted.
func (v *Server) etcdWatch(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Create struct {
			Key   []byte
			Start int64 `json:"start_revision,string"`
		} `json:"create_request"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		etcdFailure(w, 400, 3, err.Error())
		return
	}
	if !v.authorized(w, r) {
		return
	}
	v.Watches.Add(1)
	s, next := v.readStore(), request.Create.Start
	watch := &etcdWatcher{server: v, store: s, ctx: r.Context(), w: w, out: json.NewEncoder(w)}
	watch.send(map[string]any{"created": true})
	for {
		events, head, compacted, changed := s.eventsSince(next, string(request.Create.Key))
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
		case <-time.After(progressPeriod):
			watch.send(map[string]any{})
		}
	}
}

// etcdWatcher writes the messages of one watch.
type etcdWatcher struct {
	server *Server
	store  *Store
	ctx    context.Context // of the request
	w      http.ResponseWriter
	out    *json.Encoder
}

// send writes one message; a silent server blocks instead, until the client disconnects.
func (x *etcdWatcher) send(fields map[string]any) {
	if x.server.Silent.Load() {
		<-x.ctx.Done()
		return
	}
	x.store.mu.Lock()
	fields["header"] = map[string]any{"cluster_id": x.store.Cluster, "revision": strconv.FormatInt(x.store.revision, 10)}
	x.store.mu.Unlock()
	_ = x.out.Encode(map[string]any{"result": fields}) // the client may have disconnected
	x.w.(http.Flusher).Flush()
}

// sendEvents writes events, in messages of at most FragmentSize events.
func (x *etcdWatcher) sendEvents(events []Item) {
	size := len(events)
	if n := int(x.server.FragmentSize.Load()); n > 0 {
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

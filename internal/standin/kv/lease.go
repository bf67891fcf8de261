package kv

// This file implements etcd's leases and Consul's sessions: keys that are removed when their lease expires or is
// revoked.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// lease removes its keys when it expires.
type lease struct {
	ttl    time.Duration
	keys   []string
	expiry *time.Timer
}

// grant creates a lease that expires unless it is renewed, and returns its id.
func (s *Store) grant(ttl time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serial++
	id := strconv.Itoa(7000 + s.serial)
	if s.leases == nil {
		s.leases = map[string]*lease{}
	}
	s.leases[id] = &lease{ttl: ttl, expiry: time.AfterFunc(ttl, func() { s.EndLease(id) })}
	return id
}

// EndLease ends a lease and removes its keys.
func (s *Store) EndLease(id string) {
	s.mu.Lock()
	l := s.leases[id]
	delete(s.leases, id)
	s.mu.Unlock()
	if l != nil {
		l.expiry.Stop()
		for _, k := range l.keys {
			s.Put(k, nil)
		}
	}
}

// EndAllLeases ends all leases and removes their keys.
func (s *Store) EndAllLeases() {
	s.mu.Lock()
	var ids []string
	for id := range s.leases {
		ids = append(ids, id)
	}
	s.mu.Unlock()
	for _, id := range ids {
		s.EndLease(id)
	}
}

// acquire writes a key under a lease if the key does not exist. It reports whether it did.
func (s *Store) acquire(key, value, id string) bool {
	s.mu.Lock()
	l := s.leases[id]
	_, exists := s.keys[key]
	if exists || l == nil {
		s.mu.Unlock()
		return false
	}
	l.keys = append(l.keys, key)
	s.mu.Unlock()
	s.Put(key, value)
	return true
}

// renew extends a lease by its time to live; it returns false if the lease has ended.
func (s *Store) renew(id string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return 0, false
	}
	l.expiry.Reset(l.ttl)
	return l.ttl, true
}

// handleLeases registers the handlers of leases and sessions.
func (v *Server) handleLeases(mux *http.ServeMux) {
	for path, handle := range map[string]func(w http.ResponseWriter, body map[string]json.RawMessage){
		"/v3/lease/grant":     v.etcdGrant,
		"/v3/lease/keepalive": v.etcdKeepAlive,
		"/v3/lease/revoke":    v.etcdRevoke,
		"/v3/kv/txn":          v.etcdPutIfAbsent,
	} {
		mux.HandleFunc("POST "+path, v.withFaults(func(w http.ResponseWriter, r *http.Request) {
			var body map[string]json.RawMessage
			_ = json.NewDecoder(r.Body).Decode(&body) // what is missing is zero
			handle(w, body)
		}))
	}
	mux.HandleFunc("PUT /v1/session/create", v.withFaults(v.consulCreateSession))
	mux.HandleFunc("PUT /v1/session/renew/{id}", v.withFaults(v.consulRenewSession))
	mux.HandleFunc("PUT /v1/session/destroy/{id}", v.withFaults(v.consulDestroySession))
	mux.HandleFunc("PUT /v1/kv/{key...}", v.withFaults(v.consulAcquire))
}

// jsonString returns the value of a JSON string, "" for anything else.
func jsonString(raw json.RawMessage) (s string) {
	_ = json.Unmarshal(raw, &s)
	return s
}

func (v *Server) etcdGrant(w http.ResponseWriter, body map[string]json.RawMessage) {
	seconds, _ := strconv.Atoi(jsonString(body["TTL"]))
	fmt.Fprintf(w, `{"header":{},"ID":%q,"TTL":"%d"}`, v.store.grant(time.Duration(seconds)*time.Second), seconds)
}

func (v *Server) etcdKeepAlive(w http.ResponseWriter, body map[string]json.RawMessage) {
	ttl, ok := v.store.renew(jsonString(body["ID"]))
	if !ok {
		fmt.Fprint(w, `{"result":{"header":{},"ID":"0"}}`)
		return
	}
	fmt.Fprintf(w, `{"result":{"header":{},"ID":%s,"TTL":"%d"}}`, body["ID"], int(ttl.Seconds()))
}

func (v *Server) etcdRevoke(w http.ResponseWriter, body map[string]json.RawMessage) {
	v.store.EndLease(jsonString(body["ID"]))
	fmt.Fprint(w, `{"header":{}}`)
}

// etcdPutIfAbsent handles the only transaction that clients use: a put if the key does not exist.
func (v *Server) etcdPutIfAbsent(w http.ResponseWriter, body map[string]json.RawMessage) {
	var success []struct {
		Put struct {
			Key, Value []byte
			Lease      string
		} `json:"request_put"`
	}
	_ = json.Unmarshal(body["success"], &success) // what is missing is empty
	put := success[0].Put
	fmt.Fprintf(w, `{"header":{},"succeeded":%v}`, v.store.acquire(string(put.Key), string(put.Value), put.Lease))
}

func (v *Server) consulCreateSession(w http.ResponseWriter, r *http.Request) {
	var request struct{ TTL string }
	_ = json.NewDecoder(r.Body).Decode(&request) // what is missing is zero
	ttl, _ := time.ParseDuration(request.TTL)
	fmt.Fprintf(w, `{"ID":%q}`, v.store.grant(ttl))
}

func (v *Server) consulRenewSession(w http.ResponseWriter, r *http.Request) {
	ttl, ok := v.store.renew(r.PathValue("id"))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	fmt.Fprintf(w, `[{"TTL":%q}]`, ttl)
}

func (v *Server) consulDestroySession(w http.ResponseWriter, r *http.Request) {
	v.store.EndLease(r.PathValue("id"))
	fmt.Fprint(w, "true")
}

func (v *Server) consulAcquire(w http.ResponseWriter, r *http.Request) {
	var value json.RawMessage
	_ = json.NewDecoder(r.Body).Decode(&value) // what is missing is empty
	fmt.Fprint(w, v.store.acquire(r.PathValue("key"), string(value), r.FormValue("acquire")))
}

package kv

// This file owns leases and sessions: keys that go when nobody renews what they stand under, or on command.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

type lease struct {
	ttl    time.Duration
	keys   []string
	expiry *time.Timer
}

// grant makes a lease that ends by itself.
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

// EndLease ends a lease and removes its keys; LoseLeases does so to all.
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

// LoseLeases ends all leases at once, with the keys under them.
func (s *Store) LoseLeases() {
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

// hold writes a key under a lease where nobody has it.
func (s *Store) acquire(key, value, id string) bool {
	s.mu.Lock()
	l := s.leases[id]
	_, taken := s.keys[key]
	if taken || l == nil {
		s.mu.Unlock()
		return false
	}
	l.keys = append(l.keys, key)
	s.mu.Unlock()
	s.Put(key, value)
	return true
}

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

func (v *Server) handleLeases(m *http.ServeMux) {
	etcd := func(path string, serve func(w http.ResponseWriter, body map[string]json.RawMessage)) {
		m.HandleFunc("POST "+path, v.withFaults(func(w http.ResponseWriter, r *http.Request) {
			var body map[string]json.RawMessage
			_ = json.NewDecoder(r.Body).Decode(&body) // what is missing is zero
			serve(w, body)
		}))
	}
	text := func(raw json.RawMessage) (s string) { _ = json.Unmarshal(raw, &s); return s }
	etcd("/v3/lease/grant", func(w http.ResponseWriter, body map[string]json.RawMessage) {
		seconds, _ := strconv.Atoi(text(body["TTL"]))
		fmt.Fprintf(w, `{"header":{},"ID":%q,"TTL":"%d"}`, v.store.grant(time.Duration(seconds)*time.Second), seconds)
	})
	etcd("/v3/lease/keepalive", func(w http.ResponseWriter, body map[string]json.RawMessage) {
		ttl, ok := v.store.renew(text(body["ID"]))
		if !ok {
			fmt.Fprint(w, `{"result":{"header":{},"ID":"0"}}`)
			return
		}
		fmt.Fprintf(w, `{"result":{"header":{},"ID":%s,"TTL":"%d"}}`, body["ID"], int(ttl.Seconds()))
	})
	etcd("/v3/lease/revoke", func(w http.ResponseWriter, body map[string]json.RawMessage) {
		v.store.EndLease(text(body["ID"]))
		fmt.Fprint(w, `{"header":{}}`)
	})
	etcd("/v3/kv/txn", func(w http.ResponseWriter, body map[string]json.RawMessage) {
		var success []struct {
			Put struct {
				Key, Value []byte
				Lease      string
			} `json:"request_put"`
		}
		_ = json.Unmarshal(body["success"], &success) // what is missing is empty
		p := success[0].Put
		fmt.Fprintf(w, `{"header":{},"succeeded":%v}`, v.store.acquire(string(p.Key), string(p.Value), p.Lease))
	})
	m.HandleFunc("PUT /v1/session/create", v.withFaults(func(w http.ResponseWriter, r *http.Request) {
		var ask struct{ TTL string }
		_ = json.NewDecoder(r.Body).Decode(&ask) // what is missing is zero
		ttl, _ := time.ParseDuration(ask.TTL)
		fmt.Fprintf(w, `{"ID":%q}`, v.store.grant(ttl))
	}))
	m.HandleFunc("PUT /v1/session/renew/{id}", v.withFaults(func(w http.ResponseWriter, r *http.Request) {
		ttl, ok := v.store.renew(r.PathValue("id"))
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		fmt.Fprintf(w, `[{"TTL":%q}]`, ttl)
	}))
	m.HandleFunc("PUT /v1/session/destroy/{id}", v.withFaults(func(w http.ResponseWriter, r *http.Request) {
		v.store.EndLease(r.PathValue("id"))
		fmt.Fprint(w, "true")
	}))
	m.HandleFunc("PUT /v1/kv/{key...}", v.withFaults(func(w http.ResponseWriter, r *http.Request) {
		var value json.RawMessage
		_ = json.NewDecoder(r.Body).Decode(&value) // what is missing is empty
		fmt.Fprint(w, v.store.acquire(r.PathValue("key"), string(value), r.FormValue("acquire")))
	}))
}

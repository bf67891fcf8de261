package kv

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// This file implements Consul's HTTP API.

// blockingQuery waits as Consul does for a query with an index, and returns the store to read.
func (v *Server) blockingQuery(r *http.Request) *Store {
	s := v.readStore()
	index, _ := strconv.ParseInt(r.FormValue("index"), 10, 64)
	limit, _ := time.ParseDuration(r.FormValue("wait"))
	timeout := time.After(limit)
	for index > 0 {
		s.mu.Lock()
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if revision != index { // also if the revision went back, as after a restore
			break
		}
		select {
		case <-changed:
			continue
		case <-timeout:
		case <-r.Context().Done():
		}
		break
	}
	return s
}

// consulKeys handles a read of all keys under a prefix.
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

// consulService handles a read of a service's instances, which are the values under the service's name.
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

package lab

// This file owns the HTTP endpoint of the list of members.

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"weirwind/internal/discovery"
)

// serveList answers with the complete list. With since it waits until the list has a later revision, at most
// timeout_ms.
func (c *Cluster) serveList(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.FormValue("since"), 10, 64)
	ms, _ := strconv.Atoi(r.FormValue("timeout_ms"))
	if since > 0 && !c.awaitRevision(r.Context(), since, time.Duration(ms)*time.Millisecond) {
		return
	}
	c.mu.Lock()
	text := c.listJSON()
	for id, e := range c.entries {
		if _, known := c.drainSeen[id]; e.Phase == discovery.PhaseDraining && !known {
			c.drainSeen[id] = time.Now()
		}
	}
	c.mu.Unlock()
	_, _ = w.Write(text) // the client may have disconnected
}

// awaitRevision waits for a later revision or the timeout; it returns false if the context ended.
func (c *Cluster) awaitRevision(ctx context.Context, since int64, timeout time.Duration) bool {
	over := time.After(timeout)
	for {
		c.mu.Lock()
		revision, changed := c.revision, c.changed
		c.mu.Unlock()
		if revision > since {
			return true
		}
		select {
		case <-changed:
		case <-over:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// listEntry is a member in the registry's format.
type listEntry struct {
	ID       string `json:"id"`
	HostPort string `json:"host_port"`
	Locality string `json:"locality"`
	Cell     int64  `json:"cell"`
	Phase    string `json:"phase"`
}

// listJSON returns the list in the registry's format; the caller holds the lock.
func (c *Cluster) listJSON() []byte {
	var all []listEntry
	for _, m := range c.members {
		e := c.entries[m.ID]
		all = append(all, listEntry{e.ID, e.Address, e.Zone, e.Group, e.Phase})
	}
	text, err := json.Marshal(map[string]any{"revision": c.revision, "complete": true, "members": all})
	if err != nil {
		panic(err) // the list has no value that can't be encoded
	}
	return text
}

// MemberList returns the list in the form of a driver's configuration.
func (c *Cluster) MemberList() json.RawMessage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listJSON()
}

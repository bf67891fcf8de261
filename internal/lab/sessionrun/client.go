package sessionrun

// This file owns clients and producers, and the audit of their messages.

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"weirwind/sessionclient"
)

const (
	openTimeout   = 10 * time.Second // until a session is open
	answerTimeout = 15 * time.Second // until a producer's message is acknowledged
)

// client is a client with an open session, and the messages that were queued for it and received by it.
type client struct {
	session *sessionclient.Session
	id      string

	mu           sync.Mutex // guards the following fields
	queued       []string   // messages that a site has acknowledged
	received     []string
	lastReceived time.Time
	longestGap   time.Duration // longest time between two messages
}

// openSessions opens the clients' sessions, one after the other, and starts receiving their messages.
func (d *deployment) openSessions(ctx context.Context) error {
	edges := []string{d.edgeURL(0), d.edgeURL(1)}
	for i := range d.options.Clients {
		urls := []string{edges[i%2], edges[(i+1)%2]}
		c := &client{lastReceived: time.Now(), session: sessionclient.Open(ctx, urls, "", 0)}
		d.clients = append(d.clients, c)
		select {
		case <-c.session.Opened():
		case <-time.After(openTimeout):
			return fmt.Errorf("client %d: the session did not open in time", i)
		}
		token, _ := c.session.Token()
		c.id, _, _ = strings.Cut(token, ".")
		go c.receive(&d.delivered)
	}
	return nil
}

// receive receives messages until the session ends.
func (c *client) receive(delivered *atomic.Int64) {
	for m := range c.session.Messages() {
		delivered.Add(1)
		c.mu.Lock()
		now := time.Now()
		if c.received = append(c.received, string(m)); len(c.received) > 1 {
			c.longestGap = max(c.longestGap, now.Sub(c.lastReceived))
		}
		c.lastReceived = now
		c.mu.Unlock()
	}
}

// sinceLast returns the time since the last message.
func (c *client) sinceLast() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastReceived)
}

// produce queues messages for a client until the context ends; the first request goes to the site with an index.
func (d *deployment) produce(ctx context.Context, c *client, site int) {
	var sites []string
	for n := range d.options.Sites {
		sites = append(sites, d.siteAddress(n))
	}
	tick := time.NewTicker(d.options.MessageInterval)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		body := fmt.Sprint(c.id[:6], "-", i)
		// The end of the run must not cancel a request whose outcome would then be unknown.
		answer, stop := context.WithTimeout(context.WithoutCancel(ctx), answerTimeout)
		home, err := sessionclient.Queue(answer, sites, site, c.id, fmt.Sprint(i), []byte(body))
		stop()
		if site = home; err == nil {
			c.mu.Lock()
			c.queued = append(c.queued, body)
			c.mu.Unlock()
			d.queued.Add(1)
		}
	}
}

// audit compares the messages that a client received with those that were queued for it.
func (c *client) audit(r *Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := map[string]int{}
	for _, m := range c.received {
		if seen[m]++; seen[m] == 2 {
			r.Duplicated++
		}
	}
	for _, m := range c.queued {
		if seen[m] == 0 {
			r.Lost++
		}
	}
	if !slices.Equal(c.received, c.queued) && r.Lost+r.Duplicated == 0 {
		r.OutOfOrder++
	}
	r.Opened++
	if c.session.Connections() == 1 {
		r.StayedOpen++
	}
	r.LongestGaps = append(r.LongestGaps, c.longestGap)
}

package queue

import (
	"fmt"
	"slices"
	"strings"
)

// This file owns the scenario's clients, producers and consumers, and the check of what they have got.

type client struct {
	id, secret     string
	plain          bool
	edge           string
	socket         uint64
	open           bool
	acked          uint64
	received       []string // as they came
	acknowledged   []string // the producer was told that they are, in this order
	produced       map[string]bool
	sent           []string // to the server
	publishAcked   uint64
	consumed       []string // by the consumer
	consumedNumber uint64
	reconnects     int
}

// resend is what a client of the subprotocol does when it is connected anew: what is not acknowledged goes again,
// under its own numbers.
func (e *scenario) resend(c *client, n uint64) {
	c.publishAcked = max(c.publishAcked, n)
	edge := e.edges[c.edge]
	for i := c.publishAcked; i < uint64(len(c.sent)); i++ {
		edge.decider.Publish(c.socket, i+1, []byte(c.sent[i]))
	}
}

func (e *scenario) reconnectLater(c *client) {
	if !e.clientsRun && len(c.received) >= len(c.acknowledged) {
		return
	}
	c.reconnects++
	e.After(50+200*e.random.Float64(), func() { e.connect(c, false) })
}

// connect opens a socket of a client at any edge; fresh: its session begins.
func (e *scenario) connect(c *client, fresh bool) {
	edge := e.edges[simEdges[e.random.IntN(2)]]
	if !edge.up {
		e.After(50, func() { e.connect(c, fresh) })
		return
	}
	edge.lastSocket++
	c.edge, c.socket = edge.name, edge.lastSocket
	edge.sockets[edge.lastSocket] = c
	edge.decider.OpenSocket(edge.lastSocket, c.id, c.secret, fresh, c.acked, e.Now)
	e.flushEdge(edge)
}

// produce queues a message, repeating it under its key until it has an answer.
func (e *scenario) produce(c *client, n int) {
	key := fmt.Sprint("k", n)
	body := fmt.Sprint(c.id, "-", n)
	c.produced[body] = true
	var try func(left int)
	try = func(left int) {
		if left == 0 {
			return
		}
		done := false
		for _, name := range simSites { // the owner answers
			site := e.sites[name]
			if !site.up || site.frozen || site.decider.owned[c.id] == nil {
				continue
			}
			site.decider.Enqueue(c.id, key, []byte(body), e.Now, func(status Status, n uint64) {
				e.record("reply", e.Now, status, n)
				if e.random.IntN(50) == 0 { // the answer is lost
					e.After(300, func() { try(left - 1) })
					return
				}
				switch {
				case status == 202 || status == 200:
					if !slices.Contains(c.acknowledged, body) {
						c.acknowledged = append(c.acknowledged, body)
					}
				case status == 503 || status == 404:
					e.After(100, func() { try(left - 1) })
				}
			})
			e.flushSite(site)
			done = true
			break
		}
		if !done {
			e.After(100, func() { try(left - 1) })
		}
	}
	try(60)
}

// consume takes what has come from a client, at whichever site owns its session.
func (e *scenario) consume(c *client) {
	for _, name := range simSites {
		site := e.sites[name]
		if !site.up || site.frozen {
			continue
		}
		msgs, ok := site.decider.Inbox(c.id, c.consumedNumber, e.Now)
		e.record("inbox", msgs, ok)
		if !ok {
			continue
		}
		for _, m := range msgs {
			c.consumed = append(c.consumed, string(m.Body))
			c.consumedNumber = m.Number
		}
		if len(msgs) > 0 {
			site.decider.Consume(c.id, c.consumedNumber, e.Now)
			e.flushSite(site)
		}
		return
	}
}

func (e *scenario) startTraffic(until float64) {
	for _, c := range e.clients {
		n := 0
		var put, say, take func()
		put = func() {
			if e.Now < until {
				e.produce(c, n)
				n++
				e.After(400*e.random.Float64(), put)
			}
		}
		say = func() {
			if e.Now < until {
				if edge := e.edges[c.edge]; c.open && edge.up && edge.decider.CanPublish(c.socket) {
					c.sent = append(c.sent, fmt.Sprint(c.id, ">", len(c.sent)))
					num := uint64(len(c.sent))
					if c.plain {
						num = 0
					}
					edge.decider.Publish(c.socket, num, []byte(c.sent[len(c.sent)-1]))
					e.flushEdge(edge)
				}
				e.After(600*e.random.Float64(), say)
			}
		}
		take = func() {
			e.consume(c)
			e.After(100, take)
		}
		e.After(500*e.random.Float64(), put)
		e.After(500*e.random.Float64(), say)
		e.After(500, take)
	}
}

func (e *scenario) verify(closedOK bool) (wrong []string) {
	for _, c := range e.clients {
		if len(c.received) > 0 && strings.Contains(strings.Join(c.received, " "), "!gap") {
			wrong = append(wrong, c.id+" saw a gap")
		}
		seen := map[string]int{}
		for _, m := range c.received {
			seen[m]++
			if seen[m] > 1 {
				wrong = append(wrong, fmt.Sprintf("%s got %s twice", c.id, m))
			}
			if !c.produced[m] {
				wrong = append(wrong, fmt.Sprintf("%s got %s, which nobody sent", c.id, m))
			}
		}
		for _, m := range c.acknowledged {
			if seen[m] != 1 {
				wrong = append(wrong, fmt.Sprintf("%s never got %s, which was queued", c.id, m))
			}
		}
		for i, m := range c.consumed {
			if i >= len(c.sent) || c.sent[i] != m {
				wrong = append(wrong, fmt.Sprintf("%s: the consumer's %d is %s", c.id, i, m))
				break
			}
		}
		if len(c.consumed) < len(c.sent) {
			wrong = append(wrong, fmt.Sprintf("%s: %d were sent, %d came", c.id, len(c.sent), len(c.consumed)))
		}
		if len(c.consumed) < int(c.publishAcked) {
			wrong = append(wrong, fmt.Sprintf("%s: %d are safe, %d came", c.id, c.publishAcked, len(c.consumed)))
		}
		if !closedOK && c.reconnects > 0 {
			wrong = append(wrong, fmt.Sprintf("%s did not stay open", c.id))
		}
	}
	return wrong
}

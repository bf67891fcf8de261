package queue

import (
	"fmt"
	"slices"
	"strings"
)

// This file implements the scenario's clients, producers and consumers, and checks the messages that they received.

type client struct {
	id, secret     string
	plain          bool
	edge           string
	socket         uint64
	open           bool
	acked          uint64
	received       []string // bodies in the order of arrival
	acknowledged   []string // bodies whose enqueuing was acknowledged to the producer, in this order
	produced       map[string]bool
	sent           []string // bodies published by the client
	publishAcked   uint64
	consumed       []string // bodies received by the consumer
	consumedNumber uint64
	reconnects     int
}

// resend publishes the client's unacknowledged messages again with their numbers, as a client of the subprotocol does
// after it has reconnected.
func (sc *scenario) resend(c *client, acked uint64) {
	c.publishAcked = max(c.publishAcked, acked)
	edge := sc.edges[c.edge]
	for i := c.publishAcked; i < uint64(len(c.sent)); i++ {
		edge.decider.Publish(c.socket, i+1, []byte(c.sent[i]))
	}
}

func (sc *scenario) reconnectLater(c *client) {
	if !sc.clientsActive && len(c.received) >= len(c.acknowledged) {
		return
	}
	c.reconnects++
	sc.After(50+200*sc.random.Float64(), func() { sc.connect(c, false) })
}

// connect opens a client's socket at a random edge. newSession says that its session is to be created.
func (sc *scenario) connect(c *client, newSession bool) {
	edge := sc.edges[simEdges[sc.random.IntN(2)]]
	if !edge.up {
		sc.After(50, func() { sc.connect(c, newSession) })
		return
	}
	edge.lastSocket++
	c.edge, c.socket = edge.name, edge.lastSocket
	edge.sockets[edge.lastSocket] = c
	edge.decider.OpenSocket(edge.lastSocket, c.id, c.secret, newSession, c.acked, sc.Now)
	sc.flushEdge(edge)
}

// produce enqueues a message and retries with the same key until it has a final answer.
func (sc *scenario) produce(c *client, sequence int) {
	key := fmt.Sprint("k", sequence)
	body := fmt.Sprint(c.id, "-", sequence)
	c.produced[body] = true
	var attempt func(left int)
	attempt = func(attemptsLeft int) {
		if attemptsLeft == 0 {
			return
		}
		asked := false
		for _, name := range simSites { // find the session's owner
			site := sc.sites[name]
			if !site.up || site.frozen || site.decider.owned[c.id] == nil {
				continue
			}
			site.decider.Enqueue(c.id, key, []byte(body), sc.Now, func(status Status, n uint64) {
				sc.record("reply", sc.Now, status, n)
				if sc.random.IntN(50) == 0 { // the answer is lost
					sc.After(300, func() { attempt(attemptsLeft - 1) })
					return
				}
				switch {
				case status == 202 || status == 200:
					if !slices.Contains(c.acknowledged, body) {
						c.acknowledged = append(c.acknowledged, body)
					}
				case status == 503 || status == 404:
					sc.After(100, func() { attempt(attemptsLeft - 1) })
				}
			})
			sc.flushSite(site)
			asked = true
			break
		}
		if !asked {
			sc.After(100, func() { attempt(attemptsLeft - 1) })
		}
	}
	attempt(60)
}

// consume fetches and consumes a client's messages at the site that owns its session.
func (sc *scenario) consume(c *client) {
	for _, name := range simSites {
		site := sc.sites[name]
		if !site.up || site.frozen {
			continue
		}
		messages, ok := site.decider.Inbox(c.id, c.consumedNumber, sc.Now)
		sc.record("inbox", messages, ok)
		if !ok {
			continue
		}
		for _, m := range messages {
			c.consumed = append(c.consumed, string(m.Body))
			c.consumedNumber = m.Number
		}
		if len(messages) > 0 {
			site.decider.Consume(c.id, c.consumedNumber, sc.Now)
			sc.flushSite(site)
		}
		return
	}
}

func (sc *scenario) startTraffic(until float64) {
	for _, c := range sc.clients {
		produced := 0
		var enqueue, publish, consume func()
		enqueue = func() {
			if sc.Now < until {
				sc.produce(c, produced)
				produced++
				sc.After(400*sc.random.Float64(), enqueue)
			}
		}
		publish = func() {
			if sc.Now < until {
				if edge := sc.edges[c.edge]; c.open && edge.up && edge.decider.CanPublish(c.socket) {
					c.sent = append(c.sent, fmt.Sprint(c.id, ">", len(c.sent)))
					number := uint64(len(c.sent))
					if c.plain {
						number = 0
					}
					edge.decider.Publish(c.socket, number, []byte(c.sent[len(c.sent)-1]))
					sc.flushEdge(edge)
				}
				sc.After(600*sc.random.Float64(), publish)
			}
		}
		consume = func() {
			sc.consume(c)
			sc.After(100, consume)
		}
		sc.After(500*sc.random.Float64(), enqueue)
		sc.After(500*sc.random.Float64(), publish)
		sc.After(500, consume)
	}
}

func (sc *scenario) verify(mayReconnect bool) (problems []string) {
	for _, c := range sc.clients {
		if len(c.received) > 0 && strings.Contains(strings.Join(c.received, " "), "!gap") {
			problems = append(problems, c.id+" received a gap")
		}
		seen := map[string]int{}
		for _, m := range c.received {
			seen[m]++
			if seen[m] > 1 {
				problems = append(problems, fmt.Sprintf("%s received %s twice", c.id, m))
			}
			if !c.produced[m] {
				problems = append(problems, fmt.Sprintf("%s received %s, which was never produced", c.id, m))
			}
		}
		for _, m := range c.acknowledged {
			if seen[m] != 1 {
				problems = append(problems, fmt.Sprintf("%s never received %s, which was acknowledged", c.id, m))
			}
		}
		for i, m := range c.consumed {
			if i >= len(c.sent) || c.sent[i] != m {
				problems = append(problems, fmt.Sprintf("%s: message %d of the consumer is %s", c.id, i, m))
				break
			}
		}
		if len(c.consumed) < len(c.sent) {
			problems = append(problems, fmt.Sprintf("%s: %d were sent, %d were consumed", c.id, len(c.sent), len(c.consumed)))
		}
		if len(c.consumed) < int(c.publishAcked) {
			problems = append(problems, fmt.Sprintf("%s: %d were acknowledged to the client, %d were consumed", c.id,
				c.publishAcked, len(c.consumed)))
		}
		if !mayReconnect && c.reconnects > 0 {
			problems = append(problems, fmt.Sprintf("%s had to reconnect", c.id))
		}
	}
	return problems
}

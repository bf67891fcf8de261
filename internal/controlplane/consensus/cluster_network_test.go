package consensus

import "math/rand/v2"

// newFaultlessCluster has three founders, whose machines and messages fail by themselves in no way; connections
// are made first. stream tells tests apart that play the same seeds.
func newFaultlessCluster(seed int, stream uint64, minVoters int) *cluster {
	c := newCluster(uint64(seed), 3)
	c.random = rand.New(rand.NewPCG(uint64(seed), stream))
	c.crashRate, c.lossRate, c.connectedAt, c.minVoters = 0, 0, map[[2]string]float64{}, minVoters
	return c
}

// post puts a message on its way, once or twice, or loses it.
func (c *cluster) transmit(from string, e Envelope) {
	if c.partitioned[[2]string{from, e.To}] || !c.connected(from, e.To) || c.random.Float64() < c.lossRate {
		return
	}
	message := e.Message
	if message.Entry != nil {
		entry := *message.Entry
		message.Entry = &entry
	}
	for range 1 + c.random.IntN(20)/19 {
		at := c.now + 1 + c.extraDelay[e.To] + 60*c.random.Float64()*c.random.Float64()
		c.inTransit = append(c.inTransit, delivery{at, e.To, message})
	}
}

// reconnect has the connections of a machine that starts made anew: its own soon, those of the others at their
// next attempt.
func (c *cluster) reconnect(addr string) {
	for _, other := range c.addrs() {
		delete(c.connectedAt, [2]string{addr, other})
		if _, known := c.connectedAt[[2]string{other, addr}]; known {
			// The longest backoff, and an attempt that met nobody.
			c.connectedAt[[2]string{other, addr}] = c.now + 2500*c.random.Float64()
		}
	}
}

// connected says whether a connection stands, either one's: answers go the way that the question came. The
// first message to an address only has one made.
func (c *cluster) connected(from, to string) bool {
	if c.connectedAt == nil {
		return true
	}
	at, known := c.connectedAt[[2]string{from, to}]
	if !known {
		c.connectedAt[[2]string{from, to}] = c.now + 5 + 95*c.random.Float64()
	}
	reverseAt, reverseKnown := c.connectedAt[[2]string{to, from}]
	return known && at <= c.now || reverseKnown && reverseAt <= c.now
}

package consensus

import "math/rand/v2"

// newFaultlessCluster returns a cluster of three founders without random faults, whose connections are not yet
// established. stream selects the random numbers, so that tests with the same seeds run different histories.
func newFaultlessCluster(seed int, stream uint64, minVoters int) *cluster {
	c := newCluster(uint64(seed), 3)
	c.random = rand.New(rand.NewPCG(uint64(seed), stream))
	c.crashRate, c.lossRate, c.connectedAt, c.minVoters = 0, 0, map[[2]string]float64{}, minVoters
	return c
}

// transmit puts a message in transit once or, rarely, twice, or loses it.
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

// reconnect drops the connections of a machine that starts: its own are established again soon, those of other machines
// at their next attempt.
func (c *cluster) reconnect(addr string) {
	for _, other := range c.addrs() {
		delete(c.connectedAt, [2]string{addr, other})
		if _, known := c.connectedAt[[2]string{other, addr}]; known {
			// The longest backoff after an attempt that failed while the machine was down.
			c.connectedAt[[2]string{other, addr}] = c.now + 2500*c.random.Float64()
		}
	}
}

// connected reports whether a connection is established in either direction, as answers use the connection of the
// request. The first message to an address only starts a connection and is lost.
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

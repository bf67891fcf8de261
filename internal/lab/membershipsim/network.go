package membershipsim

// This file owns the network: datagrams, and full state exchanges over connections.

import (
	"fmt"

	"weirwind/internal/fleet/membership"
)

const (
	maxPending     = 200 // datagrams that a socket buffers for a paused driver
	recordBytes    = 60  // approximate size of a record in an exchange
	datagramHeader = 16  // bytes of a datagram in addition to the encoded message
	sampleEvery    = 50  // the size of one in this many messages is measured
)

// address returns the address that the driver with an index advertises.
func address(index int) string { return fmt.Sprintf("10.0.%d.%d:7400", index/250, index%250+1) }

// indexOf returns the index of the driver at an address, or -1 if there is none.
func (s *Simulation) indexOf(address string) int {
	var a, b int
	if n, _ := fmt.Sscanf(address, "10.0.%d.%d:7400", &a, &b); n != 2 {
		return -1
	}
	if i := a*250 + b - 1; i < len(s.Drivers) {
		return i
	}
	return -1
}

func (s *Simulation) blocked(from, to int) bool { return s.Blocked != nil && s.Blocked(from, to) }

// latency draws a one-way latency.
func (s *Simulation) latency() float64 {
	return s.options.Latency * (0.5 + s.random.ExpFloat64()/2)
}

// dispatch executes the output of a driver's membership protocol.
func (s *Simulation) dispatch(driver *Driver, out membership.Output) {
	if s.OnEvent != nil {
		for _, e := range out.Events {
			s.OnEvent(s.Now, driver.Name, e)
		}
	}
	for _, m := range out.Messages {
		s.send(driver, m.Address, m.Message)
	}
	for _, peer := range out.SyncWith {
		if to := s.indexOf(peer); to >= 0 && !s.blocked(driver.index, to) {
			s.exchange(driver, s.Drivers[to])
		}
	}
}

// send sends a datagram, which the network may drop or duplicate.
func (s *Simulation) send(driver *Driver, address string, message membership.Message) {
	to := s.indexOf(address)
	driver.Sent++
	s.countBytes(driver, &message)
	if to < 0 || s.blocked(driver.index, to) || s.random.Float64() < s.Loss {
		return
	}
	times := 1
	if s.random.Float64() < s.options.Duplicate {
		times = 2
	}
	for range times {
		s.deliver(s.Drivers[to], message)
	}
}

// countBytes adds the mean size of the measured messages to a driver's sent bytes.
func (s *Simulation) countBytes(driver *Driver, message *membership.Message) {
	if !s.measureSizes {
		return
	}
	if s.Scheduled%sampleEvery == 0 || s.sampledMessages == 0 {
		s.sampledBytes, s.sampledMessages = s.sampledBytes+encodedSize(message), s.sampledMessages+1
	}
	driver.Bytes += s.sampledBytes / float64(s.sampledMessages)
}

// deliver delivers a datagram after a latency; a paused driver's socket buffers it if there is space.
func (s *Simulation) deliver(to *Driver, message membership.Message) {
	s.After(s.latency(), func() {
		switch {
		case to.View == nil:
		case s.Now < to.PausedUntil:
			if len(to.pending) < maxPending {
				to.pending = append(to.pending, message)
			}
		default:
			s.dispatch(to, to.View.Receive(s.Now, message))
		}
	})
}

// exchange makes two drivers merge their complete states over a connection.
func (s *Simulation) exchange(driver, to *Driver) {
	request, incarnation := driver.View.Snapshot(), driver.incarnation
	driver.Bytes += recordBytes * float64(len(request.Records))
	s.After(2*s.latency(), func() {
		if to.View == nil || s.Now < to.PausedUntil {
			return
		}
		response := to.View.Snapshot()
		s.dispatch(to, to.View.Merge(s.Now, request))
		if s.blocked(to.index, driver.index) {
			return
		}
		to.Bytes += recordBytes * float64(len(response.Records))
		s.After(s.latency(), func() {
			if driver.View != nil && driver.incarnation == incarnation && s.Now >= driver.PausedUntil {
				s.dispatch(driver, driver.View.Merge(s.Now, response))
			}
		})
	})
}

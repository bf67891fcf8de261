package emulator

// This file owns the network between zones: latencies, losses and partitions.

const retransmitDelay = 200.0 // milliseconds until a lost packet is sent again, doubled each time, as kernels do

// maxRetransmitDelay bounds the retransmission delay of a packet, after which it arrives.
const maxRetransmitDelay = 16 * retransmitDelay

// networkFault is a period in which a share of all packets is lost or, if loss is 0, in which no packet from one zone
// reaches another.
type networkFault struct {
	from, until      float64
	fromZone, toZone int
	loss             float64
}

// transit draws the latency of a packet between two zones at the sending process's time, and reports whether it
// arrives.
func (sim *simulation) transit(sender *process, from, to int) (latency float64, arrives bool) {
	mean := sim.setup.ZoneLatency
	if from != to {
		mean = sim.setup.CrossZoneLatency
	}
	latency = mean * (0.5 + sender.random.ExpFloat64()*0.5)
	for _, fault := range sim.networkFaults {
		if sender.now < fault.from || sender.now >= fault.until {
			continue
		}
		if fault.loss > 0 {
			for delay := retransmitDelay; delay < maxRetransmitDelay && sender.random.Float64() < fault.loss; delay *= 2 {
				latency += delay
			}
		} else if fault.fromZone == from && fault.toZone == to {
			return latency, false
		}
	}
	return latency, true
}

func zoneName(i int) string { return string(rune('a' + i)) }

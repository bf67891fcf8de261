package transport

// This file owns the counting of traffic by class.

import "sync/atomic"

// MaxClasses bounds the classes of traffic that frames may name; a class beyond it is counted as class 0.
const MaxClasses = 16

// Classified is a frame that names the class of traffic it belongs to. Frames that don't are counted as class 0.
type Classified interface{ TrafficClass() uint8 }

// Count is a number of frames and of their bytes on the wire, the length prefix included. Headers of TCP and IP are
// not counted.
type Count struct {
	Frames uint64 `json:"frames"`
	Bytes  uint64 `json:"bytes"`
}

type counter struct{ frames, bytes atomic.Uint64 }

func (c *counter) add(bytes int) {
	c.frames.Add(1)
	c.bytes.Add(uint64(bytes))
}

func (c *counter) count() Count { return Count{Frames: c.frames.Load(), Bytes: c.bytes.Load()} }

// Counters count the frames of any number of links by class. They may be read at any time; counting allocates nothing.
type Counters struct {
	sent, received [MaxClasses]counter
}

// Sent returns what was queued for sending in a class.
func (c *Counters) Sent(class uint8) Count { return c.sent[boundClass(class)].count() }

// Received returns what was read in a class.
func (c *Counters) Received(class uint8) Count { return c.received[boundClass(class)].count() }

func boundClass(class uint8) uint8 {
	if class >= MaxClasses {
		return 0
	}
	return class
}

func classOf(frame any) uint8 {
	if f, ok := frame.(Classified); ok {
		return boundClass(f.TrafficClass())
	}
	return 0
}

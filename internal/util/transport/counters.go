package transport

// This file counts traffic by class.

import "sync/atomic"

// MaxClasses is the number of traffic classes; frames of a class beyond it are counted as class 0.
const MaxClasses = 16

// Classified is implemented by frames that belong to a traffic class. Other frames are counted as class 0.
type Classified interface{ TrafficClass() uint8 }

// Count has a number of frames and of their bytes on the wire, with the length prefix and without TCP and IP headers.
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

// Counters count the frames of any number of links by class. They are safe for concurrent use; counting does not
// allocate.
type Counters struct {
	sent, received [MaxClasses]counter
}

// Sent returns the count of frames of a class that were queued for sending.
func (c *Counters) Sent(class uint8) Count { return c.sent[boundClass(class)].count() }

// Received returns the count of frames of a class that were read.
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

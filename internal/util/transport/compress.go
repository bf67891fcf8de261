package transport

// This file owns the compressed form of long frames: DEFLATE, marked by the highest bit of the length prefix. The
// encoder keeps no state between frames, as an agent has two megabytes in all; decoders are pooled.

import (
	"bytes"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"
)

const (
	compressAbove  = 1 << 10 // bytes: what is shorter fits a packet, and would cost a system call's time to compress
	compressedFlag = 1 << 31 // in the length prefix; lengths are at most maxFrameBytes
)

var decoders = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// compressed is a frame's compressed form, made when the first link wants it.
type compressed struct {
	once  sync.Once
	bytes []byte // nil: it would not be shorter
}

// of returns the compressed form of a frame, always the same one; nil: it would not be shorter.
func (c *compressed) form(frame []byte) []byte {
	c.once.Do(func() {
		var out bytes.Buffer
		if err := flate.StatelessDeflate(&out, frame, true, nil); err == nil && out.Len() < len(frame) {
			c.bytes = bytes.Clone(out.Bytes())
		}
	})
	return c.bytes
}

// decompress returns the frame that was compressed; one that would be longer than a frame may be is refused before
// all of it is in memory.
func decompress(frame []byte) ([]byte, error) {
	decoder := decoders.Get().(io.ReadCloser)
	defer decoders.Put(decoder)
	if err := decoder.(flate.Resetter).Reset(bytes.NewReader(frame), nil); err != nil {
		return nil, err
	}
	var out bytes.Buffer
	if _, err := out.ReadFrom(io.LimitReader(decoder, maxFrameBytes+1)); err != nil {
		return nil, err
	}
	if out.Len() > maxFrameBytes {
		return nil, ErrFrameTooLong
	}
	return out.Bytes(), nil
}

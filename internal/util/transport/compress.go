package transport

// This file has the compressed form of long frames: DEFLATE, marked by the highest bit of the length prefix. The
// encoder keeps no state between frames, as an agent may use two megabytes of memory in total; decoders are pooled.

import (
	"bytes"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"
)

const (
	compressAbove  = 1 << 10 // bytes: shorter frames fit a packet, and compressing them costs as much as a system call
	compressedFlag = 1 << 31 // in the length prefix; lengths are at most maxFrameBytes
)

var decoders = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// compressed is a frame's compressed form, computed when the first link needs it.
type compressed struct {
	once  sync.Once
	bytes []byte // nil if it would not be shorter
}

// form returns the compressed form of a frame, computed once; nil if it would not be shorter.
func (c *compressed) form(frame []byte) []byte {
	c.once.Do(func() {
		var out bytes.Buffer
		if err := flate.StatelessDeflate(&out, frame, true, nil); err == nil && out.Len() < len(frame) {
			c.bytes = bytes.Clone(out.Bytes())
		}
	})
	return c.bytes
}

// decompress returns the decompressed frame. A frame longer than maxFrameBytes is rejected before all of it is in
// memory.
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

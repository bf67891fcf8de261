package transport

// This file owns the encoding of frames, once for each frame however many links it goes to.

import (
	"github.com/fxamacker/cbor/v2"
)

const (
	maxFrameBytes = 8 << 20 // of a frame, compressed or not; a peer that announces more loses its link
	prefixBytes   = 4       // of the length before each frame
)

// wireFrame is a frame as it is written.
type wireFrame struct {
	prefix uint32 // the length of bytes, with compressedFlag where they are compressed
	bytes  []byte
}

// Encoded is a frame's bytes with its class of traffic, for a frame that goes to many.
type Encoded struct {
	bytes      []byte
	class      uint8
	compressed *compressed // nil: the frame is short
}

// Encode makes a frame's bytes. A frame that can't be encoded has none, and is not sent.
func Encode[Frame any](frame *Frame) Encoded {
	b, err := cbor.Marshal(frame)
	if err != nil {
		return Encoded{}
	}
	e := Encoded{bytes: b, class: classOf(frame)}
	if len(b) > compressAbove {
		e.compressed = &compressed{}
	}
	return e
}

// wire returns the frame's form on a link that compresses, or does not.
func (e Encoded) wire(compress bool) wireFrame {
	if e.compressed != nil && compress {
		if short := e.compressed.form(e.bytes); short != nil {
			return wireFrame{uint32(len(short)) | compressedFlag, short}
		}
	}
	return wireFrame{uint32(len(e.bytes)), e.bytes}
}

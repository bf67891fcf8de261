package transport

// This file encodes frames. A frame is encoded once, however many links it is sent on.

import (
	"github.com/fxamacker/cbor/v2"
)

const (
	maxFrameBytes = 8 << 20 // of a frame, compressed or not; a peer that announces more is disconnected
	prefixBytes   = 4       // of the length before each frame
)

// wireFrame is a frame as it is written to the connection.
type wireFrame struct {
	prefix uint32 // the length of bytes, with compressedFlag where they are compressed
	bytes  []byte
}

// Encoded has a frame's encoded bytes and its traffic class, for sending the frame on many links.
type Encoded struct {
	bytes      []byte
	class      uint8
	compressed *compressed // nil: the frame is short
}

// Encode encodes a frame. The result is empty for a frame that can't be encoded, which is not sent.
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

// wire returns the frame's form on a link with or without compression.
func (e Encoded) wire(compress bool) wireFrame {
	if e.compressed != nil && compress {
		if short := e.compressed.form(e.bytes); short != nil {
			return wireFrame{uint32(len(short)) | compressedFlag, short}
		}
	}
	return wireFrame{uint32(len(e.bytes)), e.bytes}
}

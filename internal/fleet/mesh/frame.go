package mesh

// This file implements the frames of calls.

import (
	"encoding/binary"
	"io"

	"weirwind/internal/fleet/membership"
)

const maxFrame = 2 << 20 // bytes, without the length prefix

// frame is a call, or its answer.
type frame struct {
	Call     call                 `cbor:"1,keyasint"`
	Exchange *membership.Snapshot `cbor:"2,keyasint,omitempty"`
	Gossip   *Gossip              `cbor:"3,keyasint,omitempty"`
	Status   []byte               `cbor:"4,keyasint,omitempty"` // a membership.Status as JSON
	Nonce    uint64               `cbor:"5,keyasint"`           // of the call, repeated in its answer
	From     string               `cbor:"6,keyasint,omitempty"` // name of the requesting driver
	Payload  []byte               `cbor:"7,keyasint,omitempty"` // of a callRequest, or of its answer
}

// call is the kind of a call.
type call uint8

const (
	callExchangeState call = iota + 1 // exchanges full snapshots and gossip
	callGossip                        // exchanges gossip
	callStatus                        // returns the driver's view
	callRequest                       // delivers a payload of another package
)

// write sends a sealed frame, preceded by its length in four bytes, big-endian.
func (c codec) write(w io.Writer, f *frame) error {
	b, err := c.seal(f)
	if err != nil {
		return err
	}
	if len(b) > maxFrame {
		return errTooLong
	}
	framed := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)), uint32(len(b)))
	_, err = w.Write(append(framed, b...))
	return err
}

// read receives a frame.
func (c codec) read(r io.Reader) (*frame, error) {
	var length [4]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > maxFrame {
		return nil, errTooLong
	}
	b, err := io.ReadAll(io.LimitReader(r, int64(n))) // allocates only for bytes that were received
	if err != nil {
		return nil, err
	}
	if uint32(len(b)) < n {
		return nil, io.ErrUnexpectedEOF
	}
	f := &frame{}
	return f, c.open(b, f)
}

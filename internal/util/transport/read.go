package transport

// This file has a link's receiving half: the reader, which checks a frame's length before it allocates memory for it.

import (
	"encoding/binary"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// read calls onFrame for each frame until the link ends, and returns the reason. The link is closed when nothing was
// received for the time idle; 0 disables this.
func (l *Link[Frame]) read(idle time.Duration, onFrame func(*Frame)) error {
	defer l.Close()
	var head [prefixBytes]byte
	for {
		if idle > 0 {
			_ = l.conn.SetReadDeadline(time.Now().Add(idle)) // fails only on a closed connection, as the read then does
		}
		if _, err := io.ReadFull(l.conn, head[:]); err != nil {
			return err
		}
		payload, length, err := l.readPayload(binary.BigEndian.Uint32(head[:]))
		if err != nil {
			return err
		}
		frame := new(Frame)
		if err := cbor.Unmarshal(payload, frame); err != nil {
			return err
		}
		if l.counters != nil {
			l.counters.received[classOf(frame)].add(prefixBytes + length)
		}
		onFrame(frame)
	}
}

// readPayload reads and decompresses the bytes after a prefix. length is the length on the wire, which for a compressed
// frame is less than the payload's.
func (l *Link[Frame]) readPayload(prefix uint32) (payload []byte, length int, err error) {
	n := prefix &^ compressedFlag
	if n > maxFrameBytes {
		return nil, 0, ErrFrameTooLong
	}
	payload = make([]byte, n)
	if _, err := io.ReadFull(l.conn, payload); err != nil {
		return nil, 0, err
	}
	if prefix&compressedFlag != 0 {
		if payload, err = decompress(payload); err != nil {
			return nil, 0, err
		}
	}
	return payload, int(n), nil
}

package mesh

// This file owns the form of what goes between drivers: CBOR behind a code that only who has the secret can make. It
// must never take more than a bounded size, or anything whose code is wrong.

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"io"

	"github.com/fxamacker/cbor/v2"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/fleet/zones"
	"weirwind/internal/switchover"
)

const (
	maxDatagram       = 1400
	maxFrame          = 2 << 20
	authenticatorSize = 16
	version           = 1
)

// Errors of frames that can't be taken.
var (
	errAuthentication = errors.New("its code is wrong: another secret, or damaged")
	errTooLong        = errors.New("it is too long")
)

// frame is what goes over TCP: a call, and its answer.
type frame struct {
	Call     call                 `cbor:"1,keyasint"`
	Exchange *membership.Snapshot `cbor:"2,keyasint,omitempty"`
	Gossip   *Gossip              `cbor:"3,keyasint,omitempty"`
	Status   []byte               `cbor:"4,keyasint,omitempty"` // JSON
	Nonce    uint64               `cbor:"5,keyasint"`           // of the call; its answer bears it too
	From     string               `cbor:"6,keyasint,omitempty"` // name of who sends
	Payload  []byte               `cbor:"7,keyasint,omitempty"` // what another package has said to its like
}

// Gossip is what drivers tell each other of members: changes of primaries, and drains.
type Gossip struct {
	Switchovers []switchover.Notification `cbor:"1,keyasint,omitempty"`
	Drains      []membership.Drain        `cbor:"2,keyasint,omitempty"`
	From        string                    `cbor:"3,keyasint,omitempty"` // address at which who says this is asked
	Zones       *zones.Summary            `cbor:"4,keyasint,omitempty"`
}

type call uint8

const (
	callExchangeState call = iota + 1 // whole states, and gossip
	callGossip                        // gossip alone
	callStatus
	callRequest
)

var (
	encoder, _ = cbor.EncOptions{}.EncMode()
	decoder, _ = cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: 1 << 16,
		MaxMapPairs: 64,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
)

// codec seals and opens with one secret. way keeps what was sealed for one use from being taken for another.
type codec struct {
	key []byte
}

func newCodec(secret, way string) codec {
	h := hmac.New(sha256.New, []byte(secret))
	h.Write([]byte(way))
	return codec{h.Sum(nil)}
}

func (c codec) authenticate(payload []byte) []byte {
	h := hmac.New(sha256.New, c.key)
	h.Write([]byte{version})
	h.Write(payload)
	return h.Sum(nil)[:authenticatorSize]
}

func (c codec) seal(x any) ([]byte, error) {
	payload, err := encoder.Marshal(x)
	if err != nil {
		return nil, err
	}
	return append(c.authenticate(payload), payload...), nil
}

func (c codec) open(b []byte, into any) error {
	if len(b) < authenticatorSize || subtle.ConstantTimeCompare(b[:authenticatorSize],
		c.authenticate(b[authenticatorSize:])) != 1 {
		return errAuthentication
	}
	return decoder.Unmarshal(b[authenticatorSize:], into)
}

func (c codec) write(w io.Writer, f *frame) error {
	b, err := c.seal(f)
	if err == nil && len(b) > maxFrame {
		err = errTooLong
	}
	if err != nil {
		return err
	}
	_, err = w.Write(append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)), uint32(len(b))), b...))
	return err
}

func (c codec) read(r io.Reader) (*frame, error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxFrame {
		return nil, errTooLong
	}
	b, err := io.ReadAll(io.LimitReader(r, int64(n))) // grows with what really comes
	if err == nil && uint32(len(b)) < n {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	f := &frame{}
	return f, c.open(b, f)
}

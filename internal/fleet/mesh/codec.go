package mesh

// This file implements the encoding of datagrams and frames: CBOR preceded by an authentication code. It must never
// decode more than a bounded size, or anything with a wrong code.

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"errors"

	"github.com/fxamacker/cbor/v2"
)

const (
	authenticatorSize = 16 // bytes, of an HMAC-SHA256
	version           = 1  // of the encoding; covered by the authentication code
)

// Errors of datagrams and frames that are rejected.
var (
	errAuthentication = errors.New("its code is wrong: another secret, or damaged")
	errTooLong        = errors.New("it is too long")
)

var (
	encoder, _ = cbor.EncOptions{}.EncMode()
	decoder, _ = cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  8,
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      64,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
)

// codec seals and opens messages with a key derived from one secret.
type codec struct {
	key []byte
}

// newCodec derives a key for one use, so that a message sealed for one use cannot be replayed in another.
func newCodec(secret, use string) codec {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte(use))
	return codec{mac.Sum(nil)}
}

// authenticate returns the authentication code of a payload.
func (c codec) authenticate(payload []byte) []byte {
	mac := hmac.New(sha256.New, c.key)
	mac.Write([]byte{version})
	mac.Write(payload)
	return mac.Sum(nil)[:authenticatorSize]
}

// seal returns the encoding of a value preceded by its authentication code.
func (c codec) seal(value any) ([]byte, error) {
	payload, err := encoder.Marshal(value)
	if err != nil {
		return nil, err
	}
	return append(c.authenticate(payload), payload...), nil
}

// open verifies the authentication code of a sealed message and decodes it.
func (c codec) open(b []byte, into any) error {
	if len(b) < authenticatorSize {
		return errAuthentication
	}
	code, payload := b[:authenticatorSize], b[authenticatorSize:]
	if subtle.ConstantTimeCompare(code, c.authenticate(payload)) != 1 {
		return errAuthentication
	}
	return decoder.Unmarshal(payload, into)
}

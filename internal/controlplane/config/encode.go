package config

import "github.com/fxamacker/cbor/v2"

// deterministic encodes maps sorted by key, so that equal states have equal bytes on every machine and in every term.
var deterministic = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode()
	if err != nil {
		panic(err) // unreachable: the options are constants
	}
	return mode
}()

// Encode returns the state in the form in which it is replicated and stored.
func (s *State) Encode() ([]byte, error) { return deterministic.Marshal(s) }

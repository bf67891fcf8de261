package config

import "github.com/fxamacker/cbor/v2"

// deterministic encodes maps in the order of their keys, so that equal states are equal bytes at every machine and in
// every term.
var deterministic = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Encode gives the state as it is replicated and stored.
func (s *State) Encode() ([]byte, error) { return deterministic.Marshal(s) }

package durable

import (
	"encoding/hex"
	"errors"
	"testing"
)

// Recorded files of the first version: this build must write the same bytes and read them.
func TestRecordedFiles(t *testing.T) {
	const tag, generation, seq = "TEST", 7, 41
	const snapshotForm = "57574442000100015445535400000000000000070000000000000029000000000000002b" +
		"06b4f03b28b52ffd0400f500006401612073746174652074686174206973206b6570742c20015413041132396bb9bdeb75230e"
	state := []byte("a state that is kept, a state that is kept")
	for name, x := range map[string]struct{ got, want string }{
		"snapshot": {hex.EncodeToString(encodeSnapshot(tag, generation, seq, state)), snapshotForm},
		"log":      {hex.EncodeToString(encodeLogHeader(tag, generation, seq)), "575744420001000254455354000000000000000700000000000000290000000000000000a200fe40"},
		"frame":    {hex.EncodeToString(appendFrame(nil, 42, []byte("one record"))), "0000000a000000000000002a606a28426f6e65207265636f7264"},
	} {
		t.Run(name, func(t *testing.T) {
			if x.got != x.want {
				t.Errorf("%s, recorded %s", x.got, x.want)
			}
		})
	}
	recorded, err := hex.DecodeString(snapshotForm)
	if err != nil {
		t.Fatal(err)
	}
	if got, n, err := decodeSnapshot(tag, generation, recorded, 1<<20); err != nil || n != seq || string(got) != string(state) {
		t.Errorf("read as %q, %d, %v", got, n, err)
	}
	if _, _, err := decodeSnapshot("LRND", generation, recorded, 1<<20); !errors.Is(err, ErrTag) {
		t.Errorf("state with another tag: %v", err)
	}
}

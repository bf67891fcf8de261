package mesh

import (
	"bytes"
	"encoding/hex"
	"reflect"
	"testing"
)

// TestRecordedFrame checks that a sealed frame recorded from the first version is still written and read unchanged.
func TestRecordedFrame(t *testing.T) {
	const want = "0000003b675395a7e489c87c451549ecf1e682b0" +
		"a6010403a1036d31302e302e302e343a3739343604427b7d051b010203040506070806626e330743010203"
	f := &frame{Call: callRequest, Nonce: 0x0102030405060708, From: "n3", Payload: []byte{1, 2, 3}, Status: []byte("{}"),
		Gossip: &Gossip{From: "10.0.0.4:7946"}}
	c := newCodec("secret", "tcp")
	var b bytes.Buffer
	if err := c.write(&b, f); err != nil {
		t.Fatal(err)
	}
	if got := hex.EncodeToString(b.Bytes()); got != want {
		t.Errorf("%s, recorded as %s", got, want)
	}
	recorded, err := hex.DecodeString(want)
	if err != nil {
		t.Fatal(err)
	}
	if back, err := c.read(bytes.NewReader(recorded)); err != nil || !reflect.DeepEqual(back, f) {
		t.Errorf("read as %+v, %v", back, err)
	}
}

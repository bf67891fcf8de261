package queue

import (
	"encoding/json"
	"fmt"
	"testing"

	"weirwind/internal/session/sites"
	"weirwind/internal/standin/golden"
)

// One envelope of each kind, with the fields that it uses; the state and each kind of op among them.
func TestGoldenForms(t *testing.T) {
	msgs := []Msg{{7, "key", []byte("body"), 12.5}, {N: 8, Body: []byte("b")}}
	state := &State{"secret", 3, "a", 4, []string{"b", "c"}, 19, msgs, 8, []Msg{{N: 2, Body: []byte("in")}}, 2, 5,
		[]Msg{{N: 7, Key: "key"}}}
	ops := []Op{{OpPut, 0, &msgs[0]}, {OpAck, 7, nil}, {OpPublish, 0, &msgs[1]}, {OpConsume, 2, nil}, {OpAttach, 6, nil}}
	golden.CBOR(t, "testdata/envelopes.cbor", []golden.Case[Envelope]{
		golden.Of("attach", Envelope{Kind: Attach, Session: "s", Secret: "x", Seq: 1, Sock: 2, N: 3, Base: 4, New: true}),
		golden.Of("attached", Envelope{Kind: Attached, Session: "s", Epoch: 2, Site: 3, Seq: 4, Sock: 5, Home: "a",
			Copies: []string{"b"}, N: 6, Base: 7}),
		golden.Of("refused", Envelope{Kind: Refused, Session: "s", Sock: 5, Why: "not now"}),
		golden.Of("deliver", Envelope{Kind: Deliver, Session: "s", Epoch: 2, Site: 3, Sock: 5, Msgs: msgs}),
		golden.Of("ack", Envelope{Kind: Ack, Session: "s", Epoch: 2, Sock: 5, N: 9}),
		golden.Of("publish", Envelope{Kind: Publish, Session: "s", Epoch: 2, Sock: 5, Msgs: msgs[1:]}),
		golden.Of("publish ack", Envelope{Kind: PublishAck, Session: "s", Epoch: 2, Site: 3, Sock: 5, N: 9}),
		golden.Of("detach", Envelope{Kind: Detach, Session: "s", Sock: 5, Epoch: 2}),
		golden.Of("redirect", Envelope{Kind: Redirect, Session: "s", Sock: 5, Home: "b", Copies: []string{"a"}, Epoch: 3}),
		golden.Of("replicate", Envelope{Kind: Replicate, Session: "s", Epoch: 2, Site: 3, Base: 11, Log: ops}),
		golden.Of("replicate ack", Envelope{Kind: ReplicateAck, Session: "s", Epoch: 2, Site: 3, Base: 11}),
		golden.Of("snapshot", Envelope{Kind: Snapshot, Session: "s", Epoch: 2, Site: 3, State: state}),
		golden.Of("hand over", Envelope{Kind: HandOver, Session: "s", Epoch: 3, Site: 3}),
		golden.Of("hand over done", Envelope{Kind: HandOverDone, Session: "s", Epoch: 3, Site: 3, Home: "b"}),
		golden.Of("forget", Envelope{Kind: Forget, Session: "s", Epoch: 3, Site: 3}),
		golden.Of("find", Envelope{Kind: Find, Session: "s", Sock: 5}),
		golden.Of("defer", Envelope{Kind: Defer, Session: "s", Epoch: 3, Site: 3, New: true}),
		golden.Of("map", Envelope{Map: &sites.Map{Version: 2, Sites: map[string]sites.Site{"a": {Addr: "x", State: sites.In}}}}),
	})
}

// What operators are shown of a session.
func TestGoldenShown(t *testing.T) {
	o := newOrders()
	h := o.home()
	h.Put("s", "k", []byte("body"), o.now, func(int, uint64) {})
	o.flush()
	o.quiet()
	b, err := json.Marshal(h.Show("s"))
	if err != nil {
		t.Fatal(err)
	}
	none, err := json.Marshal(h.Show("none"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "testdata/shown.txt", []golden.Case[string]{golden.Of("shown", string(b)), golden.Of("none", string(none)),
		golden.Of("counts", fmt.Sprint(h.Homes(), h.Copied(), h.Bytes(), h.Expired))})
}

package queue

import (
	"encoding/json"
	"fmt"
	"testing"

	"weirwind/internal/session/sites"
	"weirwind/internal/standin/golden"
)

// Golden file with one envelope of each kind, with all fields that the kind uses, including a session's state and each
// kind of op.
func TestGoldenForms(t *testing.T) {
	messages := []Message{{7, "key", []byte("body"), 12.5}, {Number: 8, Body: []byte("b")}}
	state := &SessionState{"secret", 3, "a", 4, []string{"b", "c"}, 19, messages, 8, []Message{{Number: 2,
		Body: []byte("in")}}, 2, 5,
		[]Message{{Number: 7, Key: "key"}}}
	ops := []Op{{OpPut, 0, &messages[0]}, {OpAck, 7, nil}, {OpPublish, 0, &messages[1]}, {OpConsume, 2, nil}, {OpAttach, 6, nil}}
	golden.CBOR(t, "testdata/envelopes.cbor", []golden.Case[Envelope]{
		golden.Of("attach", Envelope{Kind: KindAttach, Session: "s", Secret: "x", Connection: 1, Socket: 2, Number: 3,
			Base: 4, New: true}),
		golden.Of("attached", Envelope{Kind: KindAttached, Session: "s", Epoch: 2, SiteEpoch: 3, Connection: 4, Socket: 5,
			Owner:    "a",
			Replicas: []string{"b"}, Number: 6, Base: 7}),
		golden.Of("refused", Envelope{Kind: KindRejected, Session: "s", Socket: 5, Reason: "not now"}),
		golden.Of("deliver", Envelope{Kind: KindDeliver, Session: "s", Epoch: 2, SiteEpoch: 3, Socket: 5, Messages: messages}),
		golden.Of("ack", Envelope{Kind: KindAck, Session: "s", Epoch: 2, Socket: 5, Number: 9}),
		golden.Of("publish", Envelope{Kind: KindPublish, Session: "s", Epoch: 2, Socket: 5, Messages: messages[1:]}),
		golden.Of("publish ack", Envelope{Kind: KindPublishAck, Session: "s", Epoch: 2, SiteEpoch: 3, Socket: 5, Number: 9}),
		golden.Of("detach", Envelope{Kind: KindDetach, Session: "s", Socket: 5, Epoch: 2}),
		golden.Of("redirect", Envelope{Kind: KindRedirect, Session: "s", Socket: 5, Owner: "b", Replicas: []string{"a"},
			Epoch: 3}),
		golden.Of("replicate", Envelope{Kind: KindReplicate, Session: "s", Epoch: 2, SiteEpoch: 3, Base: 11, Ops: ops}),
		golden.Of("replicate ack", Envelope{Kind: KindReplicateAck, Session: "s", Epoch: 2, SiteEpoch: 3, Base: 11}),
		golden.Of("snapshot", Envelope{Kind: KindSnapshot, Session: "s", Epoch: 2, SiteEpoch: 3, State: state}),
		golden.Of("hand over", Envelope{Kind: KindHandOver, Session: "s", Epoch: 3, SiteEpoch: 3}),
		golden.Of("hand over done", Envelope{Kind: KindHandOverDone, Session: "s", Epoch: 3, SiteEpoch: 3, Owner: "b"}),
		golden.Of("forget", Envelope{Kind: KindDiscard, Session: "s", Epoch: 3, SiteEpoch: 3}),
		golden.Of("find", Envelope{Kind: KindLocate, Session: "s", Socket: 5}),
		golden.Of("defer", Envelope{Kind: KindTakeOverRequest, Session: "s", Epoch: 3, SiteEpoch: 3, New: true}),
		golden.Of("map", Envelope{Map: &sites.Map{Version: 2, Sites: map[string]sites.Site{"a": {Addr: "x",
			State: sites.StateActive}}}}),
	})
}

// Golden file of a session's description for operators.
func TestGoldenSessionInfo(t *testing.T) {
	il := newInterleaving()
	owner := il.owner()
	owner.Enqueue("s", "k", []byte("body"), il.now, func(Status, uint64) {})
	il.flush()
	il.settle()
	info, err := json.Marshal(owner.Describe("s"))
	if err != nil {
		t.Fatal(err)
	}
	missing, err := json.Marshal(owner.Describe("none"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "testdata/shown.txt", []golden.Case[string]{golden.Of("shown", string(info)), golden.Of("none",
		string(missing)),
		golden.Of("counts", fmt.Sprint(owner.OwnedSessions(), owner.ReplicatedSessions(), owner.Bytes(), owner.ExpiredMessages))})
}

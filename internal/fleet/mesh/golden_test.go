package mesh

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"testing"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/fleet/zones"
	"weirwind/internal/standin/golden"
	"weirwind/internal/switchover"
)

func goldenFrames() []golden.Case[frame] {
	gossip := &Gossip{Switchovers: []switchover.Notification{{Group: 3, Epoch: 4, From: "m0", To: "m1"}},
		Drains: []membership.Drain{{Member: "m2", Source: 1, Revision: 5, Up: true}}, From: "10.0.0.1:7434",
		Zones: &zones.Summary{Epoch: 6, Sum: 7, Age: -1}}
	snapshot := &membership.Snapshot{From: record(1), Records: []membership.Record{record(2)},
		Roster: &membership.Roster{Version: 3, Names: []string{"a"}}}
	return []golden.Case[frame]{
		golden.Of("empty", frame{}),
		golden.Of("exchange", frame{Call: callExchangeState, Exchange: snapshot, Gossip: gossip, Nonce: 1 << 63}),
		golden.Of("gossip", frame{Call: callGossip, Gossip: gossip, Nonce: 2}),
		golden.Of("status", frame{Call: callStatus, Status: []byte(`{"self":"a"}`), Nonce: 3}),
		golden.Of("send", frame{Call: callRequest, From: "a", Payload: []byte{1, 2}, Nonce: 4}),
	}
}

// TestFrameForms compares the bytes of each kind of frame, as CBOR and sealed, with recorded ones.
func TestFrameForms(t *testing.T) {
	golden.CBOR(t, "testdata/frames.golden", goldenFrames())
	var sealed []golden.Case[string]
	for _, c := range goldenFrames() {
		var b bytes.Buffer
		if err := newCodec("s", "frame").write(&b, &c.Value); err != nil {
			t.Fatal(err)
		}
		sealed = append(sealed, golden.Of(c.Name, fmt.Sprintf("%x", b.Bytes())))
		if back, err := newCodec("s", "frame").read(&b); err != nil || !reflect.DeepEqual(*back, c.Value) {
			t.Errorf("%s: %+v %v", c.Name, back, err)
		}
	}
	datagram, err := newCodec("s", "datagram").seal(&membership.Message{Kind: membership.Ping, From: record(1), Counter: 3})
	if err != nil {
		t.Fatal(err)
	}
	sealed = append(sealed, golden.Of("datagram", fmt.Sprintf("%x", datagram)))
	golden.Text(t, "testdata/sealed.golden", sealed)
}

// TestCompareTexts compares the texts of differences between views and of errors with recorded ones.
func TestCompareTexts(t *testing.T) {
	driver := func(name string, s membership.State) membership.View {
		return membership.View{Name: name, State: s}
	}
	all := []DriverView{{Name: "a", Status: &membership.Status{Self: "a", Roster: &membership.Roster{Version: 3},
		Drivers: []membership.View{driver("a", membership.Alive), driver("b", membership.Alive)}}},
		{Name: "b", Status: &membership.Status{Self: "b",
			Drivers: []membership.View{driver("a", membership.Left), driver("b", membership.Alive)}}},
		{Name: "c", Error: errors.New("no answer").Error()}}
	golden.Text(t, "testdata/texts.golden", []golden.Case[string]{
		golden.Of("differences", fmt.Sprint(Differences(all))),
		golden.Of("errors", fmt.Sprint(errAuthentication, errTooLong))})
	golden.JSON(t, "testdata/compared.golden", []golden.Case[DriverView]{golden.Of("no answer", all[2])})
}

package mesh

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"weirwind/internal/fleet/membership"
)

func record(i int) membership.Record {
	return membership.Record{Name: fmt.Sprintf("driver-%04d.zone-a", i), Run: 1796000000000,
		Address: fmt.Sprintf("10.20.%d.%d:7434", i/250, i%250), Zone: "zone-a"}
}

// TestFrames: what one codec seals another opens, complete; another secret, another use or a changed byte is rejected.
func TestFrames(t *testing.T) {
	a, b := newCodec("s", "frame"), newCodec("s", "frame")
	x := &membership.Snapshot{From: record(0), Roster: &membership.Roster{Version: 3}}
	for i := range 10000 {
		x.Records = append(x.Records, record(i))
		x.Roster.Names = append(x.Roster.Names, record(i).Name)
	}
	var w bytes.Buffer
	if err := a.write(&w, &frame{Call: callExchangeState, Exchange: x, Nonce: 7}); err != nil {
		t.Fatal(err)
	}
	t.Logf("whole state of 10,000 drivers: %d bytes", w.Len())
	text := w.Bytes()
	f, err := b.read(bytes.NewReader(text))
	if err != nil || f.Nonce != 7 || len(f.Exchange.Records) != 10000 || f.Exchange.Records[9999] != record(9999) ||
		f.Exchange.Roster.Version != 3 {
		t.Fatal(err)
	}
	for name, c := range map[string]codec{"another secret": newCodec("t", "frame"),
		"another use": newCodec("s", "datagram")} {
		if _, err := c.read(bytes.NewReader(text)); err != errAuthentication {
			t.Errorf("%s: %v", name, err)
		}
	}
	text[len(text)/2] ^= 1
	if _, err := b.read(bytes.NewReader(text)); err != errAuthentication {
		t.Errorf("a changed byte: %v", err)
	}
	if _, err := b.read(bytes.NewReader(binary.BigEndian.AppendUint32(nil, maxFrame+1))); err != errTooLong {
		t.Errorf("too long: %v", err)
	}
	if _, err := b.read(bytes.NewReader(text[:100])); err == nil {
		t.Error("half a frame was taken")
	}
}

// TestDatagramsFit: the fullest message that the view makes goes into one datagram.
func TestDatagramsFit(t *testing.T) {
	f := membership.New(0, membership.Options{Period: 500, ExpectedDrivers: 1, MaxDrivers: 10000}, record(5000), nil, 1)
	x := membership.Snapshot{From: record(5001)}
	for i := range 2000 {
		x.Records = append(x.Records, record(i))
	}
	sends := f.Merge(1, x).Messages
	for at := 50.0; at < 3000; at += 50 {
		sends = append(sends, f.Tick(at).Messages...)
	}
	c, longest := newCodec("s", "datagram"), 0
	for i := range sends {
		b, err := c.seal(&sends[i].Message)
		if err != nil {
			t.Fatal(err)
		}
		longest = max(longest, len(b))
	}
	if longest > maxDatagram || longest < 800 {
		t.Errorf("the longest of %d has %d bytes", len(sends), longest)
	}
}

func open(t *testing.T, name string, seeds ...string) *Mesh {
	t.Helper()
	began := time.Now()
	m, err := Open(Options{Name: name, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Seeds: seeds, Secret: "s",
		Period: 50 * time.Millisecond, ExpectedDrivers: 2,
		TakeoverAfter: time.Second, Run: 5, Now: func() float64 {
			return 1e6 + milliseconds(time.Since(began))
		}, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// TestEndsWithSilentCallers: Run ends with its context, though a caller sends nothing and a seed never answers.
func TestEndsWithSilentCallers(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	m := open(t, "a", silent.Addr().String())
	ended := make(chan error)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { ended <- m.Run(ctx) }()
	c, err := net.Dial("tcp", m.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if got, err := silent.Accept(); err != nil {
		t.Fatal(err)
	} else {
		defer got.Close()
	}
	stop()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("it does not end")
	}
}

func FuzzDatagram(f *testing.F) {
	good, _ := encoder.Marshal(&membership.Message{Kind: membership.Ping, From: record(1), Counter: 3,
		Target: "driver-0000.zone-a", Records: []membership.Record{record(2)},
		Vote: &membership.Vote{Kind: membership.Accept, Version: 2,
			Change: &membership.Change{Version: 2, Add: []string{"x"}}}})
	f.Add(good)
	f.Fuzz(func(t *testing.T, payload []byte) {
		var m membership.Message
		if decoder.Unmarshal(payload, &m) != nil {
			return
		}
		v := membership.New(0, membership.Options{Period: 100, ExpectedDrivers: 1, MaxDrivers: 50}, record(0), nil, 1)
		for at := range 40 { // a peer may send anything; it must be endured
			v.Receive(float64(at*20), m)
			v.Tick(float64(at*20 + 5))
		}
		if n := len(v.Status().Drivers); n > 50 {
			t.Errorf("%d drivers", n)
		}
	})
}

func FuzzFrame(f *testing.F) {
	good, _ := encoder.Marshal(&frame{Call: callExchangeState,
		Exchange: &membership.Snapshot{From: record(1), Records: []membership.Record{record(2)},
			Roster: &membership.Roster{Version: 1, Names: []string{"a"}}}})
	f.Add(good)
	f.Fuzz(func(t *testing.T, payload []byte) {
		var x frame
		if decoder.Unmarshal(payload, &x) != nil || x.Exchange == nil {
			return
		}
		v := membership.New(0, membership.Options{Period: 100, ExpectedDrivers: 1, MaxDrivers: 50}, record(0), nil, 1)
		v.Merge(1, *x.Exchange)
		v.Tick(100)
		v.Status()
	})
}

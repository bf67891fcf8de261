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

// TestFrames checks that a sealed frame is opened unchanged, and rejected for another secret, another use or a changed
// byte.
func TestFrames(t *testing.T) {
	sealer, opener := newCodec("s", "frame"), newCodec("s", "frame")
	snapshot := &membership.Snapshot{From: record(0), Roster: &membership.Roster{Version: 3}}
	for i := range 10000 {
		snapshot.Records = append(snapshot.Records, record(i))
		snapshot.Roster.Names = append(snapshot.Roster.Names, record(i).Name)
	}
	var w bytes.Buffer
	if err := sealer.write(&w, &frame{Call: callExchangeState, Exchange: snapshot, Nonce: 7}); err != nil {
		t.Fatal(err)
	}
	t.Logf("snapshot of 10,000 drivers: %d bytes", w.Len())
	sealed := w.Bytes()
	f, err := opener.read(bytes.NewReader(sealed))
	if err != nil || f.Nonce != 7 || len(f.Exchange.Records) != 10000 || f.Exchange.Records[9999] != record(9999) ||
		f.Exchange.Roster.Version != 3 {
		t.Fatal(err)
	}
	for name, c := range map[string]codec{"another secret": newCodec("t", "frame"),
		"another use": newCodec("s", "datagram")} {
		if _, err := c.read(bytes.NewReader(sealed)); err != errAuthentication {
			t.Errorf("%s: %v", name, err)
		}
	}
	sealed[len(sealed)/2] ^= 1
	if _, err := opener.read(bytes.NewReader(sealed)); err != errAuthentication {
		t.Errorf("a changed byte: %v", err)
	}
	if _, err := opener.read(bytes.NewReader(binary.BigEndian.AppendUint32(nil, maxFrame+1))); err != errTooLong {
		t.Errorf("too long: %v", err)
	}
	if _, err := opener.read(bytes.NewReader(sealed[:100])); err == nil {
		t.Error("a truncated frame was accepted")
	}
}

// TestDatagramsFit checks that the largest message of a view fits into one datagram.
func TestDatagramsFit(t *testing.T) {
	f := membership.New(0, membership.Options{Period: 500, ExpectedDrivers: 1, MaxDrivers: 10000}, record(5000), nil, 1)
	snapshot := membership.Snapshot{From: record(5001)}
	for i := range 2000 {
		snapshot.Records = append(snapshot.Records, record(i))
	}
	sends := f.Merge(1, snapshot).Messages
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
		t.Errorf("the longest of %d datagrams has %d bytes", len(sends), longest)
	}
}

func open(t *testing.T, name string, seeds ...string) *Mesh {
	t.Helper()
	start := time.Now()
	m, err := Open(Options{Name: name, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Seeds: seeds, Secret: "s",
		Period: 50 * time.Millisecond, ExpectedDrivers: 2,
		TakeoverAfter: time.Second, Run: 5, Now: func() float64 {
			return 1e6 + milliseconds(time.Since(start))
		}, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// TestRunEndsWithSilentPeers checks that Run ends with its context although a caller sends nothing and a seed never
// answers.
func TestRunEndsWithSilentPeers(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	m := open(t, "a", silent.Addr().String())
	runResult := make(chan error)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { runResult <- m.Run(ctx) }()
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
	case err := <-runResult:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("Run does not end")
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
		view := membership.New(0, membership.Options{Period: 100, ExpectedDrivers: 1, MaxDrivers: 50}, record(0), nil, 1)
		for at := range 40 { // the view must tolerate any message
			view.Receive(float64(at*20), m)
			view.Tick(float64(at*20 + 5))
		}
		if n := len(view.Status().Drivers); n > 50 {
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
		view := membership.New(0, membership.Options{Period: 100, ExpectedDrivers: 1, MaxDrivers: 50}, record(0), nil, 1)
		view.Merge(1, *x.Exchange)
		view.Tick(100)
		view.Status()
	})
}

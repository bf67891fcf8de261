package loopback

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"
)

// A block that is reserved can't be reserved again, and its addresses can be listened at.
func TestBlockIsOneOwners(t *testing.T) {
	b, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	guard := b.guard.Addr().String()
	if _, err := net.Listen("tcp4", guard); err == nil {
		t.Error("the block could be reserved a second time")
	}
	server, err := net.Listen("tcp4", b.Address(MaxHost, 0))
	if err != nil {
		t.Fatal(err)
	}
	server.Close()
	if host, ok := b.HostOf(netip.MustParseAddr(b.IP(7))); !ok || host != 7 {
		t.Error(host, ok)
	}
	if _, ok := b.HostOf(netip.MustParseAddr("127.0.0.7")); ok {
		t.Error("another block's address is taken for one of this block")
	}
	if err := b.Close(); err != nil {
		t.Error(err)
	}
	again, err := net.Listen("tcp4", guard)
	if err != nil {
		t.Fatal("a block that was given up can't be reserved:", err)
	}
	again.Close()
}

// Of two that want the only turn, the second has it once the first has ended, and not before.
func TestTurnsAreBounded(t *testing.T) {
	const turns = 40 // beyond those of other tests on this machine
	var held []*Turn
	ctx, stop := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer stop()
	for {
		turn, err := WaitTurn(ctx, turns)
		if err != nil {
			break
		}
		defer turn.End()
		held = append(held, turn)
	}
	if len(held) == 0 || len(held) > turns {
		t.Fatalf("%d turns of %d", len(held), turns)
	}
	next := make(chan *Turn)
	go func() {
		turn, err := WaitTurn(context.Background(), turns)
		if err != nil {
			t.Error(err)
		}
		next <- turn
	}()
	held[0].End()
	(<-next).End()
}

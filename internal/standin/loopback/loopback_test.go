package loopback

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"
)

// A block that is reserved can't be reserved again, and its addresses can be listened at.
func TestBlockIsExclusive(t *testing.T) {
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
func TestSlotsAreBounded(t *testing.T) {
	const slots = 40 // beyond those of other tests on this machine
	var acquired []*Slot
	ctx, stop := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer stop()
	for {
		slot, err := AcquireSlot(ctx, slots)
		if err != nil {
			break
		}
		defer slot.Release()
		acquired = append(acquired, slot)
	}
	if len(acquired) == 0 || len(acquired) > slots {
		t.Fatalf("%d turns of %d", len(acquired), slots)
	}
	next := make(chan *Slot)
	go func() {
		slot, err := AcquireSlot(context.Background(), slots)
		if err != nil {
			t.Error(err)
		}
		next <- slot
	}()
	acquired[0].Release()
	(<-next).Release()
}

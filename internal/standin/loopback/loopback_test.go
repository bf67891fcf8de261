package loopback

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"
)

// A reserved block can't be reserved again until it is closed, and its addresses can be listened at.
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
		t.Error("HostOf accepted an address of another block")
	}
	if err := b.Close(); err != nil {
		t.Error(err)
	}
	again, err := net.Listen("tcp4", guard)
	if err != nil {
		t.Fatal("a closed block can't be reserved:", err)
	}
	again.Close()
}

// No more than the given number of slots can be acquired, and a waiting caller gets a slot once one is released.
func TestSlotsAreBounded(t *testing.T) {
	const slots = 40 // more than the slots that other tests on this machine use
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
		t.Fatalf("acquired %d slots of %d", len(acquired), slots)
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

package loopback

// This file has slots, which limit how many things run at the same time on this machine, across processes.

import (
	"context"
	"fmt"
	"net"
	"time"
)

const (
	slotHost         = "127.255.0.1" // host of the ports at which slots' owners listen; it is in no block
	slotPort         = 20000         // port of the first slot
	slotPollInterval = 50 * time.Millisecond
)

// Slot is one of the machine's slots. The end of its process releases it, if Release does not.
type Slot struct{ guard net.Listener }

// AcquireSlot waits for one of n slots of this machine. Tests with processes that renew leases in real time acquire
// one, as with too many of them at the same time no lease is renewed in time: they wait for a slot instead of
// competing for processors.
func AcquireSlot(ctx context.Context, n int) (*Slot, error) {
	tick := time.NewTicker(slotPollInterval)
	defer tick.Stop()
	for {
		for i := range n {
			if guard, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", slotHost, slotPort+i)); err == nil {
				return &Slot{guard}, nil
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil, fmt.Errorf("no free slot of %d: %w", n, ctx.Err())
		}
	}
}

// Release releases the slot.
func (s *Slot) Release() { _ = s.guard.Close() } // it accepts no connections

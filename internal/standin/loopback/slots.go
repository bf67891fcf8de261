package loopback

// This file owns turns: a bound on what runs at a time on this machine, whichever process runs it.

import (
	"context"
	"fmt"
	"net"
	"time"
)

const (
	slotHost         = "127.255.0.1" // of the ports that turns listen at; blocks have other hosts
	slotPort         = 20000         // of the first turn
	slotPollInterval = 50 * time.Millisecond
)

// Turn is one of the machine's turns. It ends with its process, if not before.
type Slot struct{ guard net.Listener }

// WaitTurn waits for one of n turns of this machine. Tests with processes that renew leases in real time take one, as
// beside too many others no lease is renewed in time: they wait for their turn, not for each other's processor.
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
			return nil, fmt.Errorf("no turn of %d: %w", n, ctx.Err())
		}
	}
}

// End gives the turn to the next one that waits.
func (s *Slot) Release() { _ = s.guard.Close() } // a listener that nobody accepts at

package driver

import (
	"testing"
	"time"
)

// A client with a lower rank is evicted first; among equal ranks, the client that has been idle for longer.
func TestEvictionOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	idle := func(finished int, ago time.Duration) *client {
		return &client{finishedMessages: finished, changedAt: now.Add(-ago)}
	}
	for _, c := range []struct {
		name          string
		client, other *client
		want          bool
	}{
		{"any client before nil", idle(9, 0), nil, true},
		{"a client that sent nothing before one with a startup", idle(0, time.Second), idle(1, time.Hour), true},
		{"a client with a startup not before one that sent nothing", idle(1, time.Hour), idle(0, time.Second), false},
		{"a startup and one op before several ops", idle(2, time.Second), idle(3, time.Hour), true},
		{"a startup and one op rank like a startup alone", idle(2, time.Second), idle(1, time.Hour), false},
		{"among clients with several ops the longest idle", idle(3, time.Hour), idle(9, time.Second), true},
		{"not the most recently active", idle(9, time.Second), idle(3, time.Hour), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.client.evictedBefore(c.other); got != c.want {
				t.Errorf("evicted before: %v", got)
			}
		})
	}
}

// A client with an open op is never evicted, one that has sent nothing soon, an idle one later.
func TestIdleLimits(t *testing.T) {
	for _, c := range []struct {
		open, finished int
		want           time.Duration
	}{{1, 0, 0}, {1, 5, 0}, {0, 0, silentEvictAfter}, {0, 1, idleEvictAfter}, {0, 9, idleEvictAfter}} {
		if got := (&client{openMessages: c.open, finishedMessages: c.finished}).idleLimit(); got != c.want {
			t.Errorf("%d open, %d finished: %v, want %v", c.open, c.finished, got, c.want)
		}
	}
}

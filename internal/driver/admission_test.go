package driver

import (
	"testing"
	"time"
)

// Of two clients that may be evicted the less useful one goes first, and of two alike the one unchanged for longer.
func TestWhoIsEvictedFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	idle := func(finished int, ago time.Duration) *client {
		return &client{finishedMessages: finished, changedAt: now.Add(-ago)}
	}
	for _, c := range []struct {
		name          string
		client, other *client
		want          bool
	}{
		{"any before none", idle(9, 0), nil, true},
		{"a silent one before one with a startup", idle(0, time.Second), idle(1, time.Hour), true},
		{"not the other way round", idle(1, time.Hour), idle(0, time.Second), false},
		{"a startup and one op before more", idle(2, time.Second), idle(3, time.Hour), true},
		{"a startup is like a startup and one op", idle(2, time.Second), idle(1, time.Hour), false},
		{"of many ops the longest idle", idle(3, time.Hour), idle(9, time.Second), true},
		{"not the one that was busy just now", idle(9, time.Second), idle(3, time.Hour), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.client.goesBefore(c.other); got != c.want {
				t.Errorf("goes before: %v", got)
			}
		})
	}
}

// A client with an op open is never evicted, a silent one soon, an idle one later.
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

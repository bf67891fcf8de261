package driver

import (
	"log/slog"
	"testing"
)

// Lines that can't be written in time are dropped and counted; who logs never waits.
func TestLogNeverBlocks(t *testing.T) {
	var c counters
	l, q := newLog("text", slog.LevelInfo, &c.LogLost)
	for range cap(q.lines) + 5 {
		l.Info("x")
	}
	if c.LogLost.Load() != 5 {
		t.Errorf("%d lines lost", c.LogLost.Load())
	}
}

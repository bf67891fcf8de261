package driver

import (
	"log/slog"
	"testing"
)

// Lines for which the queue has no room are dropped and counted; logging never blocks.
func TestLogNeverBlocks(t *testing.T) {
	var c counters
	logger, queue := newLogger("text", slog.LevelInfo, &c.LogLost)
	for range cap(queue.lines) + 5 {
		logger.Info("x")
	}
	if c.LogLost.Load() != 5 {
		t.Errorf("%d lines lost", c.LogLost.Load())
	}
}

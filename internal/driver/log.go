package driver

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
)

const logQueueLines = 4096

// logQueue is a writer that never blocks: it passes lines on to a slower one, and drops and counts those that can't be
// written in time.
type logQueue struct {
	lines chan []byte
	lost  *atomic.Int64
}

// newLog makes the log and the queue that its lines go through. The format is "text", as name=value, or "json".
func newLog(format string, level slog.Leveler, lost *atomic.Int64) (*slog.Logger, *logQueue) {
	q := &logQueue{make(chan []byte, logQueueLines), lost}
	o := &slog.HandlerOptions{Level: level, ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if a.Key == slog.MessageKey && len(groups) == 0 {
			a.Key = "event"
		}
		return a
	}}
	if format == "json" {
		return slog.New(slog.NewJSONHandler(q, o)), q
	}
	return slog.New(slog.NewTextHandler(q, o)), q
}

// Write queues a line. It never fails.
func (q *logQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.lost.Add(1)
	}
	return len(line), nil
}

// writeTo writes lines until the context ends, then those that are left.
func (q *logQueue) writeTo(ctx context.Context, to io.Writer) {
	for {
		select {
		case line := <-q.lines:
			_, _ = to.Write(line) // there is no other place to say that the log fails
		case <-ctx.Done():
			q.writeRest(to)
			return
		}
	}
}

func (q *logQueue) writeRest(to io.Writer) {
	for {
		select {
		case line := <-q.lines:
			_, _ = to.Write(line) // likewise
		default:
			return
		}
	}
}

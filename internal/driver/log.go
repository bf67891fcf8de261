package driver

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
)

const logQueueLines = 4096

// logQueue is a writer that never blocks: it queues lines for a slower writer, and drops and counts lines for which the
// queue has no room.
type logQueue struct {
	lines chan []byte
	lost  *atomic.Int64
}

// newLogger returns a logger and the queue that its lines go through. The format is "text", as name=value, or "json".
func newLogger(format string, level slog.Leveler, lost *atomic.Int64) (*slog.Logger, *logQueue) {
	q := &logQueue{make(chan []byte, logQueueLines), lost}
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if a.Key == slog.MessageKey && len(groups) == 0 {
			a.Key = "event"
		}
		return a
	}}
	if format == "json" {
		return slog.New(slog.NewJSONHandler(q, options)), q
	}
	return slog.New(slog.NewTextHandler(q, options)), q
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

// writeTo writes lines until the context ends, then the remaining ones.
func (q *logQueue) writeTo(ctx context.Context, to io.Writer) {
	for {
		select {
		case line := <-q.lines:
			_, _ = to.Write(line) // a failure of the log can't be reported anywhere else
		case <-ctx.Done():
			q.writeRemaining(to)
			return
		}
	}
}

func (q *logQueue) writeRemaining(to io.Writer) {
	for {
		select {
		case line := <-q.lines:
			_, _ = to.Write(line) // as above
		default:
			return
		}
	}
}

package driver

// This file owns the counters of what the driver takes in, sends and answers, and the log's way out. It must
// never block those who count or log: lines that can't be written in time are dropped and counted.

import (
	"context"
	"io"
	"log/slog"
	"reflect"
	"strings"
	"sync/atomic"
)

// counters are added to from everywhere. Their names in the log are those of the fields.
type counters struct {
	Clients, ClientsTurnedAway, ClientsOpen            atomic.Int64
	Ops, Acked, BusyReplied, Errored, Left, BadInput   atomic.Int64
	Sends, Dials, Reused, IdleClosed, Broken, Open     atomic.Int64
	Missed, Faulted, Full, NoConnection, Reset         atomic.Int64
	TimedOut, Cancelled, Unsent, Probes                atomic.Int64
	MessagesIn, MessagesOut, MessagesBad, MessagesLost atomic.Int64
	Lists, ListsFailed, Reloads, ReloadsFailed         atomic.Int64
	Registries, RegistriesFailed                       atomic.Int64
	StateSaves, StateBytes, StateFailed                atomic.Int64
	LogLost                                            atomic.Int64
}

// attrs are the counters for a line of the log.
func (c *counters) attrs() (attrs []any) {
	v := reflect.ValueOf(c).Elem()
	for i := range v.NumField() {
		n := v.Field(i).Addr().Interface().(*atomic.Int64).Load()
		attrs = append(attrs, slog.Int64(strings.ToLower(v.Type().Field(i).Name), n))
	}
	return attrs
}

// queue is a writer that hands lines on to a slower one.
type logQueue struct {
	lines chan []byte
	lost  *atomic.Int64
}

// newLog makes the log and the queue that its lines go through. The form is "text", in parts name=value, or "json".
func newLog(format string, level slog.Leveler, lost *atomic.Int64) (*slog.Logger, *logQueue) {
	q := &logQueue{make(chan []byte, 4096), lost}
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

func (q *logQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.lost.Add(1)
	}
	return len(line), nil
}

// run writes lines until the context ends, then what is left.
func (q *logQueue) writeTo(ctx context.Context, to io.Writer) {
	for {
		select {
		case line := <-q.lines:
			_, _ = to.Write(line) // there is no other place to say that the log fails
		case <-ctx.Done():
			for {
				select {
				case line := <-q.lines:
					_, _ = to.Write(line) // there is no other place to say that the log fails
				default:
					return
				}
			}
		}
	}
}

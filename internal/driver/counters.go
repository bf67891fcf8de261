package driver

// This file owns the counters of what the driver takes in, sends and answers, and the log's way out. It must
// never block those who count or log: lines that can't be written in time are dropped and counted.

import (
	"context"
	"fmt"
	"io"
	"log"
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
	LogLost                                            atomic.Int64
}

func (c *counters) String() string {
	var b strings.Builder
	v := reflect.ValueOf(c).Elem()
	for i := range v.NumField() {
		n := v.Field(i).Addr().Interface().(*atomic.Int64).Load()
		fmt.Fprintf(&b, " %s=%d", strings.ToLower(v.Type().Field(i).Name), n)
	}
	return b.String()
}

// queue is a writer that hands lines on to a slower one.
type queue struct {
	lines chan []byte
	lost  *atomic.Int64
}

func newLog(lost *atomic.Int64) (*log.Logger, *queue) {
	q := &queue{make(chan []byte, 4096), lost}
	return log.New(q, "", log.LstdFlags|log.Lmicroseconds|log.LUTC), q
}

func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.lost.Add(1)
	}
	return len(line), nil
}

// run writes lines until the context ends, then what is left.
func (q *queue) run(ctx context.Context, to io.Writer) {
	for {
		select {
		case line := <-q.lines:
			to.Write(line)
		case <-ctx.Done():
			for {
				select {
				case line := <-q.lines:
					to.Write(line)
				default:
					return
				}
			}
		}
	}
}

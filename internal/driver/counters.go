package driver

import (
	"log/slog"
	"reflect"
	"strings"
	"sync/atomic"

	"weirwind/logic"
)

// counters are the counters in the log. The names and the order of the fields appear in the log, so renaming a field
// changes what operators read.
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

// attrs returns the counters as attributes of a log line.
func (c *counters) attrs() (attrs []any) {
	v := reflect.ValueOf(c).Elem()
	for i := range v.NumField() {
		n := v.Field(i).Addr().Interface().(*atomic.Int64).Load()
		attrs = append(attrs, slog.Int64(strings.ToLower(v.Type().Field(i).Name), n))
	}
	return attrs
}

// forOutcome returns the counter of an outcome, or nil for OK, which has none.
func (c *counters) forOutcome(outcome logic.Outcome) *atomic.Int64 {
	return [...]*atomic.Int64{
		logic.OK:            nil,
		logic.Miss:          &c.Missed,
		logic.Full:          &c.Full,
		logic.ConnectFailed: &c.NoConnection,
		logic.Moot:          &c.Unsent,
		logic.Fault:         &c.Faulted,
		logic.TimedOut:      &c.TimedOut,
		logic.Reset:         &c.Reset,
		logic.Cancelled:     &c.Cancelled,
	}[outcome]
}

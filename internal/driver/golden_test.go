package driver

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"weirwind/internal/pgwire"
	"weirwind/internal/standin/golden"
)

// The replies that clients get in place of an answer are recorded byte for byte.
func TestRecordedReplies(t *testing.T) {
	golden.Text(t, "testdata/refusals.golden", []golden.Case[string]{
		golden.Of("unsupported", string(unsupportedAnswer)), golden.Of("bad token", string(invalidKey)),
		golden.Of("another statement's", string(keyConflict)), golden.Of("done", string(answerLost)),
		golden.Of("in doubt", string(outcomeInDoubt)), golden.Of("repeated", string(duplicateID)),
		golden.Of("failed", string(opFailed)), golden.Of("busy", string(busyAnswer(0))), golden.Of("busy with advice", string(busyAnswer(12.6))),
		golden.Of("ledger's form", string(canonicalStatement(&pgwire.Statement{OpType: []byte("w"), Group: 7, Text: []byte("insert /* a */ b /* c */")}))),
	})
}

// The log's counters in their order, and a line in both formats.
func TestRecordedLog(t *testing.T) {
	var c counters
	c.Sends.Add(3)
	var names []string
	for _, a := range c.attrs() {
		names = append(names, a.(slog.Attr).String())
	}
	texts := []golden.Case[string]{golden.Of("counters", strings.Join(names, " "))}
	for _, format := range []string{"text", "json"} {
		logger, queue := newLogger(format, slog.LevelInfo, &c.LogLost)
		logger.Info("decided", "text", "a b", "ops", 1)
		line := string(<-queue.lines)
		texts = append(texts, golden.Of(format, line[strings.Index(line, "level"):]))
	}
	golden.Text(t, "testdata/log.golden", texts)
}

// A driver's entry in the registry, which drivers of other versions read.
func TestRecordedAnnouncement(t *testing.T) {
	b, err := json.Marshal(announcement{HostPort: "127.0.0.1:1", Locality: "a<b", Phase: "up", UpSinceMs: 1767225600000})
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"cell":0,"host_port":"127.0.0.1:1","locality":"a\u003cb","phase":"up","up_since_ms":1767225600000}`; string(b) != want {
		t.Errorf("%s, not %s", b, want)
	}
}

// The errors that operators get for an invalid configuration.
func TestRecordedConfigurationErrors(t *testing.T) {
	settings := `"settings":{"policy_limits":{"connect_timeout":1,"conn_idle":1}}`
	var texts []golden.Case[string]
	for _, c := range []struct{ name, text string }{
		{"no JSON", `{`}, {"type of limits", `{"limits":{"cores":"x"}}`}, {"type of a name", `{"peer_listen":1}`}, {"type", `{"name":1}`},
		{"seed", `{"seed":"x"}`}, {"settings", `{"seed":"1","settings":{"index":"x"}}`}, {"timeouts", `{"seed":"1","settings":{}}`},
		{"known", `{"seed":"1",` + settings + `,"known":{"members":1}}`},
		{"listen", `{"seed":"1",` + settings + `,"known":{"revision":1,"complete":true,"members":[]}}`},
		{"discovery", `{"seed":"1",` + settings + `,"known":{"revision":1,"complete":true,"members":[]},"listen":"a"}`},
		{"limits", `{"seed":"1",` + settings + `,"known":{"revision":1,"complete":true,"members":[]},"listen":"a","discovery":"a:1"}`},
	} {
		texts = append(texts, golden.Of(c.name, fmt.Sprint(Check([]byte(c.text)))))
	}
	golden.Text(t, "testdata/configuration.golden", texts)
}

// The reasons for closed connections in the log, which operators and their tools read.
func TestRecordedCloseReasons(t *testing.T) {
	for reason, text := range map[clientClose]string{
		clientOpen: "", clientClosed: "left", clientTerminated: "terminate", clientNoStartup: "no_startup",
		clientCancelRequest: "cancel_request", clientFramingError: "framing", clientNoQuery: "silent",
		clientIncompleteMessage: "unfinished", clientWriteFailed: "write", clientEvicted: "made_room",
		clientRejected: "too_many", clientShutdown: "shutdown",
	} {
		if string(reason) != text {
			t.Errorf("%q, not %q", reason, text)
		}
	}
	for reason, text := range map[memberClose]string{
		memberIdleTimeout: "idle", memberEvicted: "spared", memberAddressChanged: "moved", memberRemoved: "removed",
		memberStale:  "stale",
		memberBroken: "broken", memberNoConnection: "no_connection", memberStartupFailed: "no_welcome",
		memberRejected: "turned_away", memberWriteFailed: "cut", memberCancelled: "cancelled", memberTimedOut: "timed_out",
		memberMalformed: "garbled", memberReset: "reset", memberClosedAfterAnswer: "ended",
	} {
		if string(reason) != text {
			t.Errorf("%q, not %q", reason, text)
		}
	}
}

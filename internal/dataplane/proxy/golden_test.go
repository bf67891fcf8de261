package proxy

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/shard/shardmap"
)

var update = flag.Bool("update", false, "write the golden files from what the proxy does now")

// goldenCase is one client's talk.
type goldenCase struct {
	name, host string
	play       func(x *transcript)
}

// What a client is answered to each kind of message, and what its members were sent, byte for byte.
func TestGoldenTranscripts(t *testing.T) {
	var b strings.Builder
	for _, c := range goldenCases() {
		fmt.Fprintf(&b, "== %s\n%s\n", c.name, in(t, c.host, c.play))
	}
	golden(t, "transcripts.golden", b.String())
}

func goldenCases() []goldenCase {
	script := func(pairs ...string) map[string][]string {
		out := map[string][]string{}
		for i := 0; i < len(pairs); i += 2 {
			out[pairs[i]] = append(out[pairs[i]], pairs[i+1])
		}
		return out
	}
	many := func(format string, n int) (out []string) {
		for i := range n {
			out = append(out, fmt.Sprintf(format, i))
		}
		return out
	}
	lines := func(all ...string) func(x *transcript) {
		return func(x *transcript) {
			for _, l := range all {
				x.say(l)
			}
		}
	}
	empty := func(x *transcript) { x.role("a", directory.RoleReplica) }
	then := func(steps ...func(x *transcript)) func(x *transcript) {
		return func(x *transcript) {
			for _, s := range steps {
				s(x)
			}
		}
	}
	return []goldenCase{
		{"attach to none", "", lines("ATTACH nowhere who")},
		{"attach without a name", "", lines("ATTACH db")},
		{"no attach", "", lines("QUERY q1 FETCH x")},
		{"too long", "db", lines("QUERY q1 STORE x " + strings.Repeat("y", 1<<20))},
		{"no message", "db", lines("HELLO there")},
		{"no text", "db", lines("QUERY q1")},
		{"control byte", "db", lines("QUERY q1 FETCH \x01")},
		{"bye", "db", lines("BYE")},
		{"bad texts", "db", queries(nil, "DROP x", "FETCH", "COMMIT", "ABORT", "BEGIN ", "UNPREP p", "EXEC p x")},
		{"own id", "db", lines("QUERY - FETCH x")},
		{"values", "db", queries(nil, append(many("SET v%d 1", 257), "SET v0 2")...)},
		{"prepared", "db", queries(nil, append(many("PREP p%d FETCH q", 257), "EXEC p3 x", "UNPREP p3", "EXEC p3 x")...)},
		{"usual", "db", queries(nil, "SET z 1", "FETCH x", "STORE x 1", "PREP p STORE q", "EXEC p x", "SET z 2", "FETCH x")},
		{"transaction", "db", queries(nil, "BEGIN", "BEGIN", "FETCH x", "STORE x 1", "SET a b", "FETCH y",
			"COMMIT", "COMMIT", "BEGIN", "ABORT",
			"BEGIN", "COMMIT", "BEGIN", "STORE x 1", "ABORT", "FETCH x")},
		{"reading transaction", "db", queries(nil, "BEGIN FETCH", "FETCH x", "COMMIT", "STORE x 1",
			"BEGIN FETCH", "FETCH x", "ABORT")},
		{"stale", "old", queries(nil, "FETCH x", "STORE x 1", "FETCH x", "BEGIN FETCH", "FETCH x", "COMMIT", "FETCH x")},
		{"own commits", "own", queries(nil, "STORE x 1", "FETCH x", "FETCH x", "BEGIN", "STORE x 2", "COMMIT",
			"BEGIN FETCH", "FETCH x", "COMMIT")},
		{"shard", "part", queries(nil, "STORE x 1", "FETCH x", "BEGIN", "STORE x 2", "COMMIT", "BEGIN FETCH",
			"FETCH x", "COMMIT")},
		{"codes to a read", "db", queries(script("FETCH a", "FAIL FAILED x", "FETCH b", "FAIL TIMEOUT",
			"FETCH c", "FAIL RETRY", "FETCH d", "FAIL RDONLY",
			"FETCH e", "FAIL OTHER of a kind"), "FETCH a", "FETCH b", "FETCH c", "FETCH e", "FETCH d")},
		{"codes to a stale read", "old", queries(script("FETCH a", "FAIL FAILED x", "FETCH b", "FAIL TIMEOUT",
			"FETCH c", "FAIL FULL", "FETCH d", "FAIL LAGGING",
			"FETCH e", cutOff), "STORE x 1", "FETCH a", "FETCH b", "FETCH c", "FETCH d", "FETCH e")},
		{"codes to a write", "db", queries(script("STORE a 1", "FAIL FAILED x", "STORE b 1", "FAIL TIMEOUT",
			"STORE c 1", "FAIL RETRY", "STORE d 1", "FAIL WRONGHOST",
			"STORE e 1", "FAIL OTHER of a kind", "STORE f 1", cutOff, "STORE g 1", "FAIL RDONLY"), "STORE a 1",
			"STORE b 1", "STORE c 1", "STORE d 1", "STORE e 1", "STORE f 1", "STORE g 1")},
		{"refused again and again", "db", queries(map[string][]string{"STORE a 1": {"FAIL RETRY", "FAIL FULL",
			"FAIL RETRY", "FAIL RETRY"}}, "STORE a 1")},
		{"failed transaction", "db", queries(script("STORE a 1", cutOff), "BEGIN", "STORE a 1", "STORE a 1",
			"COMMIT", "BEGIN", "STORE b 1", "ABORT")},
		{"failed transaction aborted", "db", queries(script("STORE a 1", cutOff), "BEGIN", "STORE a 1", "ABORT", "FETCH a")},
		{"lost commit", "db", queries(script("COMMIT", cutOff), "BEGIN", "STORE a 1", "COMMIT", "FETCH a")},
		{"lost commit of reads", "db", queries(script("COMMIT", cutOff), "BEGIN", "FETCH a", "COMMIT", "FETCH a")},
		{"failed commit", "db", queries(script("COMMIT", "FAIL FAILED x"), "BEGIN", "STORE a 1", "COMMIT", "FETCH a")},
		{"late", "db", queries(script("STORE a 1", "late", "FETCH a", "late"), "STORE a 1", "FETCH a")},
		{"moved", "part", queries(script("ON sh 8 STORE a 1", "FAIL MOVED 7"), "STORE a 1", "STORE a 1")},
		{"moved on", "part", queries(script("ON sh 8 STORE a 1", "FAIL MOVED 9"), "STORE a 1", "STORE a 1")},
		{"moved transaction", "part", queries(script("ON sh 8 BEGIN", "FAIL MOVED 9"), "BEGIN", "STORE a 1", "COMMIT")},
		{"settled", "part", queries(script("ON sh 8 STORE a 1", cutOff, "ON sh 8 STORE b 1", cutOff,
			"SHARD SETTLE sh 8 q2", "FAIL VOID", "ON sh 8 STORE c 1", cutOff,
			"SHARD SETTLE sh 8 q3", "FAIL STATE"), "STORE a 1", "STORE b 1", "STORE c 1")},
		{"settled commit", "part", queries(script("COMMIT", cutOff), "BEGIN", "STORE a 1", "COMMIT")},
		{"shard refusals", "part", queries(script("ON sh 8 STORE a 1", "FAIL NOROOM", "ON sh 8 STORE b 1",
			"FAIL VOID", "ON sh 8 STORE c 1", "FAIL STATE",
			"ON sh 8 STORE d 1", "FAIL OLD"), "STORE a 1", "STORE b 1", "STORE c 1", "STORE d 1")},
		{"no primary", "db", then(empty, queries(nil, "STORE a 1", "FETCH a", "BEGIN", "STORE a 1", "COMMIT"))},
		{"held write", "db", then(empty, func(x *transcript) {
			time.AfterFunc(300*time.Millisecond, func() { x.role("b", directory.RolePrimary) })
		}, queries(nil, "STORE a 1", "FETCH a"))},
		{"rested transaction", "db", then(queries(nil, "BEGIN", "STORE a 1"),
			func(*transcript) { time.Sleep(5 * time.Second) },
			queries(nil, "FETCH a", "FETCH a", "COMMIT", "FETCH a"))},
		{"end of the process", "db", then(queries(nil, "BEGIN", "STORE a 1"), func(x *transcript) {
			x.p.enterPhase(closingAll)
			x.p.wakeSessions()
			synctest.Wait()
		}, queries(nil, "FETCH a", "COMMIT"))},
	}
}

func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	a, b := strings.Split(string(want), "\n"), strings.Split(got, "\n")
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			t.Fatalf("%s:%d\nwant %s\ngot  %s", path, i+1, a[i], b[i])
		}
	}
	if len(a) != len(b) {
		t.Errorf("%s has %d lines, got %d", path, len(a), len(b))
	}
}

// Histories by chance: members that answer anything, roles and shards that move while a client asks.
func TestDigestOfTranscripts(t *testing.T) {
	const want = uint64(0x402c0427e10e1f73)
	texts := []string{"FETCH x", "FETCH y", "STORE x 1", "STORE y 2", "BEGIN", "BEGIN FETCH", "COMMIT",
		"COMMIT", "ABORT", "SET a 1", "SET a 2",
		"PREP p STORE q", "PREP r FETCH q", "EXEC p x", "EXEC r y", "UNPREP p"}
	sum := fnv.New64a()
	for seed := range uint64(80) {
		host := []string{"db", "old", "own", "part"}[seed%4]
		all := in(t, host, func(x *transcript) {
			x.rng = rand.New(rand.NewPCG(seed, 5))
			for range 60 {
				switch x.rng.IntN(12) {
				case 0:
					x.role([]string{"a", "b"}[x.rng.IntN(2)], directory.Role(1+x.rng.IntN(2)))
				case 1:
					x.role("a", directory.RolePrimary)
				case 2:
					x.seq++
					x.update(&controlmsg.StateUpdate{ShardMap: &shardmap.Map{Version: 5 + x.seq,
						Shards: map[string]shardmap.Assignment{"sh": {Node: "s", Epoch: 8 + x.seq}}}})
				}
				x.query(texts[x.rng.IntN(len(texts))])
			}
		})
		sum.Write([]byte(all))
	}
	if got := sum.Sum64(); got != want {
		t.Errorf("digest %#x, want %#x", got, want)
	}
}

// What GET /status and GET /ready answer.
func TestGoldenStatus(t *testing.T) {
	var b strings.Builder
	in(t, "db", func(x *transcript) {
		x.query("STORE a 1")
		for _, path := range []string{"/status", "/ready"} {
			w := httptest.NewRecorder()
			x.p.routes().ServeHTTP(w, httptest.NewRequest("GET", path, nil))
			fmt.Fprintf(&b, "GET %s\n%d\n%s", path, w.Code, w.Body)
		}
		x.p.enterPhase(draining)
		w := httptest.NewRecorder()
		x.p.routes().ServeHTTP(w, httptest.NewRequest("GET", "/ready", nil))
		fmt.Fprintf(&b, "leaving: %d\n", w.Code)
	})
	golden(t, "status.golden", b.String())
}

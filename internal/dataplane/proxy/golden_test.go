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

var update = flag.Bool("update", false, "write the golden files from the current behaviour")

// goldenCase is a recorded session of one client.
type goldenCase struct {
	name, host string
	run        func(x *transcript)
}

// The answers to each kind of message, and the messages that members receive, must not change.
func TestGoldenTranscripts(t *testing.T) {
	var b strings.Builder
	for _, c := range goldenCases() {
		fmt.Fprintf(&b, "== %s\n%s\n", c.name, runTranscript(t, c.host, c.run))
	}
	compareWithGolden(t, "transcripts.golden", b.String())
}

func goldenCases() []goldenCase {
	scriptOf := func(pairs ...string) map[string][]string {
		script := map[string][]string{}
		for i := 0; i < len(pairs); i += 2 {
			script[pairs[i]] = append(script[pairs[i]], pairs[i+1])
		}
		return script
	}
	repeatFormat := func(format string, count int) (texts []string) {
		for i := range count {
			texts = append(texts, fmt.Sprintf(format, i))
		}
		return texts
	}
	sendLines := func(lines ...string) func(x *transcript) {
		return func(x *transcript) {
			for _, line := range lines {
				x.send(line)
			}
		}
	}
	withoutPrimary := func(x *transcript) { x.setRole("a", directory.RoleReplica) }
	inOrder := func(steps ...func(x *transcript)) func(x *transcript) {
		return func(x *transcript) {
			for _, step := range steps {
				step(x)
			}
		}
	}
	return []goldenCase{
		{"attach to an unknown database", "", sendLines("ATTACH nowhere who")},
		{"attach without a key", "", sendLines("ATTACH db")},
		{"query before attach", "", sendLines("QUERY q1 FETCH x")},
		{"too long message", "db", sendLines("QUERY q1 STORE x " + strings.Repeat("y", 1<<20))},
		{"unknown message", "db", sendLines("HELLO there")},
		{"query without text", "db", sendLines("QUERY q1")},
		{"control byte", "db", sendLines("QUERY q1 FETCH \x01")},
		{"bye", "db", sendLines("BYE")},
		{"invalid statements", "db", sendQueries(nil, "DROP x", "FETCH", "COMMIT", "ABORT", "BEGIN ", "UNPREP p", "EXEC p x")},
		{"reserved query id", "db", sendLines("QUERY - FETCH x")},
		{"session variables", "db", sendQueries(nil, append(repeatFormat("SET v%d 1", 257), "SET v0 2")...)},
		{"prepared statements", "db", sendQueries(nil, append(repeatFormat("PREP p%d FETCH q", 257), "EXEC p3 x", "UNPREP p3", "EXEC p3 x")...)},
		{"typical session", "db", sendQueries(nil, "SET z 1", "FETCH x", "STORE x 1", "PREP p STORE q", "EXEC p x", "SET z 2", "FETCH x")},
		{"transaction", "db", sendQueries(nil, "BEGIN", "BEGIN", "FETCH x", "STORE x 1", "SET a b", "FETCH y",
			"COMMIT", "COMMIT", "BEGIN", "ABORT",
			"BEGIN", "COMMIT", "BEGIN", "STORE x 1", "ABORT", "FETCH x")},
		{"read-only transaction", "db", sendQueries(nil, "BEGIN FETCH", "FETCH x", "COMMIT", "STORE x 1",
			"BEGIN FETCH", "FETCH x", "ABORT")},
		{"bounded staleness", "old", sendQueries(nil, "FETCH x", "STORE x 1", "FETCH x", "BEGIN FETCH", "FETCH x", "COMMIT", "FETCH x")},
		{"session consistency", "own", sendQueries(nil, "STORE x 1", "FETCH x", "FETCH x", "BEGIN", "STORE x 2", "COMMIT",
			"BEGIN FETCH", "FETCH x", "COMMIT")},
		{"shard", "part", sendQueries(nil, "STORE x 1", "FETCH x", "BEGIN", "STORE x 2", "COMMIT", "BEGIN FETCH",
			"FETCH x", "COMMIT")},
		{"failures of a read", "db", sendQueries(scriptOf("FETCH a", "FAIL FAILED x", "FETCH b", "FAIL TIMEOUT",
			"FETCH c", "FAIL RETRY", "FETCH d", "FAIL RDONLY",
			"FETCH e", "FAIL OTHER of a kind"), "FETCH a", "FETCH b", "FETCH c", "FETCH e", "FETCH d")},
		{"failures of a stale read", "old", sendQueries(scriptOf("FETCH a", "FAIL FAILED x", "FETCH b", "FAIL TIMEOUT",
			"FETCH c", "FAIL FULL", "FETCH d", "FAIL LAGGING",
			"FETCH e", cutOff), "STORE x 1", "FETCH a", "FETCH b", "FETCH c", "FETCH d", "FETCH e")},
		{"failures of a write", "db", sendQueries(scriptOf("STORE a 1", "FAIL FAILED x", "STORE b 1", "FAIL TIMEOUT",
			"STORE c 1", "FAIL RETRY", "STORE d 1", "FAIL WRONGHOST",
			"STORE e 1", "FAIL OTHER of a kind", "STORE f 1", cutOff, "STORE g 1", "FAIL RDONLY"), "STORE a 1",
			"STORE b 1", "STORE c 1", "STORE d 1", "STORE e 1", "STORE f 1", "STORE g 1")},
		{"repeated refusals", "db", sendQueries(map[string][]string{"STORE a 1": {"FAIL RETRY", "FAIL FULL",
			"FAIL RETRY", "FAIL RETRY"}}, "STORE a 1")},
		{"failed transaction", "db", sendQueries(scriptOf("STORE a 1", cutOff), "BEGIN", "STORE a 1", "STORE a 1",
			"COMMIT", "BEGIN", "STORE b 1", "ABORT")},
		{"failed transaction aborted", "db", sendQueries(scriptOf("STORE a 1", cutOff), "BEGIN", "STORE a 1", "ABORT", "FETCH a")},
		{"commit without an answer", "db", sendQueries(scriptOf("COMMIT", cutOff), "BEGIN", "STORE a 1", "COMMIT", "FETCH a")},
		{"commit of reads without an answer", "db", sendQueries(scriptOf("COMMIT", cutOff), "BEGIN", "FETCH a", "COMMIT", "FETCH a")},
		{"failed commit", "db", sendQueries(scriptOf("COMMIT", "FAIL FAILED x"), "BEGIN", "STORE a 1", "COMMIT", "FETCH a")},
		{"late answers", "db", sendQueries(scriptOf("STORE a 1", "late", "FETCH a", "late"), "STORE a 1", "FETCH a")},
		{"moved shard, node behind", "part", sendQueries(scriptOf("ON sh 8 STORE a 1", "FAIL MOVED 7"), "STORE a 1", "STORE a 1")},
		{"moved shard, node ahead", "part", sendQueries(scriptOf("ON sh 8 STORE a 1", "FAIL MOVED 9"), "STORE a 1", "STORE a 1")},
		{"moved transaction", "part", sendQueries(scriptOf("ON sh 8 BEGIN", "FAIL MOVED 9"), "BEGIN", "STORE a 1", "COMMIT")},
		{"resolved outcomes", "part", sendQueries(scriptOf("ON sh 8 STORE a 1", cutOff, "ON sh 8 STORE b 1", cutOff,
			"SHARD SETTLE sh 8 q2", "FAIL VOID", "ON sh 8 STORE c 1", cutOff,
			"SHARD SETTLE sh 8 q3", "FAIL STATE"), "STORE a 1", "STORE b 1", "STORE c 1")},
		{"resolved outcome of a commit", "part", sendQueries(scriptOf("COMMIT", cutOff), "BEGIN", "STORE a 1", "COMMIT")},
		{"shard refusals", "part", sendQueries(scriptOf("ON sh 8 STORE a 1", "FAIL NOROOM", "ON sh 8 STORE b 1",
			"FAIL VOID", "ON sh 8 STORE c 1", "FAIL STATE",
			"ON sh 8 STORE d 1", "FAIL OLD"), "STORE a 1", "STORE b 1", "STORE c 1", "STORE d 1")},
		{"no primary", "db", inOrder(withoutPrimary, sendQueries(nil, "STORE a 1", "FETCH a", "BEGIN", "STORE a 1", "COMMIT"))},
		{"queued write", "db", inOrder(withoutPrimary, func(x *transcript) {
			time.AfterFunc(300*time.Millisecond, func() { x.setRole("b", directory.RolePrimary) })
		}, sendQueries(nil, "STORE a 1", "FETCH a"))},
		{"idle transaction", "db", inOrder(sendQueries(nil, "BEGIN", "STORE a 1"),
			func(*transcript) { time.Sleep(5 * time.Second) },
			sendQueries(nil, "FETCH a", "FETCH a", "COMMIT", "FETCH a"))},
		{"shutdown", "db", inOrder(sendQueries(nil, "BEGIN", "STORE a 1"), func(x *transcript) {
			x.proxy.enterPhase(closingAll)
			x.proxy.wakeSessions()
			synctest.Wait()
		}, sendQueries(nil, "FETCH a", "COMMIT"))},
	}
}

func compareWithGolden(t *testing.T, name, got string) {
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
	wantLines, gotLines := strings.Split(string(want), "\n"), strings.Split(got, "\n")
	for i := range min(len(wantLines), len(gotLines)) {
		if wantLines[i] != gotLines[i] {
			t.Fatalf("%s:%d\nwant %s\ngot  %s", path, i+1, wantLines[i], gotLines[i])
		}
	}
	if len(wantLines) != len(gotLines) {
		t.Errorf("%s has %d lines, got %d", path, len(wantLines), len(gotLines))
	}
}

// Random sessions: members send faulty replies, and roles and shard owners change while a client sends statements. The
// digest of all transcripts must not change.
func TestRandomTranscriptsDigest(t *testing.T) {
	const want = uint64(0x1e5acdf64976f673)
	texts := []string{"FETCH x", "FETCH y", "STORE x 1", "STORE y 2", "BEGIN", "BEGIN FETCH", "COMMIT",
		"COMMIT", "ABORT", "SET a 1", "SET a 2",
		"PREP p STORE q", "PREP r FETCH q", "EXEC p x", "EXEC r y", "UNPREP p"}
	digest := fnv.New64a()
	for seed := range uint64(80) {
		host := []string{"db", "old", "own", "part"}[seed%4]
		transcript := runTranscript(t, host, func(x *transcript) {
			x.rng = rand.New(rand.NewPCG(seed, 5))
			for range 60 {
				switch x.rng.IntN(12) {
				case 0:
					x.setRole([]string{"a", "b"}[x.rng.IntN(2)], directory.Role(1+x.rng.IntN(2)))
				case 1:
					x.setRole("a", directory.RolePrimary)
				case 2:
					x.seq++
					x.update(&controlmsg.StateUpdate{ShardMap: &shardmap.Map{Version: 5 + x.seq,
						Shards: map[string]shardmap.Assignment{"sh": {Node: "s", Epoch: 8 + x.seq}}}})
				}
				x.query(texts[x.rng.IntN(len(texts))])
			}
		})
		digest.Write([]byte(transcript))
	}
	if got := digest.Sum64(); got != want {
		t.Errorf("digest %#x, want %#x", got, want)
	}
}

// The responses to GET /status and GET /ready must not change.
func TestGoldenStatus(t *testing.T) {
	var b strings.Builder
	runTranscript(t, "db", func(x *transcript) {
		x.query("STORE a 1")
		for _, path := range []string{"/status", "/ready"} {
			w := httptest.NewRecorder()
			x.proxy.routes().ServeHTTP(w, httptest.NewRequest("GET", path, nil))
			fmt.Fprintf(&b, "GET %s\n%d\n%s", path, w.Code, w.Body)
		}
		x.proxy.enterPhase(draining)
		w := httptest.NewRecorder()
		x.proxy.routes().ServeHTTP(w, httptest.NewRequest("GET", "/ready", nil))
		fmt.Fprintf(&b, "draining: %d\n", w.Code)
	})
	compareWithGolden(t, "status.golden", b.String())
}

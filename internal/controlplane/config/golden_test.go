package config

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

var update = flag.Bool("update", false, "rewrite testdata/texts.txt with the code's current output")

var sampleChange = AppliedChange{Version: 7, BaseVersion: 6, Digest: [32]byte{1, 2, 31: 255}, Origin: "core-1",
	AppliedAt: 1764600000000}

// The state is stored and replicated as CBOR with these bytes. The roster has only one service because cbor.Marshal
// does not sort map keys.
func TestStoredForms(t *testing.T) {
	full := &State{Version: 7, Raw: []byte(`{"gen":7}`), History: []AppliedChange{sampleChange},
		Roster: Roster{"orders": {"a", "b"}}}
	for name, c := range map[string]struct {
		state *State
		hex   string
	}{
		"full": {full, "a401070249" + hex.EncodeToString([]byte(`{"gen":7}`)) +
			"0381a50107020603" + "5820" + "0102" + strings.Repeat("00", 29) + "ff" +
			"0466636f72652d31051b0000019ada5b2e0009a1666f72646572738261616162"},
		"sparse": {&State{}, "a3010002f603f6"},
	} {
		t.Run(name, func(t *testing.T) {
			raw, err := cbor.Marshal(c.state)
			if got := hex.EncodeToString(raw); err != nil || got != c.hex {
				t.Fatalf("%s (%v), recorded %s", got, err, c.hex)
			}
			back := &State{}
			if err := cbor.Unmarshal(raw, back); err != nil || !reflect.DeepEqual(back, c.state) {
				t.Errorf("decoded to %+v (%v)", back, err)
			}
		})
	}
}

// GET /config/log returns the history in this JSON form, and weirctl parses it.
func TestAppliedChangeAsJSON(t *testing.T) {
	want := `{"Gen":7,"Base":6,"Digest":[1,2` + strings.Repeat(",0", 29) + `,255],"Node":"core-1","At":1764600000000}`
	raw, err := json.Marshal(sampleChange)
	if err != nil || string(raw) != want {
		t.Fatalf("%s (%v), recorded %s", raw, err, want)
	}
	var back AppliedChange
	if err := json.Unmarshal(raw, &back); err != nil || back != sampleChange {
		t.Errorf("read back as %+v (%v)", back, err)
	}
}

func TestChangeDigests(t *testing.T) {
	c := Change{Amend: true, BaseVersion: 3, Body: []byte(`{"gen":4}`)}
	digest := c.Digest()
	if got := hex.EncodeToString(digest[:]); got != wantChangeDigest {
		t.Error(got)
	}
}

// Operators see these texts. Each case in testdata/texts.txt is a line with an operation, followed by its indented
// outcome.
func TestOperatorTexts(t *testing.T) {
	const file = "testdata/texts.txt"
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, line := range strings.Split(string(raw), "\n") {
		switch {
		case strings.HasPrefix(line, "    "): // the recorded outcome
		case line == "" || strings.HasPrefix(line, "#"):
			fmt.Fprintln(&out, line)
		default:
			fmt.Fprintln(&out, line)
			for _, l := range strings.Split(outcome(t, line), "\n") {
				fmt.Fprintln(&out, "    "+l)
			}
		}
	}
	got := strings.TrimRight(out.String(), "\n") + "\n"
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want := strings.Split(string(raw), "\n")
	for i, line := range strings.Split(got, "\n") {
		if i >= len(want) || line != want[i] {
			t.Fatalf("line %d: %s", i+1, line)
		}
	}
}

// currentConfig is the configuration to which the changes and diffs of testdata/texts.txt refer.
const currentConfig = `{"gen":5,"note":"kept",` +
	`"routes":[{"name":"r","host":"h","type":"primary","timeoutMs":1,"svc":"s","more":1}],"svcs":[{"name":"s"}]}`

// outcome carries out an operation of testdata/texts.txt and returns the text that describes its result.
func outcome(t *testing.T, line string) string {
	verb, body, _ := strings.Cut(line, " ")
	history := []AppliedChange{{Version: 4, BaseVersion: 3}, {Version: 5, BaseVersion: 4}}
	state := &State{Version: 5, Raw: []byte(currentConfig), History: history}
	var base uint64
	switch verb {
	case "read":
		c, err := Parse([]byte(body))
		if err != nil {
			return describeError(err)
		}
		return fmt.Sprintf("%d routes, %d services, limits %v", len(c.Routes), len(c.Services), c.Limits)
	case "diff":
		lines, err := Diff([]byte(currentConfig), []byte(body))
		if err != nil {
			return err.Error()
		}
		return strings.Join(append(lines, fmt.Sprint(len(lines), " lines")), "\n")
	case "first":
		state = &State{}
	}
	if _, err := fmt.Sscan(body, &base); err != nil {
		t.Fatal(line, err)
	}
	_, body, _ = strings.Cut(body, " ")
	next, err := state.Apply(&Change{Amend: verb != "replace", BaseVersion: base, Body: []byte(body)}, "node", 9)
	if err != nil {
		return describeError(err)
	}
	return fmt.Sprintf("%d: %s", next.Version, next.Raw)
}

// statusOf maps errors to the HTTP statuses that package orders answers with, as recorded in testdata/texts.txt.
var statusOf = map[error]int{
	ErrInvalid:              400,
	ErrVersionNotIncreasing: 400,
	ErrConflict:             409,
	ErrBaseVersionMismatch:  412,
}

func describeError(err error) string {
	var rejected *RejectedError
	var undecided *UndecidedError
	switch {
	case errors.As(err, &rejected):
		return fmt.Sprintf("refused %d %s: %s", statusOf[rejected.Err], rejected.Reason, err)
	case errors.As(err, &undecided):
		return fmt.Sprintf("undecided %s, later %v: %s", undecided.Reason, errors.Is(err, ErrBaseVersionAhead), err)
	}
	return "error: " + err.Error()
}

const (
	wantChangeDigest           = "ce3963d101306cc2f7f60bd14983186c6212c9d094ed2f5efd2f6f97daaf48f5"
	wantHistoriesDigest uint64 = 0xd0fe903ab5783d86
)

// Digests the results of random replacements, amendments and roster changes, many of them invalid or on bases that are
// behind or ahead, over 20 seeds.
func TestRandomHistoriesMatchRecordedDigest(t *testing.T) {
	digest := fnv.New64a()
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 9))
		state := &State{}
		var sent []*Change
		for range 300 {
			before := state
			switch random.IntN(8) {
			case 0:
				state = state.WithRoster(RosterChange{Add: randomMembers(random), Remove: randomMembers(random)})
			case 1:
				state = state.WithoutMember(fmt.Sprint("m", random.IntN(4)))
			default:
				c := randomChange(random, state.Version)
				if len(sent) > 0 && random.IntN(8) == 0 {
					c = sent[random.IntN(len(sent))]
				}
				sent = append(sent, c)
				fmt.Fprintln(digest, state.HasApplied(c))
				next, err := state.Apply(c, fmt.Sprint("n", random.IntN(3)), int64(random.IntN(1000)))
				if err != nil {
					fmt.Fprintln(digest, describeError(err))
					continue
				}
				state = next
			}
			lines, err := Diff(append([]byte{}, orEmpty(before.Raw)...), orEmpty(state.Raw))
			fmt.Fprintln(digest, state == before, state.Version, string(state.Raw), state.History, state.Roster, lines, err)
		}
	}
	if got := digest.Sum64(); got != wantHistoriesDigest {
		t.Errorf("%#x, recorded %#x", got, wantHistoriesDigest)
	}
}

func orEmpty(raw []byte) []byte {
	if raw == nil {
		return []byte("{}")
	}
	return raw
}

func randomMembers(r *rand.Rand) (out []RosterMember) {
	for range r.IntN(3) {
		out = append(out, RosterMember{Service: fmt.Sprint("s", r.IntN(2)), ID: fmt.Sprint("m", r.IntN(4))})
	}
	return out
}

// randomChange returns a change that may be invalid, but for at most one reason, so that its error is deterministic.
func randomChange(r *rand.Rand, gen uint64) *Change {
	c := &Change{Amend: r.IntN(2) == 0, BaseVersion: gen}
	switch r.IntN(10) {
	case 0:
		c.BaseVersion = gen + 1 + uint64(r.IntN(3))
	case 1:
		c.BaseVersion = gen - min(gen, uint64(1+r.IntN(20)))
	}
	next := c.BaseVersion + 1 + uint64(r.IntN(2))
	if r.IntN(10) == 0 {
		next = c.BaseVersion
	}
	var body string
	if c.Amend {
		body = fmt.Sprintf(`{"gen":%d,"upsert":{"svcs":[{"name":"s%d","maxConns":%d}]},`+
			`"del":{"routes":["r%d"],"svcs":["s%d"]}}`, next, r.IntN(6), r.IntN(12)-1, r.IntN(4), r.IntN(6))
	} else {
		var routes []string
		for i := range r.IntN(4) {
			routes = append(routes, fmt.Sprintf(`{"name":"r%d","host":"h%d","type":"self","timeoutMs":%d,"svc":"s%d"}`,
				i, r.IntN(12), 1+r.IntN(9), r.IntN(2)))
		}
		body = fmt.Sprintf(`{"gen":%d,"routes":[%s],"svcs":[{"name":"s0"},{"name":"s1"}]}`, next, strings.Join(routes, ","))
	}
	if r.IntN(20) == 0 {
		body = body[:r.IntN(len(body))]
	}
	c.Body = []byte(body)
	return c
}

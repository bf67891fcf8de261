package opening

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"testing"

	"weirwind/internal/standin/golden"
)

// randomSettings returns settings with all known keys, whose keywords are drawn at random; a few of them are invalid.
func randomSettings(rng *rand.Rand) string {
	pick := func(all ...string) string {
		if rng.IntN(60) == 0 {
			return `"other"`
		}
		return fmt.Sprintf("%q", all[rng.IntN(len(all))])
	}
	number := func() int { return rng.IntN(1000000) }
	flag := func() bool { return rng.IntN(2) > 0 }
	var profiles, needs []string
	for i := range 1 + rng.IntN(3) {
		profiles = append(profiles, fmt.Sprintf(`{"name":"p%d","aim":%d,"deadline":%d,"effect":%s,"key_scope":%s,"window":%d,"points":%d}`,
			i, number(), number(), pick("repeatable", "by_key", "once"), pick("", "all", "zone", "cell"), number(), number()))
		needs = append(needs, pick("eventual", "lag_bound", "causal", "strong", "mutate"))
	}
	if rng.IntN(40) == 0 {
		needs = nil
	}
	return fmt.Sprintf(`{"index":%d,"siblings":%d,"zone":"z%d","tick":%d,"profiles":[%s],"family_info":{"checks":%s,`+
		`"needs_by_class":[%s],"oldest_data":[%d],"position_zero":%d,"shows_role":%s,"write_marks":%s,"stamps":%v},`+
		`"policy_limits":{"cancel":%v,"may_probe":%v,"parallel_tries":%v,"peers":%v,"retry_after":%v,"max_retry_after":%d,`+
		`"send_cap":%d,"conn_idle":%d,"connect_timeout":%d},"registry_mode":%s,"report":{"fields":["x0",%s],"source":%s},`+
		`"rules":{"cold":%d,"cold_from":%d,"fall":%d,"tip_multiple":%d,"only_draining_binds":%v,"stop_sending_within":%d},"more":1}`,
		rng.IntN(9), rng.IntN(9), rng.IntN(3), number(), strings.Join(profiles, ","), pick("", "silent", "bounce", "await"),
		strings.Join(needs, ","), number(), number(), pick("", "silent", "static", "trailing"), pick("", "kept", "brought"), flag(),
		flag(), flag(), flag(), flag(), flag(), number(),
		rng.IntN(9), number(), number(), pick("on_request", "push"), pick("x1", "x2"), pick("silent", "notes"),
		number(), rng.IntN(9), number(), rng.IntN(9), flag(), number())
}

// Parsing many random settings gives the same results as when the digest was recorded.
func TestRecordedOpenings(t *testing.T) {
	digest, rejected := fnv.New64a(), 0
	rng := rand.New(rand.NewPCG(1, 1))
	for seed := range uint64(500) {
		s, err := Parse([]byte(randomSettings(rng)), seed)
		if err != nil {
			rejected++
			fmt.Fprintln(digest, err)
			continue
		}
		fmt.Fprintf(digest, "%v %v %v %v %v %v\n", *s.Opening, s.OpTypes, s.Index, s.ConnectTimeout, s.ConnIdleTimeout, s.DrainGrace)
	}
	if rejected < 50 || rejected > 300 {
		t.Errorf("%d of 500 settings were rejected", rejected)
	}
	const recorded = 0xe01f536dbee228a3
	if got := digest.Sum64(); got != recorded {
		t.Errorf("digest %#x, recorded %#x", got, uint64(recorded))
	}
}

func TestRecordedErrors(t *testing.T) {
	var texts []golden.Case[string]
	for _, c := range []struct{ name, settings string }{
		{"no JSON", `{`}, {"another type", `{"index":"x"}`}, {"type of a profile's", `{"profiles":[{"aim":"x"}]}`},
		{"type of a family's", `{"family_info":{"stamps":"x"}}`}, {"type of a limit", `{"policy_limits":{"peers":1}}`},
		{"type of a report's", `{"report":{"source":1}}`}, {"type of a rule", `{"rules":{"cold":"x"}}`}, {"lengths", `{"profiles":[{}]}`},
		{"checks", `{"family_info":{"checks":"x"}}`}, {"write_marks", `{"family_info":{"write_marks":"x"}}`},
		{"shows_role", `{"family_info":{"shows_role":"x"}}`},
		{"needs_by_class", `{"profiles":[{}],"family_info":{"needs_by_class":["x"]}}`},
		{"effect", `{"profiles":[{"effect":"x"}],"family_info":{"needs_by_class":["strong"]}}`},
		{"key_scope", `{"profiles":[{"effect":"once","key_scope":"x"}],"family_info":{"needs_by_class":["strong"]}}`},
	} {
		_, err := Parse([]byte(c.settings), 1)
		texts = append(texts, golden.Of(c.name, fmt.Sprint(err)))
	}
	golden.Text(t, "testdata/errors.golden", texts)
}

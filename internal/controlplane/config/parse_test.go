package config

import (
	"slices"
	"testing"
)

// If several fields are invalid, the first in the order of declaration is reported, regardless of their order in the
// JSON.
func TestFirstInvalidFieldIsReported(t *testing.T) {
	const route = `{"gen":1,"svcs":[{"name":"s"}],"routes":[{"name":"r","host":"h","type":"self","timeoutMs":1`
	for _, c := range []struct{ name, rest, want string }{
		{"latency target before service", `,"svc":"","targetMs":-1}]}`,
			"Config.Routes[0].Target is -1, which gte does not allow"},
		{"priority before service and staleness", `,"maxStaleMs":-2,"svc":"","prio":-1}]}`,
			"Config.Routes[0].Prio is -1, which gte does not allow"},
		{"service before attempts", `,"tries":-1}]}`,
			"Config.Routes[0].Svc is , which required does not allow"},
		{"attempts before staleness", `,"maxStaleMs":-2,"svc":"s","tries":-1}]}`,
			"Config.Routes[0].Tries is -1, which gte does not allow"},
		{"idle transactions before idle sessions", `,"svc":"s"}],"limits":{"idleMs":-1,"txIdleMs":-2}}`,
			"Config.Limits.TxIdle is -2, which gte does not allow"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := Parse([]byte(route + c.rest)); err == nil || err.Error() != c.want {
				t.Fatalf("got %v, want %s", err, c.want)
			}
		})
	}
}

// A document may be null, which is treated as one without keys.
func TestDiffOfNull(t *testing.T) {
	for _, c := range []struct{ before, after, want string }{
		{`null`, `{"gen":1}`, "~ gen:  -> 1"},
		{`{"gen":1}`, `null`, "~ gen: 1 -> "},
	} {
		lines, err := Diff([]byte(c.before), []byte(c.after))
		if err != nil || !slices.Equal(lines, []string{c.want}) {
			t.Errorf("from %s to %s: got %q, %v, want %q", c.before, c.after, lines, err, c.want)
		}
	}
}

package opening

import (
	"strings"
	"testing"
)

const settingsTemplate = `{"siblings": 300, "profiles": [{"name": "r", "aim": 300000, "deadline": 1000000, "effect": "repeatable"}],
 "family_info": {"needs_by_class": ["causal"], "write_marks": %q, "checks": "await", "holds_for": 20000},
 "policy_limits": {"peers": false}, "rules": {"only_draining_binds": true}}`

func TestParse(t *testing.T) {
	parsed, err := Parse([]byte(strings.Replace(settingsTemplate, "%q", `"kept"`, 1)), 1)
	if err != nil {
		t.Fatal(err)
	}
	o := parsed.Opening
	if o.Drivers != 300 || o.MayMessage || o.SessionCarried || !o.OnlyDrainBinds || o.Checks != 2 {
		t.Fatalf("%+v", o)
	}
	if _, err := Parse([]byte(strings.Replace(settingsTemplate, "%q", `"remember"`, 1)), 1); err == nil ||
		!strings.Contains(err.Error(), "write_marks") {
		t.Fatal("an unknown keyword for write_marks was accepted:", err)
	}
}

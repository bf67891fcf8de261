package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// currentTenants is the configuration that the amendments in these tests change.
const currentTenants = `{"gen":5,"tenants":[{"name":"a","keys":["a1","a2"],"perS":9,"burst":3,"more":{"x":1}},` +
	`{"name":"b","keys":["b1"]}]}`

// withTenants returns a configuration with a list of tenants.
func withTenants(tenants string) []byte { return fmt.Appendf(nil, `{"gen":1,"tenants":[%s]}`, tenants) }

func TestSharedTenantKeyIsRejected(t *testing.T) {
	requireReason(t, `{"name":"a","keys":["k","l"]},{"name":"b","keys":["m","l"]}`, reasonSharedKey)
}

func TestDuplicateTenantNameIsRejected(t *testing.T) {
	requireReason(t, `{"name":"a","keys":["k"]},{"name":"a","keys":["l"]}`, reasonDuplicateTenant)
}

// requireReason checks the reason for which a configuration with a list of tenants is rejected.
func requireReason(t *testing.T, tenants, reason string) {
	t.Helper()
	var rejected *RejectedError
	if _, err := Parse(withTenants(tenants)); !errors.As(err, &rejected) || rejected.Reason != reason {
		t.Errorf("%s: %v, want %s", tenants, err, reason)
	}
}

// Tenants without keys are valid, as all keys of a tenant may be removed, and so is a tenant with the same key twice.
func TestTenantsAreFoundByKeyAndName(t *testing.T) {
	c, err := Parse(withTenants(`{"name":"a","keys":["k","l","k"]},{"name":"b"},{"name":"c","keys":[]},` +
		`{"name":"d","keys":["m"],"prio":2,"perS":7.5,"burst":4}`))
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]string{"k": "a", "l": "a", "m": "d"} {
		if tenant := c.TenantByKey(key); tenant == nil || tenant.Name != want {
			t.Errorf("%s is of %v, want %s", key, tenant, want)
		}
	}
	for _, key := range []string{"", "x", "a", "K"} {
		if tenant := c.TenantByKey(key); tenant != nil {
			t.Errorf("%q is of %v, want no tenant", key, tenant)
		}
	}
	if d := c.Tenant("d"); d == nil || d.Rate != 7.5 || d.Burst != 4 || d.Priority != 2 {
		t.Errorf("tenant d is %+v", d)
	}
	if b, x := c.Tenant("b"), c.Tenant("x"); b == nil || x != nil {
		t.Errorf("tenant b is %v, tenant x %v", b, x)
	}
}

func TestAmendmentsOfTenants(t *testing.T) {
	for name, c := range map[string]struct {
		body string
		want map[string]string // tenants by key, "" for none
	}{
		"a key moved to another tenant in one amendment": {
			`{"gen":6,"upsert":{"tenants":[{"name":"b","keys":["b1","a2"]},{"name":"a","keys":["a1"]}]}}`,
			map[string]string{"a1": "a", "a2": "b", "b1": "b"}},
		"keys of two tenants exchanged": {
			`{"gen":6,"upsert":{"tenants":[{"name":"a","keys":["b1"]},{"name":"b","keys":["a1","a2"]}]}}`,
			map[string]string{"a1": "b", "a2": "b", "b1": "a"}},
		"a key of a removed tenant given to a new one": {
			`{"gen":6,"upsert":{"tenants":[{"name":"c","keys":["a1"]}]},"del":{"tenants":["a"]}}`,
			map[string]string{"a1": "c", "a2": "", "b1": "b"}},
		"a key removed": {
			`{"gen":6,"upsert":{"tenants":[{"name":"a","keys":["a1"]}]}}`,
			map[string]string{"a1": "a", "a2": "", "b1": "b"}},
		"all keys of a tenant removed": {
			`{"gen":6,"upsert":{"tenants":[{"name":"b","keys":[]}]}}`,
			map[string]string{"a1": "a", "b1": ""}},
		"a tenant removed": {
			`{"gen":6,"del":{"tenants":["a"]}}`,
			map[string]string{"a1": "", "a2": "", "b1": "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			amended, err := amendTenants(c.body)
			if err != nil {
				t.Fatal(err)
			}
			for key, want := range c.want {
				if tenant := amended.TenantByKey(key); want != nameOf(tenant) {
					t.Errorf("key %s is of %q, want %q", key, nameOf(tenant), want)
				}
			}
		})
	}
}

func TestAmendmentSharingATenantKeyIsRejected(t *testing.T) {
	for _, body := range []string{
		`{"gen":6,"upsert":{"tenants":[{"name":"b","keys":["b1","a2"]}]}}`,
		`{"gen":6,"upsert":{"tenants":[{"name":"c","keys":["a1"]}]}}`,
	} {
		var rejected *RejectedError
		if _, err := amendTenants(body); !errors.As(err, &rejected) || rejected.Reason != reasonSharedKey {
			t.Errorf("%s: %v", body, err)
		}
	}
}

func TestAmendmentsKeepUnknownFieldsOfTenants(t *testing.T) {
	state := &State{Version: 5, Raw: []byte(currentTenants)}
	raw, err := state.applyAmendment([]byte(`{"gen":6,"upsert":{"tenants":[{"name":"b","keys":["b2"],"other":4}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	for _, field := range []string{`"more":{"x":1}`, `"other":4`} {
		if !strings.Contains(string(raw), field) {
			t.Errorf("%s lacks %s", raw, field)
		}
	}
}

func amendTenants(body string) (*Config, error) {
	state := &State{Version: 5, Raw: []byte(currentTenants)}
	raw, err := state.applyAmendment([]byte(body))
	if err != nil {
		return nil, err
	}
	return Parse(raw)
}

func nameOf(tenant *Tenant) string {
	if tenant == nil {
		return ""
	}
	return tenant.Name
}

func TestDiffPrintsNoKeys(t *testing.T) {
	after := `{"gen":5,"tenants":[{"burst":3,"name":"a","KEYS":["a1","c1"],"nested":{"keys":["a1"]}},` +
		`{"name":"c","keys":["a2"]}]}`
	lines, err := Diff([]byte(currentTenants), []byte(after))
	want := []string{
		`~ tenants a: {"burst":3,"keys":["key 1","key 2"],"more":{"x":1},"name":"a","perS":9} -> ` +
			`{"KEYS":["key 1","key 3"],"burst":3,"name":"a","nested":{"keys":["key 1"]}}`,
		`+ tenants c: {"keys":["key 2"],"name":"c"}`,
		`- tenants b`,
	}
	if err != nil || !slices.Equal(lines, want) {
		t.Errorf("%s (%v), want %s", strings.Join(lines, "\n"), err, strings.Join(want, "\n"))
	}
}

func TestDiffReportsChangedMaskedKey(t *testing.T) {
	lines, err := Diff(withTenants(`{"name":"a","keys":["k"]}`), withTenants(`{"name":"a","keys":["l"]}`))
	want := `~ tenants a: {"keys":["key 1"],"name":"a"} -> {"keys":["key 2"],"name":"a"}`
	if err != nil || !slices.Equal(lines, []string{want}) {
		t.Errorf("%q (%v), want %s", lines, err, want)
	}
}

// If one document has no list of tenants, or a value that is not a list, the diff has whole values.
func TestDiffOfWholeListsPrintsNoKeys(t *testing.T) {
	for _, other := range []string{`{"gen":1}`, `{"gen":1,"tenants":{"keys":{"x":["secret"]}}}`} {
		for _, documents := range [][2][]byte{
			{[]byte(other), withTenants(`{"name":"a","keys":["secret"]}`)},
			{withTenants(`{"name":"a","keys":["secret"]}`), []byte(other)},
		} {
			lines, err := Diff(documents[0], documents[1])
			if err != nil || len(lines) != 1 || strings.Contains(lines[0], "secret") {
				t.Errorf("%q (%v)", lines, err)
			}
		}
	}
}

// Errors of invalid changes are shown to operators and logged, so they must not include keys.
func TestErrorsPrintNoKeys(t *testing.T) {
	for _, body := range []string{
		`{"gen":6,"upsert":{"tenants":[{"keys":["secret"]}]}}`,
		`{"gen":6,"upsert":{"tenants":[{"name":"c","keys":["secret"]},{"name":"c","keys":["secret"]}]}}`,
		`{"gen":6,"upsert":{"tenants":[{"name":"c","keys":["secret"]},{"name":"d","keys":["secret"]}]}}`,
		`{"gen":6,"upsert":{"tenants":[{"name":"c","keys":"secret"}]}}`,
		`{"gen":6,"upsert":{"tenants":[{"name":"c","keys":["secret",""]}]}}`,
	} {
		if _, err := amendTenants(body); err == nil || strings.Contains(err.Error(), "secret") {
			t.Errorf("%s: %v", body, err)
		}
	}
}

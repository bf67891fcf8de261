package opening

import (
	"fmt"

	"weirwind/logic"
)

// The keywords of the settings, and the module's values for them.
var (
	needs = map[string]logic.Need{
		"eventual":  logic.Any,
		"lag_bound": logic.Bounded,
		"causal":    logic.Session,
		"strong":    logic.Fresh,
		"mutate":    logic.Write,
	}
	effects = map[string]logic.Effect{
		"repeatable": logic.Retryable,
		"by_key":     logic.Tokened,
		"once":       logic.NonRetryable,
	}
	scopes = map[string]logic.Scope{
		"":     logic.ScopeAll,
		"all":  logic.ScopeAll,
		"zone": logic.ScopeZone,
		"cell": logic.ScopeGroup,
	}
	checks = map[string]logic.Checks{
		"":       logic.ChecksNone,
		"silent": logic.ChecksNone,
		"bounce": logic.ChecksRefuse,
		"await":  logic.ChecksWait,
	}
	listRoleModes = map[string]logic.ListRole{
		"":         logic.RoleNone,
		"silent":   logic.RoleNone,
		"static":   logic.RoleAtStart,
		"trailing": logic.RoleLate,
	}
	// writeMarks tells whether sessions carry the positions of their writes.
	writeMarks = map[string]bool{"": false, "kept": false, "brought": true}
)

// lookup returns the value for a setting's keyword; the error names the setting.
func lookup[T any](table map[string]T, keyword, setting string) (T, error) {
	v, ok := table[keyword]
	if !ok {
		return v, fmt.Errorf("setup: %s has the unknown word %q", setting, keyword)
	}
	return v, nil
}

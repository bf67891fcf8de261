// Package opening turns the settings object that every driver is told at its start into the module's opening.
// Both hosts read it here, the simulator's and the one on sockets. It only translates: no figure is its own.
package opening

import (
	"encoding/json"
	"fmt"

	"weirwind/logic"
)

// MaxMessage is how many bytes one message between drivers may carry.
const MaxMessage = 256

const usPerMs = 1000 // the settings count microseconds, the module milliseconds

func ms(us float64) float64 { return us / usPerMs }

// Told is what the settings hold for a driver: the module's opening, and what only its host needs.
type Told struct {
	Opening        *logic.Opening
	OpTypes        map[string]int // index in the opening by name
	Index          int            // this driver's number among all
	ConnectTimeout float64        // milliseconds, as is ConnIdle
	ConnIdle       float64        // members close a connection that has been idle so long
	DrainGrace     float64        // milliseconds in which sends must stop after a drain was told; 0 for unknown
}

// setup is the part of the settings that is read; other keys are skipped.
type setup struct {
	Index    int
	Siblings int    `json:"siblings"`
	Zone     string `json:"zone"`
	Tick     float64
	Profiles []struct {
		Name     string
		Aim      float64
		Deadline float64
		Effect   string
		KeyScope string `json:"key_scope"`
		Window   float64
		Points   float64
	}
	Family struct {
		Checks       string
		Needs        []string  `json:"needs_by_class"`
		OldestData   []float64 `json:"oldest_data"`
		PositionZero float64   `json:"position_zero"`
		ShowsRole    string    `json:"shows_role"`
		WriteMarks   string    `json:"write_marks"`
		Stamps       bool
	} `json:"family_info"`
	Limits struct {
		Cancel        bool
		MayProbe      bool `json:"may_probe"`
		ParallelTries bool `json:"parallel_tries"`
		Peers         bool
		RetryAfter    bool    `json:"retry_after"`
		MaxRetryAfter float64 `json:"max_retry_after"`
		SendCap       int     `json:"send_cap"`
		ConnIdle      float64 `json:"conn_idle"`
		ConnectTime   float64 `json:"connect_timeout"`
	} `json:"policy_limits"`
	Registry string `json:"registry_mode"`
	Report   struct {
		Fields []string
		Source string
	}
	Rules struct {
		Cold             float64
		ColdFrom         float64 `json:"cold_from"`
		Fall             float64
		TipMultiple      float64 `json:"tip_multiple"`
		OnlyDrainingBind bool    `json:"only_draining_binds"`
		StopSending      float64 `json:"stop_sending_within"`
	}
}

var (
	needs = map[string]logic.Need{"eventual": logic.Any, "lag_bound": logic.Bounded,
		"causal": logic.Session, "strong": logic.Fresh, "mutate": logic.Write}
	effects = map[string]logic.Effect{"repeatable": logic.Retryable, "by_key": logic.Tokened,
		"once": logic.NonRetryable}
	scopes = map[string]logic.Scope{"": logic.ScopeAll, "all": logic.ScopeAll, "zone": logic.ScopeZone,
		"cell": logic.ScopeGroup}
	checks = map[string]logic.Checks{"": logic.ChecksNone, "silent": logic.ChecksNone,
		"bounce": logic.ChecksRefuse, "await": logic.ChecksWait}
	marks     = map[string]bool{"": false, "kept": false, "brought": true} // whether sessions carry their writes
	listRoles = map[string]logic.ListRole{"": logic.RoleNone, "silent": logic.RoleNone,
		"static": logic.RoleAtStart, "trailing": logic.RoleLate}
)

// word looks a setting's word up and names the setting when the word is not one of the wire's.
func word[T any](table map[string]T, s, setting string) (T, error) {
	v, ok := table[s]
	if !ok {
		return v, fmt.Errorf("setup: %s has the unknown word %q", setting, s)
	}
	return v, nil
}

// Parse reads the settings object.
func Parse(text []byte, seed uint64) (Told, error) {
	var s setup
	if err := json.Unmarshal(text, &s); err != nil {
		return Told{}, fmt.Errorf("setup: %w", err)
	}
	if len(s.Family.Needs) != len(s.Profiles) {
		return Told{}, fmt.Errorf("setup: %d profiles but %d needs_by_class", len(s.Profiles),
			len(s.Family.Needs))
	}
	o := &logic.Opening{
		Seed: seed, Drivers: s.Siblings, Zone: s.Zone, Tick: ms(s.Tick),
		PositionZero: ms(s.Family.PositionZero), Positions: s.Family.Stamps, ListOnRequest: s.Registry == "on_request",
		MayProbe: s.Limits.MayProbe, MayCancel: s.Limits.Cancel, MayMessage: s.Limits.Peers,
		MayOverlap: s.Limits.ParallelTries,
		SendCap:    s.Limits.SendCap,
		ColdFrom:   s.Rules.ColdFrom, ColdFor: ms(s.Rules.Cold), FallMultiple: s.Rules.TipMultiple,
		FallSpan:        ms(s.Rules.Fall),
		OnlyDrainBinds:  s.Rules.OnlyDrainingBind,
		MaxMessageBytes: MaxMessage,
	}
	if s.Limits.RetryAfter {
		o.MaxRetryAfter = ms(s.Limits.MaxRetryAfter)
	}
	for _, f := range s.Report.Fields {
		if f == "x1" && s.Report.Source != "silent" {
			o.ReportsByProbe = true
		}
	}
	var err error
	if o.Checks, err = word(checks, s.Family.Checks, "checks"); err != nil {
		return Told{}, err
	}
	if o.SessionCarried, err = word(marks, s.Family.WriteMarks, "write_marks"); err != nil {
		return Told{}, err
	}
	if o.ListRole, err = word(listRoles, s.Family.ShowsRole, "shows_role"); err != nil {
		return Told{}, err
	}
	names := map[string]int{}
	for i, p := range s.Profiles {
		t := logic.OpType{Window: ms(p.Window), LatencyTarget: ms(p.Aim),
			OpTimeout: ms(p.Deadline), Value: p.Points}
		if t.Need, err = word(needs, s.Family.Needs[i], "needs_by_class"); err != nil {
			return Told{}, err
		}
		if t.Effect, err = word(effects, p.Effect, "effect"); err != nil {
			return Told{}, err
		}
		if t.Scope, err = word(scopes, p.KeyScope, "key_scope"); err != nil {
			return Told{}, err
		}
		if i < len(s.Family.OldestData) {
			t.MaxAge = ms(s.Family.OldestData[i])
		}
		o.OpTypes = append(o.OpTypes, t)
		names[p.Name] = i
	}
	return Told{Opening: o, OpTypes: names, Index: s.Index, ConnectTimeout: ms(s.Limits.ConnectTime),
		ConnIdle: ms(s.Limits.ConnIdle), DrainGrace: ms(s.Rules.StopSending)}, nil
}

package opening

import (
	"encoding/json"
	"fmt"
	"slices"

	"weirwind/logic"
)

// MaxMessageBytes is the maximum size of a message between drivers.
const MaxMessageBytes = 256

const microsPerMilli = 1000

func milliseconds(micros float64) float64 { return micros / microsPerMilli }

// Settings are a driver's settings: the module's opening event, and values that only its host uses. Times are
// milliseconds.
type Settings struct {
	Opening         *logic.Opening
	OpTypes         map[string]int // index of each op type in the opening, by name
	Index           int            // this driver's index among all drivers
	ConnectTimeout  float64
	ConnIdleTimeout float64 // after this members close an idle connection
	DrainGrace      float64 // from the notice of a drain until sends must have stopped; 0 if unknown
}

// Parse parses the settings object. The seed is that of the module's random generator.
func Parse(object []byte, seed uint64) (Settings, error) {
	var s setup
	if err := json.Unmarshal(object, &s); err != nil {
		return Settings{}, fmt.Errorf("setup: %w", err)
	}
	if len(s.Family.Needs) != len(s.Profiles) {
		return Settings{}, fmt.Errorf("setup: %d profiles but %d needs_by_class", len(s.Profiles), len(s.Family.Needs))
	}
	o, err := s.opening(seed)
	if err != nil {
		return Settings{}, err
	}
	opTypes := make(map[string]int, len(s.Profiles))
	for i, p := range s.Profiles {
		opType, err := s.opType(i)
		if err != nil {
			return Settings{}, err
		}
		o.OpTypes = append(o.OpTypes, opType)
		opTypes[p.Name] = i
	}
	return Settings{
		Opening:         o,
		OpTypes:         opTypes,
		Index:           s.Index,
		ConnectTimeout:  milliseconds(s.Limits.ConnectTime),
		ConnIdleTimeout: milliseconds(s.Limits.ConnIdle),
		DrainGrace:      milliseconds(s.Rules.StopSending),
	}, nil
}

// opening returns the module's opening event without op types.
func (s *setup) opening(seed uint64) (*logic.Opening, error) {
	o := &logic.Opening{
		Seed:            seed,
		Drivers:         s.Siblings,
		Zone:            s.Zone,
		Tick:            milliseconds(s.Tick),
		PositionZero:    milliseconds(s.Family.PositionZero),
		Positions:       s.Family.Stamps,
		ListOnRequest:   s.Registry == "on_request",
		MayProbe:        s.Limits.MayProbe,
		MayCancel:       s.Limits.Cancel,
		MayMessage:      s.Limits.Peers,
		MayOverlap:      s.Limits.ParallelTries,
		SendCap:         s.Limits.SendCap,
		ColdFrom:        s.Rules.ColdFrom,
		ColdFor:         milliseconds(s.Rules.Cold),
		FallMultiple:    s.Rules.TipMultiple,
		FallSpan:        milliseconds(s.Rules.Fall),
		OnlyDrainBinds:  s.Rules.OnlyDrainingBind,
		ReportsByProbe:  s.Report.Source != "silent" && slices.Contains(s.Report.Fields, "x1"),
		MaxMessageBytes: MaxMessageBytes,
	}
	if s.Limits.RetryAfter {
		o.MaxRetryAfter = milliseconds(s.Limits.MaxRetryAfter)
	}
	var err error
	if o.Checks, err = lookup(checks, s.Family.Checks, "checks"); err != nil {
		return nil, err
	}
	if o.SessionCarried, err = lookup(writeMarks, s.Family.WriteMarks, "write_marks"); err != nil {
		return nil, err
	}
	o.ListRole, err = lookup(listRoleModes, s.Family.ShowsRole, "shows_role")
	return o, err
}

// opType converts the i-th profile to an op type of the module.
func (s *setup) opType(i int) (t logic.OpType, err error) {
	p := s.Profiles[i]
	t = logic.OpType{
		Window:        milliseconds(p.Window),
		LatencyTarget: milliseconds(p.Aim),
		OpTimeout:     milliseconds(p.Deadline),
		Value:         p.Points,
	}
	if t.Need, err = lookup(needs, s.Family.Needs[i], "needs_by_class"); err != nil {
		return t, err
	}
	if t.Effect, err = lookup(effects, p.Effect, "effect"); err != nil {
		return t, err
	}
	if t.Scope, err = lookup(scopes, p.KeyScope, "key_scope"); err != nil {
		return t, err
	}
	if i < len(s.Family.OldestData) {
		t.MaxAge = milliseconds(s.Family.OldestData[i])
	}
	return t, nil
}

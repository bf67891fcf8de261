package experiment

// This file owns the format of experiment files, in HCL. Unknown names and values are errors.

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsimple"

	"weirwind/internal/lab/emulator"
	"weirwind/logic"
)

const maxSeeds = 1000 // maximum number of seeds of an experiment

// File is the content of an experiment file.
type File struct {
	Scenarios   []scenarioBlock `hcl:"scenario,block"`
	Experiments []Experiment    `hcl:"experiment,block"`
}

// scenarioBlock is a deployment with its clients and faults. Times are Go durations.
type scenarioBlock struct {
	Name        string       `hcl:"name,label"`
	Drivers     int          `hcl:"drivers,optional"`
	Groups      int          `hcl:"groups,optional"`
	Members     int          `hcl:"members,optional"`
	Cores       int          `hcl:"cores,optional"`
	Work        string       `hcl:"work,optional"`
	Load        float64      `hcl:"load,optional"`
	Lag         string       `hcl:"lag,optional"`
	For         string       `hcl:"for,optional"`
	Retries     int          `hcl:"retries,optional"`
	Zones       int          `hcl:"zones,optional"`
	Hop         string       `hcl:"hop,optional"`
	FarHop      string       `hcl:"far_hop,optional"`
	Handshake   string       `hcl:"handshake,optional"`
	Connections int          `hcl:"connections,optional"`
	Elect       string       `hcl:"elect,optional"`
	Ops         []opBlock    `hcl:"op,block"`
	Faults      []faultBlock `hcl:"fault,block"`
}

// opBlock is an op type with its share of the clients' ops.
type opBlock struct {
	Name    string  `hcl:"name,label"`
	Share   float64 `hcl:"share"`
	Need    string  `hcl:"need"`
	MaxAge  string  `hcl:"max_age,optional"`
	Effect  string  `hcl:"effect,optional"`
	Window  string  `hcl:"window,optional"`
	Target  string  `hcl:"target"`
	Timeout string  `hcl:"timeout"`
	Value   float64 `hcl:"value,optional"`
}

// faultBlock is a fault of the schedule; docs/lab.md names the kinds.
type faultBlock struct {
	What string  `hcl:"what,label"`
	At   string  `hcl:"at"`
	For  string  `hcl:"for,optional"`
	On   string  `hcl:"on,optional"`
	By   float64 `hcl:"by,optional"`
}

// Experiment is a scenario with its variants, numbers of drivers, loads and seeds.
type Experiment struct {
	Name     string         `hcl:"name,label"`
	Scenario string         `hcl:"scenario"`
	Seeds    int            `hcl:"seeds,optional"`
	Drivers  []int          `hcl:"drivers,optional"`
	Loads    []float64      `hcl:"loads,optional"`
	Variants []variantBlock `hcl:"variant,block"`
}

// variantBlock holds a variant's changes to the scenario.
type variantBlock struct {
	Name     string       `hcl:"name,label"`
	Policy   string       `hcl:"policy,optional"`
	Retries  *int         `hcl:"retries,optional"`
	Advice   *bool        `hcl:"advice,optional"`
	Probes   *bool        `hcl:"probes,optional"`
	Messages float64      `hcl:"messages,optional"`
	Faults   []faultBlock `hcl:"fault,block"` // in addition to the scenario's
}

// Plan describes one run.
type Plan struct {
	Experiment, Scenario, Variant string
	Setup                         emulator.Setup
}

// ParseFile returns the plans of the runs that a file describes. Syntax errors contain file, line and column.
func ParseFile(name string, text []byte) ([]Plan, error) {
	var f File
	if err := hclsimple.Decode(name, text, nil, &f); err != nil {
		if all := (hcl.Diagnostics)(nil); errors.As(err, &all) && len(all) > 0 {
			return nil, all[0]
		}
		return nil, err
	}
	scenarios, err := f.setups()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	var plans []Plan
	seen := map[string]bool{}
	for i := range f.Experiments {
		e := &f.Experiments[i]
		base, known := scenarios[e.Scenario]
		if !known || len(e.Variants) == 0 || seen[e.Name] || e.Seeds < 0 || e.Seeds > maxSeeds {
			return nil, fmt.Errorf("%s: experiment %q needs a unique name, a scenario of the file, a variant and "+
				"up to %d seeds", name, e.Name, maxSeeds)
		}
		seen[e.Name] = true
		more, err := e.plans(base)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		plans = append(plans, more...)
	}
	return plans, nil
}

// setups returns the setups of the scenarios by name.
func (f *File) setups() (map[string]emulator.Setup, error) {
	setups := map[string]emulator.Setup{}
	for _, s := range f.Scenarios {
		setup, err := s.setup()
		if err != nil {
			return nil, fmt.Errorf("scenario %q: %w", s.Name, err)
		}
		if _, duplicate := setups[s.Name]; duplicate {
			return nil, fmt.Errorf("scenario %q is defined twice", s.Name)
		}
		setups[s.Name] = setup
	}
	return setups, nil
}

// plans returns an experiment's runs of a scenario, one for each combination of number of drivers, load, seed and
// variant.
func (e *Experiment) plans(base emulator.Setup) (plans []Plan, err error) {
	sizes, loads := e.Drivers, e.Loads
	if len(sizes) == 0 {
		sizes = []int{base.Drivers}
	}
	if len(loads) == 0 {
		loads = []float64{base.Load}
	}
	for _, drivers := range sizes {
		for _, load := range loads {
			for seed := range max(e.Seeds, 1) {
				for i := range e.Variants {
					v, s := &e.Variants[i], base
					s.Drivers, s.Load, s.Seed = drivers, load, uint64(seed+1)
					if err := v.apply(&s); err != nil {
						return nil, fmt.Errorf("experiment %q, variant %q: %w", e.Name, v.Name, err)
					}
					plans = append(plans, Plan{e.Name, e.Scenario, v.Name, s})
				}
			}
		}
	}
	return plans, nil
}

// apply applies a variant's changes to a setup.
func (v *variantBlock) apply(setup *emulator.Setup) error {
	setup.Policy = cmp.Or(v.Policy, "module")
	if v.Retries != nil {
		setup.Retries = *v.Retries
	}
	setup.NoAdvice = v.Advice != nil && !*v.Advice
	setup.MessageRate, setup.NoProbes = v.Messages, v.Probes != nil && !*v.Probes
	more, err := setupFaults(v.Faults)
	setup.Faults = append(append([]emulator.Fault{}, setup.Faults...), more...)
	return cmp.Or(err, setup.Check())
}

var (
	needs = map[string]logic.Need{"any": logic.Any, "bounded": logic.Bounded, "session": logic.Session,
		"fresh": logic.Fresh, "write": logic.Write}
	effects = map[string]logic.Effect{"": logic.Retryable, "retryable": logic.Retryable, "tokened": logic.Tokened,
		"non-retryable": logic.NonRetryable}
)

// milliseconds parses a duration; an empty text stands for the default value.
func milliseconds(text string, defaultValue float64) (float64, error) {
	if text == "" {
		return defaultValue, nil
	}
	d, err := time.ParseDuration(text)
	if err == nil && d < 0 {
		err = fmt.Errorf("duration %s is negative", text)
	}
	return float64(d) / float64(time.Millisecond), err
}

// setup returns the emulator's setup with this package's defaults and the module as policy.
func (s *scenarioBlock) setup() (emulator.Setup, error) {
	setup := emulator.Setup{
		Drivers:        cmp.Or(s.Drivers, 3),
		Groups:         cmp.Or(s.Groups, 1),
		Members:        cmp.Or(s.Members, 5),
		Cores:          cmp.Or(s.Cores, 4),
		Load:           cmp.Or(s.Load, 0.4),
		Retries:        s.Retries,
		Zones:          s.Zones,
		MaxConnections: s.Connections,
		Policy:         emulator.PolicyModule,
	}
	var times durations
	times.parse(&setup.ServiceTime, s.Work, 40)
	times.parse(&setup.ReplicationLag, s.Lag, 20)
	times.parse(&setup.Duration, s.For, 30000)
	times.parse(&setup.ZoneLatency, s.Hop, 0)
	times.parse(&setup.CrossZoneLatency, s.FarHop, 0)
	times.parse(&setup.Handshake, s.Handshake, 0)
	times.parse(&setup.ElectionTime, s.Elect, 0)
	for _, op := range s.Ops {
		kind, err := op.kind(&times)
		if err != nil {
			return setup, err
		}
		setup.Mix = append(setup.Mix, kind)
	}
	var err error
	setup.Faults, err = setupFaults(s.Faults)
	return setup, cmp.Or(times.err, err, setup.Check())
}

// kind returns the emulator's op kind.
func (o *opBlock) kind(times *durations) (emulator.OpKind, error) {
	need, needKnown := needs[o.Need]
	effect, effectKnown := effects[o.Effect]
	if !needKnown || !effectKnown {
		return emulator.OpKind{}, fmt.Errorf("op %q: unknown need %q or effect %q", o.Name, o.Need, o.Effect)
	}
	t := logic.OpType{Need: need, Effect: effect, Value: cmp.Or(o.Value, 1)}
	times.parse(&t.MaxAge, o.MaxAge, 0)
	times.parse(&t.Window, o.Window, 0)
	times.parse(&t.LatencyTarget, o.Target, 0)
	times.parse(&t.OpTimeout, o.Timeout, 0)
	return emulator.OpKind{Name: o.Name, Share: o.Share, OpType: t}, nil
}

// durations parses durations and keeps the first error.
type durations struct{ err error }

func (d *durations) parse(to *float64, text string, defaultValue float64) {
	x, err := milliseconds(text, defaultValue)
	*to, d.err = x, cmp.Or(d.err, err)
}

// setupFaults returns the emulator's faults; the target of a fault without one is all.
func setupFaults(blocks []faultBlock) (faults []emulator.Fault, firstErr error) {
	for _, f := range blocks {
		at, err := milliseconds(f.At, 0)
		duration, err2 := milliseconds(f.For, 0)
		firstErr = cmp.Or(firstErr, err, err2)
		faults = append(faults,
			emulator.Fault{At: at, Duration: duration, Kind: f.What, Target: cmp.Or(f.On, "all"), Factor: f.By})
	}
	return faults, firstErr
}

// setupJSON returns the JSON form of a setup, which is stored with its result.
func setupJSON(setup emulator.Setup) string {
	b, err := json.Marshal(setup)
	if err != nil {
		panic(err)
	}
	return string(b)
}

package fleet

// This file owns scripts: what is done to which processes when, and the page that shows who saw whom when. It must
// never show what no process said.

import (
	"bytes"
	"context"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/hcl/v2/hclsimple"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/lab"
	"weirwind/internal/standin/links"
)

// Script is one that can be played.
type Script struct {
	Drivers int    `hcl:"drivers"`
	Spare   int    `hcl:"spare,optional"` // places for drivers that come later
	Period  string `hcl:"period,optional"`
	End     string `hcl:"end"`
	Seed    int    `hcl:"seed,optional"`
	Steps   []Step `hcl:"step,block"`

	Program     string
	period, end time.Duration
}

// Step is one thing that is done: kill, stop, freeze, thaw or start drivers, set one direction of a pair (way), cut
// into parts, or heal all.
type Step struct {
	Kind       string  `hcl:"what,label"`
	At         string  `hcl:"at"`
	Drivers    []int   `hcl:"drivers,optional"`
	Partitions [][]int `hcl:"parts,optional"`
	From       int     `hcl:"from,optional"`
	To         int     `hcl:"to,optional"`
	Blocked    bool    `hcl:"cut,optional"`
	Loss       float64 `hcl:"loss,optional"`
	Duplicate  float64 `hcl:"double,optional"`
	Delay      string  `hcl:"delay,optional"`
	Jitter     string  `hcl:"jitter,optional"`
	Rate       int     `hcl:"rate,optional"`

	at            time.Duration
	delay, jitter time.Duration
}

// ParseScript reads one; errors carry file and line.
func ParseScript(name string, text []byte) (*Script, error) {
	s := &Script{}
	if err := hclsimple.Decode(name, text, nil, s); err != nil {
		return nil, err
	}
	var err error
	span := func(what, text string, otherwise time.Duration) (d time.Duration) {
		if text == "" {
			return otherwise
		}
		d, e := time.ParseDuration(text)
		if e != nil || d < 0 {
			err = fmt.Errorf("%s: %s is %q; it wants a time such as \"10s\"", name, what, text)
		}
		return d
	}
	s.period, s.end = span("period", s.Period, 500*time.Millisecond), span("end", s.End, 0)
	if s.Drivers < 1 || s.Spare < 0 || s.Drivers+s.Spare > 60 || s.period < 50*time.Millisecond || s.end > time.Hour {
		return nil, fmt.Errorf("%s: 1 to 60 drivers, a period of 50ms at least, an hour at most", name)
	}
	n := s.Drivers + s.Spare
	for i := range s.Steps {
		p := &s.Steps[i]
		p.at, p.delay, p.jitter = span("at", p.At, 0), span("delay", p.Delay, 0), span("jitter", p.Jitter, 0)
		if !slices.Contains([]string{"kill", "stop", "freeze", "thaw", "start", "way", "cut", "heal"}, p.Kind) {
			return nil, fmt.Errorf("%s: step %q is not known", name, p.Kind)
		}
		for _, d := range append(slices.Concat(p.Partitions...), append(p.Drivers, p.From, p.To)...) {
			if d < 0 || d >= n {
				return nil, fmt.Errorf("%s: there is no driver %d", name, d)
			}
		}
	}
	slices.SortStableFunc(s.Steps, func(a, b Step) int { return int(a.at - b.at) })
	return s, err
}

// String tells a step in a few words.
func (p *Step) String() string {
	switch p.Kind {
	case "way":
		return fmt.Sprintf("n%d to n%d: cut %v, loss %g, double %g, delay %s+%s, rate %d", p.From, p.To, p.Blocked, p.Loss,
			p.Duplicate, p.delay, p.jitter, p.Rate)
	case "cut":
		return fmt.Sprint("cut into ", p.Partitions)
	case "heal":
		return "heal"
	}
	return fmt.Sprint(p.Kind, " ", p.Drivers)
}

func (p *Step) apply(f *Fleet) error {
	switch p.Kind {
	case "way":
		f.Links.Set(
			p.From,
			p.To,
			links.Link{Blocked: p.Blocked, Loss: p.Loss, Duplicate: p.Duplicate, Delay: p.delay, Jitter: p.jitter, Rate: p.Rate},
		)
	case "cut":
		part := make([]int, len(f.Drivers))
		for i, members := range p.Partitions {
			for _, d := range members {
				part[d] = i + 1
			}
		}
		f.Links.Partition(part...)
	case "heal":
		f.Links.Heal()
	}
	for _, i := range p.Drivers {
		d := f.Drivers[i]
		switch p.Kind {
		case "kill":
			d.Kill()
		case "stop":
			go d.Stop()
		case "freeze":
			d.Freeze()
		case "thaw":
			d.Thaw()
		case "start":
			if err := d.Start(); err != nil {
				return err
			}
		}
	}
	return nil
}

// span is a time for which something was said.
type span struct {
	From, To float64 // seconds
	What     string
}

// history is what one driver said, by whom it was about; "" is its own standing.
type reports map[string][]span

func (h reports) record(now float64, of, state string) {
	all := h[of]
	if n := len(all); n > 0 && all[n-1].What == state {
		all[n-1].To = now
		return
	} else if n > 0 {
		all[n-1].To = now
	}
	h[of] = append(all, span{now, now, state})
}

// Play plays a script, prints what happens, and gives the page.
func (s *Script) Run(ctx context.Context, out io.Writer) ([]byte, error) {
	c, err := lab.Start(lab.Options{Seed: uint64(s.Seed)})
	if err != nil {
		return nil, err
	}
	defer c.Stop()
	f, err := New(
		Options{Program: s.Program, Drivers: s.Drivers, Spare: s.Spare, Period: s.period, Seed: uint64(s.Seed), Cluster: c},
	)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := f.StartAll(); err != nil {
		return nil, err
	}
	p := &scriptRun{script: s, fleet: f, out: out, began: time.Now(), killed: map[string]float64{}}
	for range f.Drivers {
		p.reports = append(p.reports, reports{})
	}
	for ctx.Err() == nil && time.Since(p.began) < s.end {
		if err := p.runDueSteps(); err != nil {
			return nil, err
		}
		p.poll()
		select {
		case <-ctx.Done():
		case <-time.After(s.period / 4):
		}
	}
	for i, d := range f.Drivers {
		var text []string
		for _, x := range p.reports[i][""] {
			text = append(text, fmt.Sprintf("%.1fs %s", x.From, x.What))
		}
		fmt.Fprintf(out, "%s: %s\n", d.Name, strings.Join(text, ", "))
	}
	return renderPage(f, p.reports, p.executed, p.now())
}

// performance is a script while it is played.
type scriptRun struct {
	script *Script
	fleet  *Fleet
	out    io.Writer
	began  time.Time

	next     int                // of the script's steps
	executed []span             // those that were carried out
	killed   map[string]float64 // since when, of those that not all know of

	mu      sync.Mutex
	reports []reports // by driver
}

// now is the time since the begin, in seconds.
func (p *scriptRun) now() float64 { return time.Since(p.began).Seconds() }

// steps carries out what is due.
func (p *scriptRun) runDueSteps() error {
	for p.next < len(p.script.Steps) && time.Since(p.began) >= p.script.Steps[p.next].at {
		step := &p.script.Steps[p.next]
		p.next++
		fmt.Fprintf(p.out, "%6.1fs %s\n", p.now(), step)
		p.executed = append(p.executed, span{p.now(), 0, step.String()})
		for _, i := range step.Drivers {
			if step.Kind == "kill" {
				p.killed[p.fleet.Drivers[i].Name] = p.now()
			}
		}
		if err := step.apply(p.fleet); err != nil {
			return err
		}
	}
	return nil
}

// look asks all drivers for their view, and says which of the killed all know of.
func (p *scriptRun) poll() {
	var each sync.WaitGroup
	unknown := map[string]bool{}
	for i, d := range p.fleet.Drivers {
		each.Go(func() {
			st, err := d.Status()
			p.mu.Lock()
			defer p.mu.Unlock()
			if err != nil {
				p.reports[i].record(p.now(), "", "silent")
				return
			}
			p.reports[i].record(p.now(), "", st.Partition.String())
			for _, v := range st.Drivers {
				if v.State != membership.Failed {
					unknown[v.Name] = true
				}
				what := v.State.String()
				if v.State == membership.Alive && !v.Reachable {
					what = "unheard"
				}
				p.reports[i].record(p.now(), v.Name, what)
			}
		})
	}
	each.Wait()
	for name, at := range p.killed {
		if !unknown[name] {
			fmt.Fprintf(p.out, "%6.1fs all know that %s failed, %.2f s after the kill\n", p.now(), name, p.now()-at)
			delete(p.killed, name)
		}
	}
}

var colours = map[string]string{"alive": "#4a9", "whole": "#4a9", "larger": "#8c6", "suspect": "#fc5", "unsure": "#fc5",
	"smaller": "#f96", "alone": "#e55", "failed": "#e55", "left": "#bbb", "unheard": "#69c", "silent": "#eee"}

var page = template.Must(template.New("fleet").Parse(`<!DOCTYPE html><meta charset="utf-8"><title>weirlab fleet</title>
<style>body{font:13px sans-serif;margin:2em}td{padding:0 6px 0 0}svg{display:block}` +
	`.k span{padding:2px 8px;margin-right:4px}</style>
<h1>Who saw whom when</h1><p class="k">{{range .Key}}<span style="background:{{.Colour}}">{{.Name}}</span>{{end}}</p>
<ol>{{range .Steps}}<li>{{printf "%.1f" .From}} s: {{.What}}</li>{{end}}</ol>
{{range .Drivers}}<h2>{{.Name}}</h2><table>{{range .Rows}}<tr><td>{{.Of}}<td><svg width="900" height="12">` +
	`{{range .Bars}}<rect x="{{printf "%.1f" .X}}" y="1" width="{{printf "%.1f" .W}}" height="10" ` +
	`fill="{{.Colour}}"><title>{{.Title}}</title></rect>{{end}}</svg>{{end}}</table>{{end}}
`))

// draw makes the page.
func renderPage(f *Fleet, reports []reports, steps []span, end float64) ([]byte, error) {
	type bar struct {
		X, W          float64
		Colour, Title string
	}
	type row struct {
		Of   string
		Bars []bar
	}
	type driver struct {
		Name string
		Rows []row
	}
	type key struct{ Name, Colour string }
	var x struct {
		Key     []key
		Steps   []span
		Drivers []driver
	}
	x.Steps = steps
	for _, n := range []string{"whole", "larger", "smaller", "alone", "unsure", "alive", "unheard", "suspect", "failed",
		"left", "silent"} {
		x.Key = append(x.Key, key{n, colours[n]})
	}
	scale := 900 / max(end, 1)
	for i, h := range reports {
		d := driver{Name: f.Drivers[i].Name}
		var names []string
		for n := range h {
			names = append(names, n)
		}
		slices.SortFunc(names, func(a, b string) int {
			if len(a) != len(b) {
				return len(a) - len(b)
			}
			return strings.Compare(a, b)
		})
		for _, n := range names {
			r := row{Of: n}
			if n == "" {
				r.Of = "standing"
			}
			for _, p := range h[n] {
				r.Bars = append(r.Bars, bar{p.From * scale, max((p.To-p.From)*scale, 1), colours[p.What],
					fmt.Sprintf("%s %.1f to %.1f s", p.What, p.From, p.To)})
			}
			d.Rows = append(d.Rows, r)
		}
		x.Drivers = append(x.Drivers, d)
	}
	var b bytes.Buffer
	err := page.Execute(&b, x)
	return b.Bytes(), err
}

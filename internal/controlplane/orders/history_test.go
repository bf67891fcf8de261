package orders

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"weirwind/internal/controlplane/controlmsg"
)

// request is the input of an operation. Changes of the same bytes on the same base have the same id.
type request struct {
	read          bool
	base, gen, id int
	valid         bool
}

// response is the output of an operation. Code 0 is an unknown outcome after all retries.
type response struct {
	code, gen, id int
}

// register is the model's state: the newest version, and the ids of the changes that led to it.
type register struct {
	gen, id int
	applied string
}

func (r register) has(id int) bool { return strings.Contains(r.applied, fmt.Sprint(",", id, ",")) }

// registerModel is a versioned register: each version has one successor; a change that was applied is acknowledged or
// its outcome is unknown; a change that was rejected is on a base that is behind, or invalid for good.
var registerModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{applied: ","}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(register), input.(request), output.(response)
		if in.read {
			if out.code == 0 || out.code == 404 && s.gen == 0 || out.code == 200 && out.gen == s.gen && out.id == s.id {
				return []any{s}
			}
			return nil
		}
		next := register{in.gen, in.id, s.applied + fmt.Sprint(in.id, ",")}
		fits := in.valid && in.base == s.gen && in.gen > s.gen && !s.has(in.id)
		switch {
		case out.code == 200 && fits:
			return []any{next}
		case out.code == 200 && s.has(in.id):
			return []any{s}
		case out.code >= 400 && !s.has(in.id) && (!in.valid || in.base < s.gen):
			return []any{s}
		case out.code == 0 && fits:
			return []any{s, next}
		case out.code == 0:
			return []any{s}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// operator is a client that submits one change after the other, at times the next before the last was answered.
type operator struct {
	sim         *simulation
	client      int
	base        int // the newest version that it knows of, or expects
	inFlight    int // calls
	lastInput   request
	lastRequest controlmsg.Request
}

// simulation is one run of operators against a cluster.
type simulation struct {
	*cluster
	operators []*operator
	history   []porcupine.Operation
	lastID    int
	timers    []func() bool // true: it fired
}

func (sim *simulation) after(wait float64, f func()) {
	at := sim.now + wait
	sim.timers = append(sim.timers, func() bool {
		if sim.now < at {
			return false
		}
		f()
		return true
	})
}

func (sim *simulation) runTimers() {
	due := sim.timers
	sim.timers = nil
	for _, f := range due {
		if !f() {
			sim.timers = append(sim.timers, f)
		}
	}
}

// callWithRetries retries as callers do: after a timeout or a 5xx, unchanged, at any server.
func (sim *simulation) callWithRetries(in request, r controlmsg.Request, client int, done func(response)) {
	op := porcupine.Operation{ClientId: client, Input: in, Call: int64(sim.now * 1000)}
	over := false
	end := func(out response) {
		if over {
			return
		}
		over = true
		op.Output, op.Return = out, int64(sim.now*1000)+1
		if out.code == 0 && !in.read {
			op.Return = math.MaxInt64 / 2 // copies of it may be in flight
		}
		sim.history = append(sim.history, op)
		done(out)
	}
	var attempt func(nth int)
	attempt = func(nth int) {
		if nth == maxAttempts || over {
			end(response{})
			return
		}
		answered := false
		sim.call(sim.r.IntN(len(sim.servers)), r, func(a Answer) {
			if answered || over {
				return
			}
			answered = true
			if a.Status >= 500 {
				sim.after(100*float64(nth+1), func() { attempt(nth + 1) })
				return
			}
			out := response{code: a.Status}
			if in.read && a.Status == 200 {
				out.gen, out.id = parseVersion(sim.t, a.Body)
			}
			end(out)
		})
		sim.after(callTimeoutMs, func() {
			if !answered {
				answered = true
				attempt(nth + 1)
			}
		})
	}
	attempt(0)
}

// parseVersion gives the id of the change that made a version: amendments add services, replacements have none.
func parseVersion(t *testing.T, raw []byte) (gen, id int) {
	var c struct {
		Gen    int
		Svcs   []struct{ Name string }
		Limits struct{ TxIdleMs int }
	}
	if err := json.Unmarshal(raw, &c); err != nil {
		t.Fatal(err)
	}
	if n := len(c.Svcs); n > 0 {
		id, _ = strconv.Atoi(c.Svcs[n-1].Name)
		return c.Gen, id
	}
	return c.Gen, c.Limits.TxIdleMs
}

// submitChange calls with the operator's next change.
func (o *operator) submitChange() {
	sim := o.sim
	other := sim.operators[sim.r.IntN(len(sim.operators))]
	in, r := request{base: o.base, valid: true}, controlmsg.Request{}
	switch {
	case sim.r.IntN(6) == 0 && other.lastInput.id > 0: // the same change from two operators
		in, r = other.lastInput, other.lastRequest
	default:
		sim.lastID++
		in.id, in.gen = sim.lastID, in.base+1+sim.r.IntN(3) // and different changes with the same version
		if sim.r.IntN(10) == 0 {
			in.gen, in.valid = in.base, false
		}
		if r = replacement(in.base, in.gen, in.id); in.base > 0 && sim.r.IntN(3) == 0 {
			r = amendment(in.base, in.gen, in.id)
		}
	}
	o.lastInput, o.lastRequest = in, r
	if in.valid && sim.r.IntN(3) == 0 {
		o.base = in.gen // the next builds on it before it is answered
	}
	o.inFlight++
	sim.callWithRetries(in, r, o.client, func(out response) {
		o.inFlight--
		if out.code == 200 && in.gen > o.base {
			o.base = in.gen
		}
	})
}

func (o *operator) readConfig() {
	o.inFlight++
	o.sim.callWithRetries(request{read: true}, controlmsg.Request{ReadConfig: true}, o.client, func(out response) {
		o.inFlight--
		if out.code == 200 {
			o.base = out.gen
		}
	})
}

// simulate gives a history of operators' calls under faults, with a read at its end.
func simulate(t *testing.T, seed uint64, onAnswer func(at int, a Answer)) *simulation {
	sim := &simulation{cluster: newCluster(t, seed, 3+2*int(seed%2))}
	sim.onAnswer = onAnswer
	for i := range 4 {
		sim.operators = append(sim.operators, &operator{sim: sim, client: i})
	}
	run := func(ms, risk float64) {
		for end := sim.now + ms; sim.now < end; {
			for _, o := range sim.operators {
				switch {
				case o.inFlight >= 2 || sim.r.IntN(40) > 0 || sim.lastID > 12:
				case sim.r.IntN(3) == 0:
					o.readConfig()
				default:
					o.submitChange()
				}
			}
			sim.step(risk)
			sim.runTimers()
		}
	}
	run(1500, 0)
	for range 3 {
		sim.injectFault()
		run(300+1800*sim.r.Float64(), 0.003)
		sim.recoverAll()
		run(600, 0)
	}
	for len(sim.timers) > 0 {
		sim.step(0)
		sim.runTimers()
	}
	sim.operators[0].readConfig()
	for len(sim.timers) > 0 {
		sim.step(0)
		sim.runTimers()
	}
	return sim
}

// What operators asked and were answered is linearizable. Seen to fail with each of these removed, alone: the
// search in the history (State.HasApplied, in step.apply); the comparison of the base (State.checkBase, in config);
// the wait for the commit (Committed, in stepProposed); the wait for a base that is ahead, by a rejection
// (verdictPending); the confirmation of a read (ReadConfirmed, in stepConfirming).
func TestOrdersAreLinearizable(t *testing.T) {
	seeds := 500
	if testing.Short() {
		seeds = 100
	}
	if s := os.Getenv("HISTORIES"); s != "" { // 10,000 take a minute and a half
		seeds, _ = strconv.Atoi(s)
	}
	codes := map[int]int{}
	for seed := range seeds {
		sim := simulate(t, uint64(seed), nil)
		for _, o := range sim.history {
			if !o.Input.(request).read {
				codes[o.Output.(response).code]++
			}
		}
		if r := porcupine.CheckOperationsTimeout(registerModel, sim.history, 20*time.Second); r != porcupine.Ok {
			for _, o := range sim.history {
				t.Logf("%8d %8d client %d %+v: %+v", o.Call/1000, o.Return/1000, o.ClientId, o.Input, o.Output)
			}
			t.Fatalf("seed %d, %d calls: %v", seed, len(sim.history), r)
		}
	}
	t.Log("orders by their answers:", codes)
	if codes[200] < seeds || codes[412] < seeds/4 || codes[400] == 0 || codes[0] < seeds/50 {
		t.Errorf("too few of a kind: %v", codes)
	}
}

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

// request is the input of an operation. Changes with the same bytes and base have the same id.
type request struct {
	read              bool
	base, version, id int
	valid             bool
}

// response is the output of an operation. Code 0 means that the outcome is unknown after all retries.
type response struct {
	code, version, id int
}

// registerState is the state of the model: the newest version, and the ids of the changes that led to it.
type registerState struct {
	version, id int
	applied     string // ids of all applied changes, each between commas
}

func (r registerState) has(id int) bool { return strings.Contains(r.applied, fmt.Sprint(",", id, ",")) }

// registerModel is a versioned register. Each version has one successor. An applied change is acknowledged or its
// outcome is unknown. A rejected change has a base that already has a successor, or is invalid on any base.
var registerModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{applied: ","}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(registerState), input.(request), output.(response)
		if in.read {
			if out.code == 0 || out.code == 404 && s.version == 0 ||
				out.code == 200 && out.version == s.version && out.id == s.id {
				return []any{s}
			}
			return nil
		}
		next := registerState{in.version, in.id, s.applied + fmt.Sprint(in.id, ",")}
		applicable := in.valid && in.base == s.version && in.version > s.version && !s.has(in.id)
		switch {
		case out.code == 200 && applicable:
			return []any{next}
		case out.code == 200 && s.has(in.id):
			return []any{s}
		case out.code >= 400 && !s.has(in.id) && (!in.valid || in.base < s.version):
			return []any{s}
		case out.code == 0 && applicable:
			return []any{s, next}
		case out.code == 0:
			return []any{s}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// operator is a client that submits one change after another, sometimes before the previous one was answered.
type operator struct {
	sim         *simulation
	client      int
	base        int // newest version that it knows of, or that its pending change will create
	inFlight    int // number of calls
	lastInput   request
	lastRequest controlmsg.Request
}

// simulation runs operators against a cluster and records the history of their calls.
type simulation struct {
	*cluster
	operators    []*operator
	history      []porcupine.Operation
	lastChangeID int
	timers       []func() bool // each returns true once it has fired
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

// callWithRetries calls a random server and retries like real clients: after a timeout or a 5xx, with the same request.
func (sim *simulation) callWithRetries(in request, req controlmsg.Request, client int, done func(response)) {
	op := porcupine.Operation{ClientId: client, Input: in, Call: int64(sim.now * 1000)}
	finished := false
	finish := func(out response) {
		if finished {
			return
		}
		finished = true
		op.Output, op.Return = out, int64(sim.now*1000)+1
		if out.code == 0 && !in.read {
			op.Return = math.MaxInt64 / 2 // copies of it may still be in flight
		}
		sim.history = append(sim.history, op)
		done(out)
	}
	var attempt func(nth int)
	attempt = func(attemptNumber int) {
		if attemptNumber == maxAttempts || finished {
			finish(response{})
			return
		}
		answered := false
		sim.call(sim.random.IntN(len(sim.servers)), req, func(a Answer) {
			if answered || finished {
				return
			}
			answered = true
			if a.Status >= 500 {
				sim.after(100*float64(attemptNumber+1), func() { attempt(attemptNumber + 1) })
				return
			}
			out := response{code: a.Status}
			if in.read && a.Status == 200 {
				out.version, out.id = parseVersion(sim.t, a.Body)
			}
			finish(out)
		})
		sim.after(callTimeoutMs, func() {
			if !answered {
				answered = true
				attempt(attemptNumber + 1)
			}
		})
	}
	attempt(0)
}

// parseVersion returns a configuration's version and the id of the change that created it. An amendment has its id in
// the name of the last service, a replacement has it in a limit.
func parseVersion(t *testing.T, raw []byte) (version, id int) {
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

// submitChange submits the operator's next change.
func (o *operator) submitChange() {
	sim := o.sim
	other := sim.operators[sim.random.IntN(len(sim.operators))]
	in, req := request{base: o.base, valid: true}, controlmsg.Request{}
	switch {
	case sim.random.IntN(6) == 0 && other.lastInput.id > 0: // two operators submit the same change
		in, req = other.lastInput, other.lastRequest
	default:
		sim.lastChangeID++
		in.id, in.version = sim.lastChangeID, in.base+1+sim.random.IntN(3) // several changes may create the same version
		if sim.random.IntN(10) == 0 {
			in.version, in.valid = in.base, false
		}
		if req = replacement(in.base, in.version, in.id); in.base > 0 && sim.random.IntN(3) == 0 {
			req = amendment(in.base, in.version, in.id)
		}
	}
	o.lastInput, o.lastRequest = in, req
	if in.valid && sim.random.IntN(3) == 0 {
		o.base = in.version // the next change builds on it before it is answered
	}
	o.inFlight++
	sim.callWithRetries(in, req, o.client, func(out response) {
		o.inFlight--
		if out.code == 200 && in.version > o.base {
			o.base = in.version
		}
	})
}

func (o *operator) readConfig() {
	o.inFlight++
	o.sim.callWithRetries(request{read: true}, controlmsg.Request{ReadConfig: true}, o.client, func(out response) {
		o.inFlight--
		if out.code == 200 {
			o.base = out.version
		}
	})
}

// simulate runs operators' calls under faults, followed by a final read. onAnswer may be nil.
func simulate(t *testing.T, seed uint64, onAnswer func(at int, a Answer)) *simulation {
	sim := &simulation{cluster: newCluster(t, seed, 3+2*int(seed%2))}
	sim.onAnswer = onAnswer
	for i := range 4 {
		sim.operators = append(sim.operators, &operator{sim: sim, client: i})
	}
	run := func(ms, powerLossRate float64) {
		for end := sim.now + ms; sim.now < end; {
			for _, o := range sim.operators {
				switch {
				case o.inFlight >= 2 || sim.random.IntN(40) > 0 || sim.lastChangeID > 12:
				case sim.random.IntN(3) == 0:
					o.readConfig()
				default:
					o.submitChange()
				}
			}
			sim.step(powerLossRate)
			sim.runTimers()
		}
	}
	run(1500, 0)
	for range 3 {
		sim.injectFault()
		run(300+1800*sim.random.Float64(), 0.003)
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

// Operators' calls and answers are linearizable. The test fails if any one of these is removed from the code: the
// search in the history (State.HasApplied, in step.apply); the comparison of the base (State.checkBase, in config);
// the wait for the commit (Committed, in stepProposed); the wait for a base that is ahead, replaced by a rejection
// (verdictPending); the confirmation of a read (ReadConfirmed, in stepConfirming).
func TestOrdersAreLinearizable(t *testing.T) {
	seeds := 500
	if testing.Short() {
		seeds = 100
	}
	if s := os.Getenv("HISTORIES"); s != "" { // 10,000 take about 90 seconds
		seeds, _ = strconv.Atoi(s)
	}
	codes := map[int]int{}
	for seed := range seeds {
		sim := simulate(t, uint64(seed), nil)
		for _, op := range sim.history {
			if !op.Input.(request).read {
				codes[op.Output.(response).code]++
			}
		}
		if result := porcupine.CheckOperationsTimeout(registerModel, sim.history, 20*time.Second); result != porcupine.Ok {
			for _, op := range sim.history {
				t.Logf("%8d %8d client %d %+v: %+v", op.Call/1000, op.Return/1000, op.ClientId, op.Input, op.Output)
			}
			t.Fatalf("seed %d, %d calls: %v", seed, len(sim.history), result)
		}
	}
	t.Log("number of changes by status code:", codes)
	if codes[200] < seeds || codes[412] < seeds/4 || codes[400] == 0 || codes[0] < seeds/50 {
		t.Errorf("too few changes with one of the status codes: %v", codes)
	}
}

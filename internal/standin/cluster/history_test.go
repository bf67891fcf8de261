package cluster

import (
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

type configCall struct {
	show          bool
	base, version int
	operator      int
}

type configAnswer struct {
	code, version, operator int
}

// register models the configuration as operators see it: versions increase, and one change is accepted on each base.
var register = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{configAnswer{200, 1, 0}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(configAnswer), input.(configCall), output.(configAnswer)
		if in.show {
			if out.code != 200 || out.version == s.version && out.operator == s.operator {
				return []any{s}
			}
			return nil
		}
		next := configAnswer{200, in.version, in.operator}
		applicable := in.base == s.version && in.version > s.version
		switch {
		case out.code == 200 && applicable:
			return []any{next}
		case out.code == 200 && s.version == in.version && s.operator == in.operator: // an exact repetition
			return []any{s}
		case out.code == 412 && in.base != s.version, out.code == 400 && in.version <= s.version:
			return []any{s}
		case out.code == 0 && applicable: // the outcome is unknown: it may be in force
			return []any{s, next}
		case out.code == 0:
			return []any{s}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// Operators' calls at different core machines are linearizable, also while leaders are frozen and killed.
func TestConfigCallsAreLinearizable(t *testing.T) {
	d := New(t, 3, 1)
	d.Configure(1)
	start := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var all sync.WaitGroup
	quit := make(chan struct{})
	for op := range 4 {
		all.Add(1)
		go func() {
			defer all.Done()
			for n := 0; ; n++ {
				select {
				case <-quit:
					return
				default:
				}
				call := func(core int, in configCall) configAnswer {
					o := porcupine.Operation{ClientId: op, Input: in, Call: time.Since(start).Nanoseconds()}
					var out configAnswer
					if in.show {
						code, body := d.Call("GET", d.Cores[core], "/config/show", "", nil)
						var c struct {
							Gen    int
							Limits struct{ TxIdleMs int }
						}
						if out.code = code; code == 200 && json.Unmarshal([]byte(body), &c) == nil {
							out.version, out.operator = c.Gen, max(c.Limits.TxIdleMs-1000, 0)
							if c.Gen == 1 {
								out.operator = 0
							}
						}
					} else {
						body := fmt.Sprintf(`{"gen":%d,"routes":[],"svcs":[],"limits":{"txIdleMs":%d}}`, in.version, 1000+in.operator)
						out.code, _ = d.Call("POST", d.Cores[core], "/config/replace", strconv.Itoa(in.base), []byte(body))
						if out.code >= 500 {
							out.code = 0
						}
					}
					o.Output, o.Return = out, time.Since(start).Nanoseconds()
					if out.code == 0 && !in.show {
						o.Return = int64(time.Hour) // it may take effect at any later time
					}
					mu.Lock()
					history = append(history, o)
					mu.Unlock()
					return out
				}
				seen := call((op+n)%3, configCall{show: true})
				if seen.code == 200 && op < 3 {
					call((op+n+1)%3, configCall{base: seen.version, version: seen.version + 1 + op, operator: op + 1})
				}
			}
		}()
	}
	historyHas := func(n int) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(history) >= n
		}
	}
	d.Eventually("some calls were answered", historyHas(40))
	leaderName := leader(d)
	d.Signal(leaderName, syscall.SIGSTOP)
	d.Eventually("calls are answered under another leader", historyHas(80))
	d.Signal(leaderName, syscall.SIGCONT)
	d.Eventually("calls are answered with the old leader back", historyHas(120))
	d.Kill(leader(d))
	d.Eventually("calls are answered by two machines", historyHas(160))
	close(quit)
	all.Wait()
	if r := porcupine.CheckOperationsTimeout(register, history, 30*time.Second); r != porcupine.Ok {
		t.Errorf("%d calls: %v", len(history), r)
	}
}

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

type word struct {
	show      bool
	base, gen int
	who       int
}

type told struct {
	code, gen, who int
}

// register is the operator's word as it must look from outside: versions follow each other, one change a base.
var register = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{told{200, 1, 0}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(told), input.(word), output.(told)
		if in.show {
			if out.code != 200 || out.gen == s.gen && out.who == s.who {
				return []any{s}
			}
			return nil
		}
		next := told{200, in.gen, in.who}
		fits := in.base == s.gen && in.gen > s.gen
		switch {
		case out.code == 200 && fits:
			return []any{next}
		case out.code == 200 && s.gen == in.gen && s.who == in.who: // an exact repeat
			return []any{s}
		case out.code == 412 && in.base != s.gen, out.code == 400 && in.gen <= s.gen:
			return []any{s}
		case out.code == 0 && fits: // without a clear answer it may be in force
			return []any{s, next}
		case out.code == 0:
			return []any{s}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

func TestOperatorsSeeOneHistory(t *testing.T) {
	w := New(t, 3, 1)
	w.Configure(1)
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
				say := func(core int, in word) told {
					o := porcupine.Operation{ClientId: op, Input: in, Call: time.Since(start).Nanoseconds()}
					var out told
					if in.show {
						code, body := w.Call("GET", w.Cores[core], "/config/show", "", nil)
						var c struct {
							Gen    int
							Limits struct{ TxIdleMs int }
						}
						if out.code = code; code == 200 && json.Unmarshal([]byte(body), &c) == nil {
							out.gen, out.who = c.Gen, max(c.Limits.TxIdleMs-1000, 0)
							if c.Gen == 1 {
								out.who = 0
							}
						}
					} else {
						body := fmt.Sprintf(`{"gen":%d,"routes":[],"svcs":[],"limits":{"txIdleMs":%d}}`, in.gen, 1000+in.who)
						out.code, _ = w.Call("POST", w.Cores[core], "/config/replace", strconv.Itoa(in.base), []byte(body))
						if out.code >= 500 {
							out.code = 0
						}
					}
					o.Output, o.Return = out, time.Since(start).Nanoseconds()
					if out.code == 0 && !in.show {
						o.Return = int64(time.Hour) // it may take force at any time
					}
					mu.Lock()
					history = append(history, o)
					mu.Unlock()
					return out
				}
				seen := say((op+n)%3, word{show: true})
				if seen.code == 200 && op < 3 {
					say((op+n+1)%3, word{base: seen.gen, gen: seen.gen + 1 + op, who: op + 1})
				}
			}
		}()
	}
	enough := func(n int) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(history) >= n
		}
	}
	w.Eventually("some calls were answered", enough(40))
	lead := leader(w)
	w.Signal(lead, syscall.SIGSTOP)
	w.Eventually("calls go on under another leader", enough(80))
	w.Signal(lead, syscall.SIGCONT)
	w.Eventually("and with the old one back", enough(120))
	w.Kill(leader(w))
	w.Eventually("and with two", enough(160))
	close(quit)
	all.Wait()
	if r := porcupine.CheckOperationsTimeout(register, history, 30*time.Second); r != porcupine.Ok {
		t.Errorf("%d calls: %v", len(history), r)
	}
}

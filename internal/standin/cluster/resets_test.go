package cluster

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"weirwind/internal/standin/links"
	"weirwind/internal/standin/replicaset"
)

// newBehind starts a town whose members and platform are reached at what via makes of their addresses.
func newBehind(t *testing.T, cores, fronts int, via func(addr string) string) *Deployment {
	t.Helper()
	return newDeployment(t, cores, fronts, func(*Deployment) {}, via)
}

// tried is a statement or a transaction of a client: the ids of its writes, and what came of it.
type tried struct {
	writes  []string
	success bool
	promise bool // nothing of it is kept
}

// promised says whether an answer promises that nothing of its try is kept.
func promised(answer string) bool {
	for _, code := range []string{"RETRY", "ABORTED", "LAGGING", "RDONLY", "WRONGHOST", "FULL"} {
		if strings.Contains(answer, "FAIL "+code) {
			return true
		}
	}
	return false
}

// own says that an answer is a question's own: its stamp bears the id of the question, and rows what this client ever
// stored.
func own(answer, id, mark string) bool {
	for line := range strings.SplitSeq(answer, " | ") {
		switch {
		case strings.HasPrefix(line, "DONE ") && !strings.HasSuffix(line, "."+id):
			return false
		case strings.HasPrefix(line, "ROW ") && line != "ROW " && !strings.HasPrefix(line, "ROW "+mark):
			return false
		}
	}
	return true
}

// visitor is a client that begins another session where its last one ended.
type visitor struct {
	w    *Deployment
	t    *testing.T
	mark string
	k    *Client
	n    int
	all  []tried
}

// ask puts a text, and checks that the answer is its own.
func (v *visitor) ask(text string) (id, answer string) {
	for v.k == nil {
		k, first := v.w.Attach(0, "prim")
		if strings.HasPrefix(first, "READY") {
			v.k = k
		}
	}
	id, answer = v.k.Query(text)
	if strings.Contains(answer, "end") {
		v.k = nil
	}
	if verb, _, _ := strings.Cut(text, " "); verb != "BEGIN" && verb != "ABORT" && !own(answer, id, v.mark) {
		v.t.Errorf("%s %s was answered %s", id, text, answer)
	}
	return id, answer
}

func (v *visitor) value() string {
	v.n++
	return fmt.Sprintf("%s.%d", v.mark, v.n)
}

func (v *visitor) store() {
	id, a := v.ask("STORE " + v.mark + " " + v.value())
	v.all = append(v.all, tried{[]string{id}, strings.HasPrefix(a, "DONE"), promised(a)})
}

// transaction writes twice, and commits or rolls back.
func (v *visitor) transaction(last string) {
	var t tried
	if _, a := v.ask("BEGIN"); !strings.HasPrefix(a, "DONE") {
		return
	}
	for range 2 {
		id, a := v.ask("STORE " + v.mark + " " + v.value())
		if t.writes = append(t.writes, id); !strings.HasPrefix(a, "DONE") {
			t.promise = promised(a)
			v.ask("ABORT")
			v.all = append(v.all, t)
			return
		}
	}
	_, a := v.ask(last)
	t.success = last == "COMMIT" && strings.HasPrefix(a, "DONE")
	t.promise = last == "ABORT" || promised(a)
	v.all = append(v.all, t)
}

func (v *visitor) visit(rounds int) {
	for range rounds {
		v.store()
		v.ask("FETCH " + v.mark)
		v.transaction("COMMIT")
		v.transaction("ABORT")
	}
}

// All connections of proxies and of the core to members, and of the core to the platform, are reset at drawn bytes,
// also while a primary is replaced: each answer is its question's own, each write runs once at most, those that were
// answered once, and those of which it was promised that nothing is kept not at all. Point 5: it fails where a
// connection that owes an answer goes back to its pool (Reusable), and where a write may be put again (kindOf).
func TestResetsAtDrawnBytes(t *testing.T) {
	var relays []*links.ResettingRelay
	w := newBehind(t, 3, 1, func(addr string) string {
		r, err := links.NewResettingRelay("127.0.0.1:0", addr, uint64(len(relays)))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		relays = append(relays, r)
		return r.Addr()
	})
	w.Configure(1)
	most := func(bytes int) {
		for _, r := range relays {
			r.SetByteLimit(bytes)
		}
	}
	var visitors []*visitor
	for i := range 6 {
		visitors = append(visitors, &visitor{w: w, t: t, mark: fmt.Sprint("c", i)})
	}
	visit := func(rounds int) {
		var all sync.WaitGroup
		for _, v := range visitors {
			all.Go(func() { v.visit(rounds) })
		}
		all.Wait()
	}
	most(1200)
	relays[len(relays)-1].SetByteLimit(400) // calls to the platform are few and longer
	visit(25)
	old := w.Service.Leader()
	w.Service.Crash(old)
	w.Eventually("another member leads", func() bool { l := w.Service.Leader(); return l != "" && l != old })
	w.Service.With(func(g *replicaset.Group) { g.Member(old).Restart() })
	visit(10)
	most(0)
	w.Eventually("no transaction is left open", func() bool { return w.Service.OpenTransactions() == 0 })

	resets, ended, clear := 0, 0, 0
	for _, r := range relays {
		resets += r.Resets()
	}
	w.Service.With(func(g *replicaset.Group) {
		if g.Promotions > 2 || len(g.Lost) > 0 {
			t.Errorf("%d promotions, lost %v", g.Promotions, g.Lost)
		}
		for _, v := range visitors {
			for _, c := range v.all {
				if ended++; c.success {
					clear++
				}
				for _, id := range c.writes {
					n := w.Service.Executions[id]
					if n > 1 || c.success && n != 1 || c.promise && n != 0 {
						t.Errorf("write %s of %+v ran %d times", id, c, n)
					}
				}
			}
		}
	})
	t.Logf("%d tries, %d answered with success, %d connections were reset, %d calls to the platform", ended, clear, resets, len(w.Service.Promoted))
	if clear < ended/4 || resets < 50 {
		t.Error("too few answers, or too few resets")
	}
}

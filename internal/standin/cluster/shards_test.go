package cluster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"weirwind/internal/controlplane"
	"weirwind/internal/shard/shardmap"
	"weirwind/internal/standin/replicaset"
	"weirwind/internal/weirctl"
)

const someShards = 6

// sharded founds six shards on two of three nodes, with what an evening before left in them.
func sharded(t *testing.T) (*Deployment, func(args ...string) (int, string)) {
	w := New(t, 3, 2)
	for _, n := range []string{"n0", "n1", "n2"} {
		w.AddNode(n, 300_000)
	}
	var routes, svcs []string
	svcs = append(svcs, `{"name":"svc","maxConns":80,"syncN":1}`)
	for _, n := range []string{"n0", "n1", "n2"} {
		svcs = append(svcs, fmt.Sprintf(`{"name":%q,"maxConns":80}`, n))
	}
	found := shardmap.Change{InitialOwners: map[string]string{}, Nodes: map[string]shardmap.Node{"n0": {Zone: "za", State: "in"}, "n1": {Zone: "zb", State: "in"}, "n2": {Zone: "zc", State: "in"}}}
	for i := range someShards {
		shard := fmt.Sprint("s", i)
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":"db%d","prefix":"/","type":"primary","timeoutMs":3000,"svc":"n0","shard":%q}`, shard, i, shard))
		found.InitialOwners[shard] = fmt.Sprint("n", i%2)
	}
	body := fmt.Sprintf(`{"gen":1,"routes":[%s],"svcs":[%s],"limits":{"txIdleMs":2000}}`, strings.Join(routes, ","), strings.Join(svcs, ","))
	w.Eventually("a configuration is taken", func() bool {
		code, _ := w.Call("POST", w.Cores[0], "/config/replace", "0", []byte(body))
		return code == 200
	})
	for n := range 2 {
		w.Eventually("a proxy is ready", func() bool { return w.Ready(n) })
	}
	tell := func(args ...string) (int, string) {
		var b bytes.Buffer
		code := weirctl.Main(append([]string{"shards"}, args...), &b, &b)
		return code, b.String()
	}
	file := filepath.Join(w.dir, "found.json")
	raw, _ := json.Marshal(found)
	os.WriteFile(file, raw, 0o600)
	w.Eventually("shards are founded", func() bool { code, _ := tell("found", w.Cores[0], file); return code == 0 })
	os.WriteFile(file, []byte(`{"rate":60000}`), 0o600)
	w.Eventually("the pace is set", func() bool { code, _ := tell("rules", w.Cores[0], file); return code == 0 })
	w.Eventually("nodes hold them", func() bool {
		v := view(w)
		n := 0
		for _, r := range v.Nodes {
			n += len(r.Replicas)
		}
		return n == someShards
	})
	for shard, node := range found.InitialOwners {
		w.Nodes[node].With(func(*replicaset.Group) {
			for i := range 200 {
				_, err := w.Nodes[node].Shards.Write(shard, 1, fmt.Sprint("old", i), make([]byte, 100))
				if err != nil {
					t.Fatal(err)
				}
			}
		})
	}
	w.Eventually("the core knows what they hold", func() bool {
		v, n := view(w), 0
		for _, r := range v.Nodes {
			for _, h := range r.Replicas {
				if h.Size >= 20000 {
					n++
				}
			}
		}
		return n == someShards
	})
	return w, tell
}

func view(w *Deployment) (v controlplane.ShardsView) {
	for _, c := range w.Cores {
		if code, s := w.Call("GET", c, "/shards", "", nil); code == 200 {
			var got controlplane.ShardsView
			if json.Unmarshal([]byte(s), &got) == nil && got.Leading && got.Map != nil {
				return got
			}
		}
	}
	return v
}

// evening writes as the two deployments' clients do, each try anew behind a promise, until stopped. It gives each op's tries, with
// what they were answered.
func (w *Deployment) evening() (stop func() map[string][]string) {
	w.t.Helper()
	var served atomic.Int64
	var mu sync.Mutex
	ops := map[string][]string{}
	quit := make(chan struct{})
	var all sync.WaitGroup
	for n := range 2 * someShards {
		all.Add(1)
		go func() {
			defer all.Done()
			var k *Client
			pace := time.NewTicker(15 * time.Millisecond)
			defer pace.Stop()
			for i := 0; ; i++ {
				select {
				case <-quit:
					return
				case <-pace.C:
				}
				name := fmt.Sprint(n, ".", i)
				for try := 0; try < 4; try++ {
					if k == nil {
						var first string
						if k, first = w.Attach((n+try)%2, fmt.Sprint("db", n%someShards)); k == nil || first != "READY I -" {
							k = nil
							break
						}
					}
					id, a := "", ""
					if i%4 == 1 { // browsing and search: answered wherever the shard is by then
						if _, a = k.Query("FETCH t" + name); strings.HasPrefix(a, "ROW") {
							break
						}
					} else if i%3 == 0 { // as a transaction, whose commit is the try
						if _, a = k.Query("BEGIN"); strings.HasPrefix(a, "DONE") {
							if _, a = k.Query("STORE t" + name + " booked"); strings.HasPrefix(a, "DONE") {
								id, a = k.Query("COMMIT")
							} else {
								k.Query("ABORT")
							}
						}
					} else {
						id, a = k.Query("STORE t" + name + " enrolled")
					}
					mu.Lock()
					if id != "" {
						ops[name] = append(ops[name], id+" "+a)
					}
					mu.Unlock()
					if strings.HasPrefix(a, "DONE") {
						served.Add(1)
					}
					if strings.HasPrefix(a, "end") {
						k = nil
					}
					if !strings.HasPrefix(a, "FAIL RETRY") && !strings.HasPrefix(a, "FAIL ABORTED") {
						break
					}
				}
			}
		}()
	}
	w.Eventually("clients are served", func() bool { return served.Load() > 4*someShards })
	return func() map[string][]string {
		close(quit)
		all.Wait()
		return ops
	}
}

// settled waits until every shard is open where the map has it and nowhere else, and audits all tries.
func settled(w *Deployment, ops map[string][]string) {
	var ran map[string]int
	w.Eventually("all shards are whole", func() bool {
		v := view(w)
		if v.Map == nil {
			return false
		}
		for _, t := range v.Map.Tasks {
			if t.Status == shardmap.TaskPending {
				return false
			}
		}
		holders := map[string]string{}
		for shard, p := range v.Map.Shards {
			holders[shard] = p.Node
		}
		var strays []string
		ran, strays = w.Effects(holders)
		return len(strays) == 0
	})
	done := 0
	for name, tries := range ops {
		effects := 0
		for _, t := range tries {
			id, a, _ := strings.Cut(t, " ")
			effects += ran[id]
			switch {
			case strings.HasPrefix(a, "DONE"):
				if done++; ran[id] != 1 {
					So(fmt.Sprint(name, " ", t, " ", ran[id]), ShouldBeEmpty)
				}
			case strings.HasPrefix(a, "FAIL RETRY"), strings.HasPrefix(a, "FAIL ABORTED"):
				if ran[id] != 0 {
					So(fmt.Sprint(name, " ", t, " ", ran[id]), ShouldBeEmpty)
				}
			}
		}
		if effects > 1 {
			So(fmt.Sprint(name, " ", tries), ShouldBeEmpty)
		}
	}
	So(done, ShouldBeGreaterThan, 0)
	for _, s := range w.Nodes {
		So(s.Overflow, ShouldBeEmpty)
	}
}

func TestShards(t *testing.T) {
	Convey("While clients enroll and book on six shards of two nodes, with a third that is empty", t, func() {
		w, tell := sharded(t)
		Reset(w.Stop)
		stop := w.evening()
		under := func() { // a move goes on
			w.Eventually("something moves", func() bool { return len(view(w).Transfers) > 0 })
		}
		apply := func() {
			w.Eventually("a plan is taken", func() bool { code, _ := tell("apply", w.Cores[1]); return code == 0 })
		}
		ended := func() {
			w.Eventually("no task waits", func() bool {
				v := view(w)
				return v.Map != nil && len(v.Map.Tasks) > 0 && !strings.Contains(fmt.Sprint(v.Map.Tasks), "waiting")
			})
		}
		finish := func() {
			ended()
			settled(w, stop())
		}
		Convey("a plan is carried out, and no client meets a failure", func() {
			apply()
			ended()
			ops := stop()
			settled(w, ops)
			for name, tries := range ops {
				for _, try := range tries {
					if strings.Contains(try, "FAIL") {
						So(name+" "+try, ShouldBeEmpty)
					}
				}
			}
			So(len(w.Nodes["n2"].Shards.Replicas), ShouldBeGreaterThan, 0)
			said := ""
			for _, call := range [][]string{{"status", w.Cores[2]}, {"explain", w.Cores[0], "s0"}, {"page", w.Cores[0], filepath.Join(w.dir, "page.html")}} {
				w.Eventually(call[0], func() bool {
					code, s := tell(call...)
					if code == 0 {
						said += s
					}
					return code == 0
				})
			}
			So(said, ShouldContainSubstring, "0 waiting, 0 failed")
			So(said, ShouldContainSubstring, "s0 is on n")
		})
		Convey("the leader is killed as shards move, and the next one ends what it began", func() {
			apply()
			under()
			w.Kill(leader(w))
			finish()
		})
		Convey("the leader is frozen, thawed behind the lead of another: it hands nothing over", func() {
			apply()
			under()
			lead := leader(w)
			w.Signal(lead, syscall.SIGSTOP)
			w.Eventually("another leads", func() bool { v := view(w); return v.Map != nil })
			w.Signal(lead, syscall.SIGCONT)
			finish()
		})
		Convey("nodes end and come back with their disks, one after the other, and answers are lost", func() {
			apply()
			under()
			for i, n := range []string{"n2", "n0", "n1"} {
				w.Nodes[n].CrashNode()
				other := w.Nodes[[]string{"n0", "n1", "n2"}[i]]
				other.With(func(*replicaset.Group) { other.LoseAnswers = 2 })
				w.Eventually("answers are lost", func() bool {
					left := 0
					other.With(func(*replicaset.Group) { left = other.LoseAnswers })
					return left == 0
				})
				w.Nodes[n].RestartNode()
			}
			finish()
		})
		Convey("others fill the target's disk: the copy gives way, and a new plan begins from where things are", func() {
			apply()
			under()
			n2 := w.Nodes["n2"]
			n2.With(func(*replicaset.Group) { n2.Shards.SetExternal(n2.Shards.Capacity - n2.Shards.UsedBytes() - 1000) })
			finish()
		})
		Convey("a proxy is frozen over the hand-overs, and thawed with the old map", func() {
			w.Signal("proxy1", syscall.SIGSTOP)
			apply()
			ended()
			w.Signal("proxy1", syscall.SIGCONT)
			finish()
		})
		Convey("the operator pauses, goes on, aborts, and marks a node as leaving", func() {
			apply()
			under()
			for _, call := range [][]string{{"pause", w.Cores[0]}, {"resume", w.Cores[1]}, {"abort", w.Cores[2]}} {
				w.Eventually(call[0], func() bool { code, _ := tell(call...); return code == 0 })
			}
			w.Eventually("all went back or is done", func() bool {
				v := view(w)
				return v.Map != nil && !strings.Contains(fmt.Sprint(v.Map.Tasks), "waiting")
			})
			w.Eventually("marked", func() bool { code, _ := tell("mark", w.Cores[0], "n1", "leaving"); return code == 0 })
			apply()
			finish()
			So(len(w.Nodes["n1"].Shards.Replicas), ShouldEqual, 0)
		})
	})
}

// TestLongEvening plays faults drawn at random under traffic for as long as EVENING says (a duration; not in CI).
func TestLongEvening(t *testing.T) {
	long, err := time.ParseDuration(os.Getenv("EVENING"))
	if err != nil {
		t.Skip("EVENING=30m plays one")
	}
	Convey("An evening", t, func() {
		w, tell := sharded(t)
		stop := w.evening()
		faults := 0
		for end := time.Now().Add(long); time.Now().Before(end); faults++ {
			tell("resume", w.Cores[0])
			tell("apply", w.Cores[rand.IntN(3)])
			n := w.Nodes[fmt.Sprint("n", rand.IntN(3))]
			switch rand.IntN(6) {
			case 0:
				n.CrashNode()
				<-time.After(time.Duration(rand.IntN(1500)) * time.Millisecond)
				n.RestartNode()
			case 1:
				lead := leader(w)
				w.Kill(lead)
				w.Start(lead, false)
			case 2:
				p := fmt.Sprint("proxy", rand.IntN(2))
				w.Signal(p, syscall.SIGSTOP)
				<-time.After(time.Duration(rand.IntN(1500)) * time.Millisecond)
				w.Signal(p, syscall.SIGCONT)
			case 3:
				n.With(func(*replicaset.Group) { n.LoseAnswers = 5 })
			case 4:
				tell("abort", w.Cores[0])
			case 5:
				state := []string{"leaving", "in"}[rand.IntN(2)]
				tell("mark", w.Cores[0], n.Name, state)
			}
			<-time.After(time.Duration(rand.IntN(2000)) * time.Millisecond)
		}
		tell("resume", w.Cores[0])
		v := view(w)
		ops := stop()
		settled(w, ops)
		t.Logf("%d faults, %d ops, %d bytes moved by the last leader, its shards closed for %v ms", faults, len(ops), v.BytesMoved, v.WriteGapsMs)
	})
}

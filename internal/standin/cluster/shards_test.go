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

const shardCount = 6

// newShardedDeployment founds six shards on two of three nodes, with entries of earlier traffic in them.
func newShardedDeployment(t *testing.T) (*Deployment, func(args ...string) (int, string)) {
	d := New(t, 3, 2)
	for _, n := range []string{"n0", "n1", "n2"} {
		d.AddNode(n, 300_000)
	}
	var routes, svcs []string
	svcs = append(svcs, `{"name":"svc","maxConns":80,"syncN":1}`)
	for _, n := range []string{"n0", "n1", "n2"} {
		svcs = append(svcs, fmt.Sprintf(`{"name":%q,"maxConns":80}`, n))
	}
	found := shardmap.Change{
		InitialOwners: map[string]string{},
		Nodes: map[string]shardmap.Node{
			"n0": {Zone: "za", State: "in"},
			"n1": {Zone: "zb", State: "in"},
			"n2": {Zone: "zc", State: "in"},
		},
	}
	for i := range shardCount {
		shard := fmt.Sprint("s", i)
		routes = append(
			routes,
			fmt.Sprintf(
				`{"name":%q,"host":"db%d","prefix":"/","type":"primary","timeoutMs":3000,"svc":"n0","shard":%q}`,
				shard,
				i,
				shard,
			),
		)
		found.InitialOwners[shard] = fmt.Sprint("n", i%2)
	}
	body := fmt.Sprintf(
		`{"gen":1,"routes":[%s],"svcs":[%s],"limits":{"txIdleMs":2000}}`,
		strings.Join(routes, ","),
		strings.Join(svcs, ","),
	)
	d.Eventually("a configuration is taken", func() bool {
		code, _ := d.Call("POST", d.Cores[0], "/config/replace", "0", []byte(body))
		return code == 200
	})
	for n := range 2 {
		d.Eventually("a proxy is ready", func() bool { return d.Ready(n) })
	}
	shardsCommand := func(args ...string) (int, string) {
		var b bytes.Buffer
		code := weirctl.Main(append([]string{"shards"}, args...), &b, &b)
		return code, b.String()
	}
	file := filepath.Join(d.dir, "found.json")
	raw, _ := json.Marshal(found)
	os.WriteFile(file, raw, 0o600)
	d.Eventually(
		"shards are founded",
		func() bool { code, _ := shardsCommand("found", d.Cores[0], file); return code == 0 },
	)
	os.WriteFile(file, []byte(`{"rate":60000}`), 0o600)
	d.Eventually("the pace is set", func() bool { code, _ := shardsCommand("rules", d.Cores[0], file); return code == 0 })
	d.Eventually("nodes hold them", func() bool {
		v := shardsView(d)
		n := 0
		for _, r := range v.Nodes {
			n += len(r.Replicas)
		}
		return n == shardCount
	})
	for shard, node := range found.InitialOwners {
		d.Nodes[node].With(func(*replicaset.Group) {
			for i := range 200 {
				_, err := d.Nodes[node].Shards.Write(shard, 1, fmt.Sprint("old", i), make([]byte, 100))
				if err != nil {
					t.Fatal(err)
				}
			}
		})
	}
	d.Eventually("the core knows what they hold", func() bool {
		v, n := shardsView(d), 0
		for _, r := range v.Nodes {
			for _, h := range r.Replicas {
				if h.Size >= 20000 {
					n++
				}
			}
		}
		return n == shardCount
	})
	return d, shardsCommand
}

func shardsView(d *Deployment) (v controlplane.ShardsView) {
	for _, c := range d.Cores {
		if code, s := d.Call("GET", c, "/shards", "", nil); code == 200 {
			var got controlplane.ShardsView
			if json.Unmarshal([]byte(s), &got) == nil && got.Leading && got.Map != nil {
				return got
			}
		}
	}
	return v
}

// startShardTraffic writes as two services' clients do until stopped, retrying what is proved not to have run. It gives
// each op's attempts, with their answers.
func (d *Deployment) startShardTraffic() (stop func() map[string][]string) {
	d.t.Helper()
	var served atomic.Int64
	var mu sync.Mutex
	ops := map[string][]string{}
	quit := make(chan struct{})
	var all sync.WaitGroup
	for n := range 2 * shardCount {
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
						if k, first = d.Attach((n+try)%2, fmt.Sprint("db", n%shardCount)); k == nil || first != "READY I -" {
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
	d.Eventually("clients are served", func() bool { return served.Load() > 4*shardCount })
	return func() map[string][]string {
		close(quit)
		all.Wait()
		return ops
	}
}

// auditShards waits until every shard is open where the map has it and nowhere else, and audits all attempts.
func auditShards(d *Deployment, ops map[string][]string) {
	var ran map[string]int
	d.Eventually("all shards are complete", func() bool {
		v := shardsView(d)
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
		ran, strays = d.Effects(holders)
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
	for _, s := range d.Nodes {
		So(s.Overflow, ShouldBeEmpty)
	}
}

func TestShards(t *testing.T) {
	Convey("While clients enroll and book on six shards of two nodes, with a third that is empty", t, func() {
		d, tell := newShardedDeployment(t)
		Reset(d.Stop)
		stop := d.startShardTraffic()
		under := func() { // a move goes on
			d.Eventually("something moves", func() bool { return len(shardsView(d).Transfers) > 0 })
		}
		apply := func() {
			d.Eventually("a plan is taken", func() bool { code, _ := tell("apply", d.Cores[1]); return code == 0 })
		}
		ended := func() {
			d.Eventually("no task waits", func() bool {
				v := shardsView(d)
				return v.Map != nil && len(v.Map.Tasks) > 0 && !strings.Contains(fmt.Sprint(v.Map.Tasks), "waiting")
			})
		}
		finish := func() {
			ended()
			auditShards(d, stop())
		}
		Convey("a plan is carried out, and no client meets a failure", func() {
			apply()
			ended()
			ops := stop()
			auditShards(d, ops)
			for name, tries := range ops {
				for _, try := range tries {
					if strings.Contains(try, "FAIL") {
						So(name+" "+try, ShouldBeEmpty)
					}
				}
			}
			So(len(d.Nodes["n2"].Shards.Replicas), ShouldBeGreaterThan, 0)
			printed := ""
			for _, call := range [][]string{
				{"status", d.Cores[2]},
				{"explain", d.Cores[0], "s0"},
				{"page", d.Cores[0], filepath.Join(d.dir, "page.html")},
			} {
				d.Eventually(call[0], func() bool {
					code, s := tell(call...)
					if code == 0 {
						printed += s
					}
					return code == 0
				})
			}
			So(printed, ShouldContainSubstring, "0 waiting, 0 failed")
			So(printed, ShouldContainSubstring, "s0 is on n")
		})
		Convey("the leader is killed as shards move, and the next one ends what it began", func() {
			apply()
			under()
			d.Kill(leader(d))
			finish()
		})
		Convey("the leader is frozen, thawed behind the lead of another: it hands nothing over", func() {
			apply()
			under()
			lead := leader(d)
			d.Signal(lead, syscall.SIGSTOP)
			d.Eventually("another leads", func() bool { v := shardsView(d); return v.Map != nil })
			d.Signal(lead, syscall.SIGCONT)
			finish()
		})
		Convey("nodes end and come back with their disks, one after the other, and answers are lost", func() {
			apply()
			under()
			for i, n := range []string{"n2", "n0", "n1"} {
				d.Nodes[n].CrashNode()
				other := d.Nodes[[]string{"n0", "n1", "n2"}[i]]
				other.With(func(*replicaset.Group) { other.LoseAnswers = 2 })
				d.Eventually("answers are lost", func() bool {
					left := 0
					other.With(func(*replicaset.Group) { left = other.LoseAnswers })
					return left == 0
				})
				d.Nodes[n].RestartNode()
			}
			finish()
		})
		Convey("others fill the target's disk: the copy gives way, and a new plan begins from where things are", func() {
			apply()
			under()
			n2 := d.Nodes["n2"]
			n2.With(func(*replicaset.Group) { n2.Shards.SetExternal(n2.Shards.Capacity - n2.Shards.UsedBytes() - 1000) })
			finish()
		})
		Convey("a proxy is frozen over the hand-overs, and thawed with the old map", func() {
			d.Signal("proxy1", syscall.SIGSTOP)
			apply()
			ended()
			d.Signal("proxy1", syscall.SIGCONT)
			finish()
		})
		Convey("the operator pauses, goes on, aborts, and marks a node as leaving", func() {
			apply()
			under()
			for _, call := range [][]string{{"pause", d.Cores[0]}, {"resume", d.Cores[1]}, {"abort", d.Cores[2]}} {
				d.Eventually(call[0], func() bool { code, _ := tell(call...); return code == 0 })
			}
			d.Eventually("all went back or is done", func() bool {
				v := shardsView(d)
				return v.Map != nil && !strings.Contains(fmt.Sprint(v.Map.Tasks), "waiting")
			})
			d.Eventually("marked", func() bool { code, _ := tell("mark", d.Cores[0], "n1", "leaving"); return code == 0 })
			apply()
			finish()
			So(len(d.Nodes["n1"].Shards.Replicas), ShouldEqual, 0)
		})
	})
}

// Random faults under traffic for as long as SHARDS says (a duration; not in CI).
func TestLongShardTraffic(t *testing.T) {
	long, err := time.ParseDuration(os.Getenv("SHARDS"))
	if err != nil {
		t.Skip("SHARDS=30m runs it")
	}
	Convey("A long run", t, func() {
		d, tell := newShardedDeployment(t)
		stop := d.startShardTraffic()
		faults := 0
		for end := time.Now().Add(long); time.Now().Before(end); faults++ {
			tell("resume", d.Cores[0])
			tell("apply", d.Cores[rand.IntN(3)])
			n := d.Nodes[fmt.Sprint("n", rand.IntN(3))]
			switch rand.IntN(6) {
			case 0:
				n.CrashNode()
				<-time.After(time.Duration(rand.IntN(1500)) * time.Millisecond)
				n.RestartNode()
			case 1:
				lead := leader(d)
				d.Kill(lead)
				d.Start(lead, false)
			case 2:
				p := fmt.Sprint("proxy", rand.IntN(2))
				d.Signal(p, syscall.SIGSTOP)
				<-time.After(time.Duration(rand.IntN(1500)) * time.Millisecond)
				d.Signal(p, syscall.SIGCONT)
			case 3:
				n.With(func(*replicaset.Group) { n.LoseAnswers = 5 })
			case 4:
				tell("abort", d.Cores[0])
			case 5:
				state := []string{"leaving", "in"}[rand.IntN(2)]
				tell("mark", d.Cores[0], n.Name, state)
			}
			<-time.After(time.Duration(rand.IntN(2000)) * time.Millisecond)
		}
		tell("resume", d.Cores[0])
		v := shardsView(d)
		ops := stop()
		auditShards(d, ops)
		t.Logf(
			"%d faults, %d ops, %d bytes moved by the last leader, its shards closed for %v ms",
			faults,
			len(ops),
			v.BytesMoved,
			v.WriteGapsMs,
		)
	})
}

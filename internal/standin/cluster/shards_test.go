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

// newShardedDeployment creates six shards on two of three nodes, filled with entries.
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
	founding := shardmap.Change{
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
		founding.InitialOwners[shard] = fmt.Sprint("n", i%2)
	}
	body := fmt.Sprintf(
		`{"gen":1,"routes":[%s],"svcs":[%s],"limits":{"txIdleMs":2000}}`,
		strings.Join(routes, ","),
		strings.Join(svcs, ","),
	)
	d.Eventually("a configuration is accepted", func() bool {
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
	raw, _ := json.Marshal(founding)
	os.WriteFile(file, raw, 0o600)
	d.Eventually(
		"the shards are created",
		func() bool { code, _ := shardsCommand("found", d.Cores[0], file); return code == 0 },
	)
	os.WriteFile(file, []byte(`{"rate":60000}`), 0o600)
	d.Eventually("the transfer rate is set", func() bool { code, _ := shardsCommand("rules", d.Cores[0], file); return code == 0 })
	d.Eventually("the nodes report the shards", func() bool {
		v := shardsView(d)
		n := 0
		for _, r := range v.Nodes {
			n += len(r.Replicas)
		}
		return n == shardCount
	})
	for shard, node := range founding.InitialOwners {
		d.Nodes[node].With(func(*replicaset.Group) {
			for i := range 200 {
				_, err := d.Nodes[node].Shards.Write(shard, 1, fmt.Sprint("old", i), make([]byte, 100))
				if err != nil {
					t.Fatal(err)
				}
			}
		})
	}
	d.Eventually("the core knows the shards' sizes", func() bool {
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

// startShardTraffic runs clients until stop is called, which read and write and retry what is known not to have run.
// stop returns the attempts of each operation, with their answers.
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
			var client *Client
			pace := time.NewTicker(15 * time.Millisecond)
			defer pace.Stop()
			for i := 0; ; i++ {
				select {
				case <-quit:
					return
				case <-pace.C:
				}
				name := fmt.Sprint(n, ".", i)
				for attempt := 0; attempt < 4; attempt++ {
					if client == nil {
						var first string
						if client, first = d.Attach((n+attempt)%2, fmt.Sprint("db", n%shardCount)); client == nil || first != "READY I -" {
							client = nil
							break
						}
					}
					id, answer := "", ""
					if i%4 == 1 { // a read, which is answered wherever the shard is by then
						if _, answer = client.Query("FETCH t" + name); strings.HasPrefix(answer, "ROW") {
							break
						}
					} else if i%3 == 0 { // a transaction, whose COMMIT is the attempt
						if _, answer = client.Query("BEGIN"); strings.HasPrefix(answer, "DONE") {
							if _, answer = client.Query("STORE t" + name + " booked"); strings.HasPrefix(answer, "DONE") {
								id, answer = client.Query("COMMIT")
							} else {
								client.Query("ABORT")
							}
						}
					} else {
						id, answer = client.Query("STORE t" + name + " enrolled")
					}
					mu.Lock()
					if id != "" {
						ops[name] = append(ops[name], id+" "+answer)
					}
					mu.Unlock()
					if strings.HasPrefix(answer, "DONE") {
						served.Add(1)
					}
					if strings.HasPrefix(answer, "end") {
						client = nil
					}
					if !strings.HasPrefix(answer, "FAIL RETRY") && !strings.HasPrefix(answer, "FAIL ABORTED") {
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

// auditShards waits until every shard is open at the node that the map names and nowhere else, and then checks all
// attempts against what ran.
func auditShards(d *Deployment, ops map[string][]string) {
	var ran map[string]int
	d.Eventually("all shards are where the map has them", func() bool {
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
		var misplaced []string
		ran, misplaced = d.Effects(holders)
		return len(misplaced) == 0
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
	Convey("While clients read and write six shards on two nodes, with a third, empty node", t, func() {
		d, shardsCommand := newShardedDeployment(t)
		Reset(d.Stop)
		stop := d.startShardTraffic()
		waitForMove := func() { // until a move is in progress
			d.Eventually("a shard is moving", func() bool { return len(shardsView(d).Transfers) > 0 })
		}
		applyPlan := func() {
			d.Eventually("a plan is accepted", func() bool { code, _ := shardsCommand("apply", d.Cores[1]); return code == 0 })
		}
		waitForTasks := func() {
			d.Eventually("no task is waiting", func() bool {
				v := shardsView(d)
				return v.Map != nil && len(v.Map.Tasks) > 0 && !strings.Contains(fmt.Sprint(v.Map.Tasks), "waiting")
			})
		}
		finish := func() {
			waitForTasks()
			auditShards(d, stop())
		}
		Convey("a plan is executed, and no client sees a failure", func() {
			applyPlan()
			waitForTasks()
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
					code, s := shardsCommand(call...)
					if code == 0 {
						printed += s
					}
					return code == 0
				})
			}
			So(printed, ShouldContainSubstring, "0 waiting, 0 failed")
			So(printed, ShouldContainSubstring, "s0 is on n")
		})
		Convey("the leader is killed while shards move, and the next leader completes the moves", func() {
			applyPlan()
			waitForMove()
			d.Kill(leader(d))
			finish()
		})
		Convey("the leader is frozen, and resumes after another took over: it hands no shard over", func() {
			applyPlan()
			waitForMove()
			leaderName := leader(d)
			d.Signal(leaderName, syscall.SIGSTOP)
			d.Eventually("another leads", func() bool { v := shardsView(d); return v.Map != nil })
			d.Signal(leaderName, syscall.SIGCONT)
			finish()
		})
		Convey("nodes crash and restart with their disks, one after the other, and answers are lost", func() {
			applyPlan()
			waitForMove()
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
		Convey("the target's disk is filled by other data: the move is abandoned, and a new plan starts from the current placement", func() {
			applyPlan()
			waitForMove()
			n2 := d.Nodes["n2"]
			n2.With(func(*replicaset.Group) { n2.Shards.SetExternal(n2.Shards.Capacity - n2.Shards.UsedBytes() - 1000) })
			finish()
		})
		Convey("a proxy is frozen during the handovers, and resumes with an outdated map", func() {
			d.Signal("proxy1", syscall.SIGSTOP)
			applyPlan()
			waitForTasks()
			d.Signal("proxy1", syscall.SIGCONT)
			finish()
		})
		Convey("the operator pauses, resumes, aborts, and marks a node as leaving", func() {
			applyPlan()
			waitForMove()
			for _, call := range [][]string{{"pause", d.Cores[0]}, {"resume", d.Cores[1]}, {"abort", d.Cores[2]}} {
				d.Eventually(call[0], func() bool { code, _ := shardsCommand(call...); return code == 0 })
			}
			d.Eventually("all moves are rolled back or completed", func() bool {
				v := shardsView(d)
				return v.Map != nil && !strings.Contains(fmt.Sprint(v.Map.Tasks), "waiting")
			})
			d.Eventually("the node is marked", func() bool { code, _ := shardsCommand("mark", d.Cores[0], "n1", "leaving"); return code == 0 })
			applyPlan()
			finish()
			So(len(d.Nodes["n1"].Shards.Replicas), ShouldEqual, 0)
		})
	})
}

// Injects random faults under traffic for the duration given by the environment variable SHARDS; not run in CI.
func TestLongShardTraffic(t *testing.T) {
	duration, err := time.ParseDuration(os.Getenv("SHARDS"))
	if err != nil {
		t.Skip("set SHARDS to a duration, such as 30m, to run it")
	}
	Convey("A long run", t, func() {
		d, shardsCommand := newShardedDeployment(t)
		stop := d.startShardTraffic()
		faults := 0
		for end := time.Now().Add(duration); time.Now().Before(end); faults++ {
			shardsCommand("resume", d.Cores[0])
			shardsCommand("apply", d.Cores[rand.IntN(3)])
			n := d.Nodes[fmt.Sprint("n", rand.IntN(3))]
			switch rand.IntN(6) {
			case 0:
				n.CrashNode()
				<-time.After(time.Duration(rand.IntN(1500)) * time.Millisecond)
				n.RestartNode()
			case 1:
				leaderName := leader(d)
				d.Kill(leaderName)
				d.Start(leaderName, false)
			case 2:
				p := fmt.Sprint("proxy", rand.IntN(2))
				d.Signal(p, syscall.SIGSTOP)
				<-time.After(time.Duration(rand.IntN(1500)) * time.Millisecond)
				d.Signal(p, syscall.SIGCONT)
			case 3:
				n.With(func(*replicaset.Group) { n.LoseAnswers = 5 })
			case 4:
				shardsCommand("abort", d.Cores[0])
			case 5:
				state := []string{"leaving", "in"}[rand.IntN(2)]
				shardsCommand("mark", d.Cores[0], n.Name, state)
			}
			<-time.After(time.Duration(rand.IntN(2000)) * time.Millisecond)
		}
		shardsCommand("resume", d.Cores[0])
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

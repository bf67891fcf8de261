package cluster

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/standin/disk"
	"weirwind/internal/standin/replicaset"
	"weirwind/internal/weirctl"
)

var approve = flag.Bool("approve", false, "rewrite the transcripts")

func TestMain(m *testing.M) { os.Exit(Main(m)) }

var variableParts = regexp.MustCompile(`\b(q\d+|[abc])\b|\d+\.\d+`)

// checkTranscript compares an exchange with the recorded one.
func checkTranscript(t *testing.T, name string, lines []string) {
	t.Helper()
	got := strings.Join(lines, "\n") + "\n"
	file := filepath.Join("testdata", name+".txt")
	if *approve {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, _ := os.ReadFile(file)
	if string(want) != got {
		t.Errorf("%s: the exchange differs from the recorded one; -approve rewrites it. Got\n%s", name, got)
	}
}

func TestSessions(t *testing.T) {
	d := New(t, 3, 1)
	d.Configure(1)
	var lines []string
	runStatements := func(client *Client, texts ...string) {
		for _, statement := range texts {
			_, answer := client.Query(statement)
			lines = append(lines, "> "+statement, "< "+variableParts.ReplaceAllString(answer, "_"))
		}
	}
	attach := func(db string) *Client {
		client, greeting := d.Attach(0, db)
		lines = append(lines, "", "> ATTACH "+db, "< "+greeting)
		return client
	}
	client := attach("prim")
	runStatements(client, "STORE x 1", "FETCH x", "BEGIN", "STORE x 2", "FETCH x", "COMMIT", "FETCH x")
	runStatements(client, "BEGIN", "STORE x 3", "ABORT", "FETCH x", "ABORT", "COMMIT")
	runStatements(
		client,
		"SET colour red green",
		"PREP p STORE s1",
		"EXEC p x 4",
		"UNPREP p",
		"EXEC p x 5",
		"UNPREP p",
		"PREP r FETCH s2",
		"EXEC r x",
	)
	runStatements(
		client,
		"BEGIN",
		"COMMIT",
		"BEGIN FETCH",
		"FETCH x",
		"COMMIT",
		"BEGIN",
		"BEGIN",
		"NONSENSE",
		"COMMIT",
		"PREP q DELETE x",
	)
	client = attach("self")
	runStatements(client, "FETCH x", "STORE y 1", "FETCH y", "BEGIN FETCH", "STORE y 2", "FETCH y", "ABORT", "FETCH y")
	client = attach("stale")
	runStatements(client, "FETCH x", "BEGIN FETCH", "FETCH x", "COMMIT")
	attach("nowhere")
	client = attach("prim")
	client.Send("QUERY\r\n")
	lines = append(lines, "> QUERY", "< "+client.ReadLine(), "< "+client.ReadLine())
	client = attach("prim")
	client.Send("a line without its end\n")
	lines = append(lines, "> a line without its end", "< "+client.ReadLine())
	client = attach("prim")
	runStatements(client, "BEGIN", "STORE z 1")
	d.Eventually(
		"the idle transaction is ended",
		func() bool { return d.Service.OpenTransactions() == 0 },
	) // txIdleMs is 500
	runStatements(client, "STORE z 2", "STORE z 3", "COMMIT", "FETCH z")
	checkTranscript(t, "sessions", lines)
}

func TestOperators(t *testing.T) {
	d := New(t, 3, 1)
	d.Configure(1)
	d.Eventually("all machines have contact", func() bool { // a machine without contact answers 503 to every call
		return d.contactStatus(0).InContact && d.contactStatus(1).InContact && d.contactStatus(2).InContact
	})
	var lines []string
	call := func(core int, method, path, base, body string) {
		code, answer := d.Call(method, d.Cores[core], path, base, []byte(body))
		lines = append(
			lines,
			fmt.Sprintf("> %s %s base %s: %.120s", method, path, base, body),
			fmt.Sprintf("< %d %s", code, strings.TrimSpace(answer)),
		)
	}
	call(1, "POST", "/config/replace", "0", string(Config(1))) // an exact repetition, at another machine
	call(2, "POST", "/config/replace", "0", string(Config(2)))
	call(0, "POST", "/config/replace", "1", `{"gen":3,"routes":[`)
	call(0, "POST", "/config/replace", "1", `{"gen":3} more`)
	call(
		0,
		"POST",
		"/config/replace",
		"1",
		`{"gen":3,"routes":[{"name":"a","host":"h","prefix":"/","type":"primary","timeoutMs":9,"svc":"none"}],"svcs":[]}`,
	)
	call(
		0,
		"POST",
		"/config/replace",
		"1",
		`{"gen":3,"routes":[{"name":"a","host":"h","prefix":"/","type":"primary","timeoutMs":0,"svc":"s"}],"svcs":[{"name":"s"}]}`,
	)
	call(
		0,
		"POST",
		"/config/replace",
		"1",
		`{"gen":3,"routes":[{"name":"a","host":"h","prefix":"/","type":"odd","timeoutMs":9,"svc":"s"}],"svcs":[{"name":"s"}]}`,
	)
	call(
		0,
		"POST",
		"/config/amend",
		"1",
		`{"gen":3,"upsert":{"routes":[{"name":"x","host":"prim","prefix":"/","type":"primary","timeoutMs":9,"svc":"svc"}]}}`,
	)
	call(0, "POST", "/config/amend", "1", `{"gen":1,"upsert":{}}`)
	call(0, "POST", "/config/amend", "1", `{"upsert":{}}`)
	call(0, "POST", "/config/amend", "", `{"gen":3}`)
	call(
		1,
		"POST",
		"/config/amend",
		"1",
		`{"gen":4,"upsert":{"routes":[{"name":"new","host":"new","prefix":"/","type":"primary","timeoutMs":9,"svc":"svc","odd":[1]}]},"del":{"routes":["o"]}}`,
	)
	call(
		2,
		"POST",
		"/config/amend",
		"1",
		`{"gen":4,"upsert":{"routes":[{"name":"new","host":"new","prefix":"/","type":"primary","timeoutMs":9,"svc":"svc","odd":[1]}]},"del":{"routes":["o"]}}`,
	)
	call(2, "POST", "/config/amend", "1", `{"gen":5,"del":{"routes":["new"]}}`)
	call(0, "GET", "/config/show", "", "")
	call(0, "POST", "/members/m1/heartbeat", "", `{"svc":`)
	checkTranscript(t, "operators", lines)
	d.Eventually("an added route is served, and a removed one is not", func() bool {
		_, a := d.Attach(0, "new")
		_, b := d.Attach(0, "self")
		return a == "READY I -" && strings.HasPrefix(b, "FAIL NODB")
	})
}

// startWrites writes from several clients until stop is called, which returns the ids of the writes that were answered
// DONE and of those whose answers guarantee that they did not run.
func startWrites(d *Deployment, fronts, clientsPerFront int) (stop func() (done, notExecuted []string)) {
	var mu sync.Mutex
	var done, notExecuted []string
	quit := make(chan struct{})
	var all sync.WaitGroup
	for n := range fronts * clientsPerFront {
		client, greeting := d.Attach(n%fronts, "prim")
		if greeting != "READY I -" {
			d.t.Fatal(greeting)
		}
		all.Add(1)
		go func() {
			defer all.Done()
			for {
				select {
				case <-quit:
					return
				default:
				}
				id, answer := client.Query(fmt.Sprint("STORE t", n, " v"))
				mu.Lock()
				switch {
				case strings.HasPrefix(answer, "DONE"):
					done = append(done, id)
				case strings.HasPrefix(answer, "FAIL RETRY"), strings.HasPrefix(answer, "FAIL RDONLY"), strings.HasPrefix(answer, "FAIL ABORTED"):
					notExecuted = append(notExecuted, id)
				case strings.HasPrefix(answer, "end"):
					mu.Unlock()
					return
				}
				mu.Unlock()
			}
		}()
	}
	return func() ([]string, []string) {
		close(quit)
		all.Wait()
		return done, notExecuted
	}
}

func auditWrites(d *Deployment, done, notExecuted []string) {
	d.Service.With(func(*replicaset.Group) {
		for _, id := range done {
			So(d.Service.Executions[id], ShouldEqual, 1)
		}
		for _, id := range notExecuted {
			So(d.Service.Executions[id], ShouldEqual, 0)
		}
		for _, n := range d.Service.Executions {
			So(n, ShouldEqual, 1)
		}
	})
	So(d.Service.LostCommits(), ShouldBeEmpty)
	So(len(done), ShouldBeGreaterThan, 0)
}

func TestMemberFailover(t *testing.T) {
	Convey("While clients write", t, func() {
		d := New(t, 3, 2)
		Reset(d.Stop)
		d.Configure(2)
		stop := startWrites(d, 2, 3)
		Convey("a crashed primary is replaced, and no acknowledged write is lost or runs twice", func() {
			d.Service.Crash("a")
			d.Eventually("another leads", func() bool { l := d.Service.Leader(); return l != "" && l != "a" })
			d.Eventually("writes succeed again", func() bool {
				k, _ := d.Attach(1, "prim")
				_, a := k.Query("STORE after 1")
				return strings.HasPrefix(a, "DONE")
			})
			done, notExecuted := stop()
			auditWrites(d, done, notExecuted)
		})
		Convey("a draining primary hands over, and its clients see no failure", func() {
			d.Service.With(func(g *replicaset.Group) { g.Member("a").Draining = true })
			d.Eventually("another leads", func() bool { l := d.Service.Leader(); return l != "" && l != "a" })
			d.Eventually("the proxy has switched to the new primary", func() bool {
				_, s := d.Call("GET", d.ReadyAddr(0), "/status", "", nil)
				return strings.Contains(s, `"slot": "`+d.Service.Leader())
			})
			done, notExecuted := stop()
			So(notExecuted, ShouldBeEmpty)
			auditWrites(d, done, notExecuted)
			So(d.Service.AfterDrain, ShouldBeEmpty)
		})
		Convey("a primary whose commits reach no replica is replaced, though it answers", func() {
			d.Service.With(func(g *replicaset.Group) { g.Member("a").Partitioned = true })
			d.Eventually("another leads", func() bool { l := d.Service.Leader(); return l != "" && l != "a" })
			d.Service.With(func(g *replicaset.Group) { g.Member("a").Partitioned = false })
			done, notExecuted := stop()
			auditWrites(d, done, notExecuted)
		})
		Convey("the core's leader is killed as the primary crashes, and the next leader completes the failover", func() {
			leaderName := leader(d)
			d.Kill(leaderName)
			d.Service.Crash("a")
			d.Eventually("another leads", func() bool { l := d.Service.Leader(); return l != "" && l != "a" })
			done, notExecuted := stop()
			auditWrites(d, done, notExecuted)
		})
		Convey("the whole core restarts while the only replica with a commit is down: no other member is promoted", func() {
			done, notExecuted := stop()
			d.Service.With(func(g *replicaset.Group) { g.Member("b").NotReceiving = true })
			k, _ := d.Attach(0, "prim")
			id, a := k.Query("STORE only 1")
			So(a, ShouldStartWith, "DONE")
			d.Service.Crash("c")
			for i := range 3 {
				d.Kill(fmt.Sprint("core", i))
			}
			d.Service.Crash("a")
			d.Service.With(func(g *replicaset.Group) { g.Member("b").NotReceiving = false })
			for i := range 3 {
				d.Start(fmt.Sprint("core", i), false)
			}
			d.Eventually("the core waits for the crashed replica", func() bool {
				for _, c := range d.Cores {
					if _, s := d.Call("GET", c, "/events", "", nil); strings.Contains(s, "waits for 1 more of 2 replicas") {
						return true
					}
				}
				return false
			})
			So(d.Service.Leader(), ShouldEqual, "")
			d.Service.With(func(g *replicaset.Group) { g.Member("c").Restart() })
			d.Eventually("the replica with the commit leads", func() bool { return d.Service.Leader() == "c" })
			auditWrites(d, append(done, id), notExecuted)
		})
		Convey("answers to writes are lost: no write that ran is reported as not executed, none runs twice", func() {
			d.Service.With(func(*replicaset.Group) { d.Service.LoseAnswers = 5 })
			d.Eventually("the answers were lost", func() bool {
				n := 1
				d.Service.With(func(*replicaset.Group) { n = d.Service.LoseAnswers })
				return n == 0
			})
			done, notExecuted := stop()
			auditWrites(d, done, notExecuted)
		})
		Convey("a proxy gets SIGTERM: pending statements are answered, and it ends in time", func() {
			began := time.Now()
			d.Signal("proxy0", syscall.SIGTERM)
			d.processes["proxy0"].Wait()
			So(time.Since(began), ShouldBeLessThan, 4*time.Second) // the race detector delays the exit by a second
			done, notExecuted := stop()
			auditWrites(d, done, notExecuted)
		})
	})
}

func leader(d *Deployment) string {
	name := ""
	d.Eventually("a core machine leads", func() bool {
		for i, c := range d.Cores {
			if _, s := d.Call("GET", c, "/status", "", nil); strings.Contains(s, `"leads": true`) {
				name = fmt.Sprint("core", i)
				return true
			}
		}
		return false
	})
	return name
}

// voters returns, from the voters that a machine knows, the number of those with the identity of their original disk,
// and a string of all of them.
func voters(d *Deployment, n int) (originals int, all string) {
	_, s := d.Call("GET", d.Cores[n], "/status", "", nil)
	var v struct{ Voters []consensus.Voter }
	if json.Unmarshal([]byte(s), &v) != nil {
		return 0, ""
	}
	for _, x := range v.Voters {
		if strings.HasPrefix(x.ID, "0@") {
			originals++
		}
	}
	return originals, fmt.Sprint(v.Voters)
}

func TestCoreFaults(t *testing.T) {
	Convey("With a configuration accepted", t, func() {
		d := New(t, 3, 1)
		Reset(d.Stop)
		d.Configure(1)
		showsVersion := func(gen string) bool {
			for _, c := range d.Cores {
				if code, s := d.Call("GET", c, "/config/show", "", nil); code == 200 {
					return strings.Contains(s, `"gen":`+gen)
				}
			}
			return false
		}
		Convey("a frozen leader acknowledges no change that the others lack", func() {
			leaderName := leader(d)
			d.Signal(leaderName, syscall.SIGSTOP)
			d.Eventually("the others accept the next configuration", func() bool {
				for i, c := range d.Cores {
					if fmt.Sprint("core", i) != leaderName {
						if code, _ := d.Call("POST", c, "/config/replace", "1", Config(2)); code == 200 {
							return true
						}
					}
				}
				return false
			})
			d.Signal(leaderName, syscall.SIGCONT)
			n := int(leaderName[4] - '0')
			d.Eventually("it says what the others took", func() bool {
				code, s := d.Call("GET", d.Cores[n], "/config/show", "", nil)
				So(code == 200 && strings.Contains(s, `"gen":1,`), ShouldBeFalse)
				return code == 200 && strings.Contains(s, `"gen":2`)
			})
		})
		Convey("of two operators' changes on the same base one wins, whichever machines they call", func() {
			codes := make(chan int, 2)
			for i := range 2 {
				go func() {
					for {
						body := strings.Replace(string(Config(5)), `"txIdleMs":500`, fmt.Sprint(`"txIdleMs":`, 600+i), 1)
						if code, _ := d.Call(
							"POST",
							d.Cores[i],
							"/config/replace",
							"1",
							[]byte(body),
						); code == 200 || code == 412 ||
							code == 400 {
							codes <- code
							return
						}
					}
				}()
			}
			a, b := <-codes, <-codes
			So((a == 200) != (b == 200), ShouldBeTrue)
		})
		Convey("all are killed right after an acknowledgement, and one disk is lost", func() {
			d.Eventually("the next configuration is accepted", func() bool {
				code, _ := d.Call("POST", d.Cores[0], "/config/replace", "1", Config(2))
				return code == 200
			})
			for i := range 3 {
				d.Kill(fmt.Sprint("core", i))
			}
			d.EraseDisk("core0")
			for i := range 3 {
				d.Start(fmt.Sprint("core", i), i != 0)
			}
			d.Eventually("it is still there", func() bool { return showsVersion("2") })
			d.Eventually("the machine with the erased disk is a voter again, with another identity", func() bool {
				originals, all := voters(d, 1)
				return originals == 2 && strings.Contains(all, d.Cores[0])
			})
			Convey("and then another disk is lost", func() {
				d.Kill("core1")
				d.EraseDisk("core1")
				d.Start("core1", false)
				d.Eventually("it is still there", func() bool { return showsVersion("2") })
			})
		})
	})
}

// A proxy that starts while the core is down serves the configuration that its agent knows.
func TestProxyThatStartsWithoutCoreServes(t *testing.T) {
	Convey("With a configuration accepted, and the core down", t, func() {
		d := New(t, 3, 1)
		Reset(d.Stop)
		d.Configure(1)
		for i := range 3 {
			d.Kill(fmt.Sprint("core", i))
		}
		d.Kill("proxy0")
		d.Start("proxy0", true)
		d.Eventually("it is ready", func() bool { return d.Ready(0) })
		d.Eventually("it serves", func() bool {
			k, _ := d.Attach(0, "prim")
			if k == nil {
				return false
			}
			_, a := k.Query("STORE x 1")
			return strings.HasPrefix(a, "DONE")
		})
	})
}

// replaceConfig sends the configuration of a version, based on another, until a machine other than except accepts it.
func replaceConfig(d *Deployment, base, gen int, except string) {
	d.t.Helper()
	d.Eventually(fmt.Sprint("configuration ", gen, " is accepted"), func() bool {
		for i, c := range d.Cores {
			if fmt.Sprint("core", i) != except {
				if code, _ := d.Call("POST", c, "/config/replace", fmt.Sprint(base), Config(gen)); code == 200 {
					return true
				}
			}
		}
		return false
	})
}

func TestDiskFaults(t *testing.T) {
	Convey("With disks that lose unsynced writes", t, func() {
		d := New(t, 3, 1)
		Reset(d.Stop)
		d.Configure(1)
		gen := 1
		shownVersion := func(core int) string {
			code, s := d.Call("GET", d.Cores[core], "/config/show", "", nil)
			if code != 200 {
				return ""
			}
			return s[:strings.Index(s, ",")]
		}
		replaceNext := func(except string) {
			replaceConfig(d, gen, gen+1, except)
			gen++
		}
		Convey("the leader's status shows a slow disk and a missing voter", func() {
			leaderName := leader(d)
			d.SetDiskFaults(leaderName, disk.SlowSync)
			replaceNext("")
			killed := fmt.Sprint("core", (int(leaderName[4]-'0')+1)%3)
			d.Kill(killed)
			d.Eventually("the status shows both", func() bool {
				var b strings.Builder
				weirctl.Main([]string{"status", d.Cores[leaderName[4]-'0']}, &b, &b)
				slow, behind := false, strings.Contains(b.String(), "ms ago")
				for _, line := range strings.Split(b.String(), "\n") {
					var n int
					var last, slowest float64
					if k, _ := fmt.Sscanf(line, "  disk: %d syncs, the last %f ms, the slowest %f ms", &n, &last, &slowest); k == 3 {
						slow = slowest >= 50
					}
				}
				return slow && behind
			})
			d.SetDiskFaults(leaderName)
			replaceConfig(d, gen, gen+1, killed)
		})
		Convey("the leader's disk stalls: it hands leadership over, and acknowledges nothing that it could not sync", func() {
			leaderName := leader(d)
			d.SetDiskFaults(leaderName, disk.Stall)
			replaceNext(leaderName)
			replaceNext(leaderName)
			d.SetDiskFaults(leaderName)
			n := int(leaderName[4] - '0')
			d.Eventually("it says what the others took", func() bool { return shownVersion(n) == fmt.Sprint(`{"gen":`, gen) })
			Convey("and the next leader's disk stalls, while the others' are slow", func() {
				second := leader(d)
				for i := range 3 {
					if name := fmt.Sprint("core", i); name != second {
						d.SetDiskFaults(name, disk.SlowSync)
					}
				}
				d.SetDiskFaults(second, disk.Stall)
				replaceNext(second)
			})
		})
		Convey("a disk refuses writes: its machine acknowledges nothing more, exits, and comes back with its identity", func() {
			leaderName := leader(d)
			d.SetDiskFaults(leaderName, disk.Refuse)
			replaceNext(leaderName)
			d.processes[leaderName].Wait()
			d.SetDiskFaults(leaderName)
			d.Start(leaderName, false)
			n := int(leaderName[4] - '0')
			d.Eventually("it says what the others took", func() bool { return shownVersion(n) == fmt.Sprint(`{"gen":`, gen) })
			originals, _ := voters(d, n)
			So(originals, ShouldEqual, 3)
		})
		Convey("all machines lose power right after each of several acknowledgements: no change is lost", func() {
			for k := range 5 {
				for i := range 3 {
					if k%2 == 1 {
						d.SetDiskFaults(fmt.Sprint("core", i), disk.TearWrites)
					} else {
						d.SetDiskFaults(fmt.Sprint("core", i))
					}
				}
				replaceNext("")
				for i := range 3 {
					d.Kill(fmt.Sprint("core", i))
				}
				for i := range 3 {
					d.Start(fmt.Sprint("core", i), false)
				}
				d.Eventually("it is still there", func() bool { return shownVersion(k%3) == fmt.Sprint(`{"gen":`, gen) })
			}
		})
		Convey("all machines lose power, and one that had acknowledged loses its disk", func() {
			replaceNext("")
			for i := range 3 {
				d.Kill(fmt.Sprint("core", i))
			}
			d.EraseDisk("core0")
			for i := range 3 {
				d.Start(fmt.Sprint("core", i), false)
			}
			d.Eventually("it is still there", func() bool { return shownVersion(1) == fmt.Sprint(`{"gen":`, gen) })
			replaceNext("core0")
		})
	})
}

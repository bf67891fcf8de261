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

var approve = flag.Bool("approve", false, "write the transcripts anew")

func TestMain(m *testing.M) { os.Exit(Main(m)) }

var variableParts = regexp.MustCompile(`\b(q\d+|[abc])\b|\d+\.\d+`)

// checkTranscript compares an exchange with the approved one.
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
		t.Errorf("%s: the exchange is not the approved one; -approve writes it anew. It is\n%s", name, got)
	}
}

func TestSessions(t *testing.T) {
	d := New(t, 3, 1)
	d.Configure(1)
	var lines []string
	talk := func(k *Client, texts ...string) {
		for _, x := range texts {
			_, a := k.Query(x)
			lines = append(lines, "> "+x, "< "+variableParts.ReplaceAllString(a, "_"))
		}
	}
	open := func(db string) *Client {
		k, first := d.Attach(0, db)
		lines = append(lines, "", "> ATTACH "+db, "< "+first)
		return k
	}
	k := open("prim")
	talk(k, "STORE x 1", "FETCH x", "BEGIN", "STORE x 2", "FETCH x", "COMMIT", "FETCH x")
	talk(k, "BEGIN", "STORE x 3", "ABORT", "FETCH x", "ABORT", "COMMIT")
	talk(
		k,
		"SET colour red green",
		"PREP p STORE s1",
		"EXEC p x 4",
		"UNPREP p",
		"EXEC p x 5",
		"UNPREP p",
		"PREP r FETCH s2",
		"EXEC r x",
	)
	talk(
		k,
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
	k = open("self")
	talk(k, "FETCH x", "STORE y 1", "FETCH y", "BEGIN FETCH", "STORE y 2", "FETCH y", "ABORT", "FETCH y")
	k = open("stale")
	talk(k, "FETCH x", "BEGIN FETCH", "FETCH x", "COMMIT")
	open("nowhere")
	k = open("prim")
	k.Send("QUERY\r\n")
	lines = append(lines, "> QUERY", "< "+k.ReadLine(), "< "+k.ReadLine())
	k = open("prim")
	k.Send("a line without its end\n")
	lines = append(lines, "> a line without its end", "< "+k.ReadLine())
	k = open("prim")
	talk(k, "BEGIN", "STORE z 1")
	d.Eventually(
		"the transaction that rests is ended",
		func() bool { return d.Service.OpenTransactions() == 0 },
	) // txIdleMs is 500
	talk(k, "STORE z 2", "STORE z 3", "COMMIT", "FETCH z")
	checkTranscript(t, "sessions", lines)
}

func TestOperators(t *testing.T) {
	d := New(t, 3, 1)
	d.Configure(1)
	d.Eventually("all have contact", func() bool { // a machine without answers 503, whatever it is asked
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
	call(1, "POST", "/config/replace", "0", string(Config(1))) // an exact repeat, at another machine
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
	d.Eventually("a route that was added serves, and one that was removed does not", func() bool {
		_, a := d.Attach(0, "new")
		_, b := d.Attach(0, "self")
		return a == "READY I -" && strings.HasPrefix(b, "FAIL NODB")
	})
}

// startWrites writes from several clients until stopped, and gives the ids that were answered DONE and those whose
// answers promise that they did not run.
func startWrites(d *Deployment, fronts, each int) (stop func() (done, undone []string)) {
	var mu sync.Mutex
	var done, undone []string
	quit := make(chan struct{})
	var all sync.WaitGroup
	for n := range fronts * each {
		k, first := d.Attach(n%fronts, "prim")
		if first != "READY I -" {
			d.t.Fatal(first)
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
				id, a := k.Query(fmt.Sprint("STORE t", n, " v"))
				mu.Lock()
				switch {
				case strings.HasPrefix(a, "DONE"):
					done = append(done, id)
				case strings.HasPrefix(a, "FAIL RETRY"), strings.HasPrefix(a, "FAIL RDONLY"), strings.HasPrefix(a, "FAIL ABORTED"):
					undone = append(undone, id)
				case strings.HasPrefix(a, "end"):
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
		return done, undone
	}
}

func auditWrites(d *Deployment, done, undone []string) {
	d.Service.With(func(*replicaset.Group) {
		for _, id := range done {
			So(d.Service.Executions[id], ShouldEqual, 1)
		}
		for _, id := range undone {
			So(d.Service.Executions[id], ShouldEqual, 0)
		}
		for _, n := range d.Service.Executions {
			So(n, ShouldEqual, 1)
		}
	})
	So(d.Service.LostCommits(), ShouldBeEmpty)
	So(len(done), ShouldBeGreaterThan, 0)
}

func TestSuccessions(t *testing.T) {
	Convey("While clients write", t, func() {
		d := New(t, 3, 2)
		Reset(d.Stop)
		d.Configure(2)
		stop := startWrites(d, 2, 3)
		Convey("a primary that dies is replaced, and nothing that was answered is lost or doubled", func() {
			d.Service.Crash("a")
			d.Eventually("another leads", func() bool { l := d.Service.Leader(); return l != "" && l != "a" })
			d.Eventually("writes go on", func() bool {
				k, _ := d.Attach(1, "prim")
				_, a := k.Query("STORE after 1")
				return strings.HasPrefix(a, "DONE")
			})
			done, undone := stop()
			auditWrites(d, done, undone)
		})
		Convey("one that is to be replaced hands over, and its clients meet no failure", func() {
			d.Service.With(func(g *replicaset.Group) { g.Member("a").Draining = true })
			d.Eventually("another leads", func() bool { l := d.Service.Leader(); return l != "" && l != "a" })
			d.Eventually("it is asked no more", func() bool {
				_, s := d.Call("GET", d.ReadyAddr(0), "/status", "", nil)
				return strings.Contains(s, `"slot": "`+d.Service.Leader())
			})
			done, undone := stop()
			So(undone, ShouldBeEmpty)
			auditWrites(d, done, undone)
			So(d.Service.AfterDrain, ShouldBeEmpty)
		})
		Convey("one whose commits reach no replica is replaced though it speaks", func() {
			d.Service.With(func(g *replicaset.Group) { g.Member("a").Partitioned = true })
			d.Eventually("another leads", func() bool { l := d.Service.Leader(); return l != "" && l != "a" })
			d.Service.With(func(g *replicaset.Group) { g.Member("a").Partitioned = false })
			done, undone := stop()
			auditWrites(d, done, undone)
		})
		Convey("the core's leader is killed as the primary dies, and its successor does the same", func() {
			lead := leader(d)
			d.Kill(lead)
			d.Service.Crash("a")
			d.Eventually("another leads", func() bool { l := d.Service.Leader(); return l != "" && l != "a" })
			done, undone := stop()
			auditWrites(d, done, undone)
		})
		Convey("all of the core forgets while a replica is dead that alone holds a commit: nobody else is named", func() {
			done, undone := stop()
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
			d.Eventually("the core waits for who is dead", func() bool {
				for _, c := range d.Cores {
					if _, s := d.Call("GET", c, "/events", "", nil); strings.Contains(s, "waits for 1 more of 2 replicas") {
						return true
					}
				}
				return false
			})
			So(d.Service.Leader(), ShouldEqual, "")
			d.Service.With(func(g *replicaset.Group) { g.Member("c").Restart() })
			d.Eventually("who has it leads", func() bool { return d.Service.Leader() == "c" })
			auditWrites(d, append(done, id), undone)
		})
		Convey("answers to writes are lost: none is promised undone, none runs twice", func() {
			d.Service.With(func(*replicaset.Group) { d.Service.LoseAnswers = 5 })
			d.Eventually("they were lost", func() bool {
				n := 1
				d.Service.With(func(*replicaset.Group) { n = d.Service.LoseAnswers })
				return n == 0
			})
			done, undone := stop()
			auditWrites(d, done, undone)
		})
		Convey("a proxy gets SIGTERM: what was asked is answered, and it ends in time", func() {
			began := time.Now()
			d.Signal("proxy0", syscall.SIGTERM)
			d.processes["proxy0"].Wait()
			So(time.Since(began), ShouldBeLessThan, 4*time.Second) // the race detector ends a second late
			done, undone := stop()
			auditWrites(d, done, undone)
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

// voters gives how many of the voters that a machine knows have their disks' first identity, and all voters.
func voters(d *Deployment, n int) (first int, all string) {
	_, s := d.Call("GET", d.Cores[n], "/status", "", nil)
	var v struct{ Voters []consensus.Voter }
	if json.Unmarshal([]byte(s), &v) != nil {
		return 0, ""
	}
	for _, x := range v.Voters {
		if strings.HasPrefix(x.ID, "0@") {
			first++
		}
	}
	return first, fmt.Sprint(v.Voters)
}

func TestCore(t *testing.T) {
	Convey("With a configuration taken", t, func() {
		d := New(t, 3, 1)
		Reset(d.Stop)
		d.Configure(1)
		shown := func(gen string) bool {
			for _, c := range d.Cores {
				if code, s := d.Call("GET", c, "/config/show", "", nil); code == 200 {
					return strings.Contains(s, `"gen":`+gen)
				}
			}
			return false
		}
		Convey("a leader frozen in a change takes nothing that the others have not", func() {
			lead := leader(d)
			d.Signal(lead, syscall.SIGSTOP)
			d.Eventually("the others take the next", func() bool {
				for i, c := range d.Cores {
					if fmt.Sprint("core", i) != lead {
						if code, _ := d.Call("POST", c, "/config/replace", "1", Config(2)); code == 200 {
							return true
						}
					}
				}
				return false
			})
			d.Signal(lead, syscall.SIGCONT)
			n := int(lead[4] - '0')
			d.Eventually("it says what the others took", func() bool {
				code, s := d.Call("GET", d.Cores[n], "/config/show", "", nil)
				So(code == 200 && strings.Contains(s, `"gen":1,`), ShouldBeFalse)
				return code == 200 && strings.Contains(s, `"gen":2`)
			})
		})
		Convey("of two operators on one base one wins, wherever they call", func() {
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
			d.Eventually("the next is taken", func() bool {
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
			d.Eventually("it is still there", func() bool { return shown("2") })
			d.Eventually("the empty one is a voter again, under another name", func() bool {
				first, all := voters(d, 1)
				return first == 2 && strings.Contains(all, d.Cores[0])
			})
			Convey("and then another disk", func() {
				d.Kill("core1")
				d.EraseDisk("core1")
				d.Start("core1", false)
				d.Eventually("it is still there", func() bool { return shown("2") })
			})
		})
		Convey("a proxy that starts while the core is away serves by what its agent knows", func() {
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
	})
}

// replaceConfig has the configuration of a version accepted on its base, by any machine but one.
func replaceConfig(d *Deployment, base, gen int, but string) {
	d.t.Helper()
	d.Eventually(fmt.Sprint("configuration ", gen, " is taken"), func() bool {
		for i, c := range d.Cores {
			if fmt.Sprint("core", i) != but {
				if code, _ := d.Call("POST", c, "/config/replace", fmt.Sprint(base), Config(gen)); code == 200 {
					return true
				}
			}
		}
		return false
	})
}

func TestDisks(t *testing.T) {
	Convey("With disks that lose what was not synced", t, func() {
		d := New(t, 3, 1)
		Reset(d.Stop)
		d.Configure(1)
		gen := 1
		shown := func(core int) string {
			code, s := d.Call("GET", d.Cores[core], "/config/show", "", nil)
			if code != 200 {
				return ""
			}
			return s[:strings.Index(s, ",")]
		}
		next := func(but string) {
			replaceConfig(d, gen, gen+1, but)
			gen++
		}
		Convey("a disk that is slow shows in the leader's status, and a voter that is gone", func() {
			lead := leader(d)
			d.SetDiskFaults(lead, disk.SlowSync)
			next("")
			gone := fmt.Sprint("core", (int(lead[4]-'0')+1)%3)
			d.Kill(gone)
			d.Eventually("status tells both", func() bool {
				var b strings.Builder
				weirctl.Main([]string{"status", d.Cores[lead[4]-'0']}, &b, &b)
				slow, behind := false, strings.Contains(b.String(), "ms ago")
				for _, line := range strings.Split(b.String(), "\n") {
					var n int
					var last, most float64
					if k, _ := fmt.Sscanf(line, "  disk: %d syncs, the last %f ms, the slowest %f ms", &n, &last, &most); k == 3 {
						slow = most >= 50
					}
				}
				return slow && behind
			})
			d.SetDiskFaults(lead)
			replaceConfig(d, gen, gen+1, gone)
		})
		Convey("the leader's disk stalls: it hands the lead over, and never answers what it could not sync", func() {
			lead := leader(d)
			d.SetDiskFaults(lead, disk.Stall)
			next(lead)
			next(lead)
			d.SetDiskFaults(lead)
			n := int(lead[4] - '0')
			d.Eventually("it says what the others took", func() bool { return shown(n) == fmt.Sprint(`{"gen":`, gen) })
			Convey("and the disk of the next one stalls, and that of another is slow", func() {
				second := leader(d)
				for i := range 3 {
					if name := fmt.Sprint("core", i); name != second {
						d.SetDiskFaults(name, disk.SlowSync)
					}
				}
				d.SetDiskFaults(second, disk.Stall)
				next(second)
			})
		})
		Convey("a disk refuses: its machine says nothing that follows, ends and comes back as who it was", func() {
			lead := leader(d)
			d.SetDiskFaults(lead, disk.Refuse)
			next(lead)
			d.processes[lead].Wait()
			d.SetDiskFaults(lead)
			d.Start(lead, false)
			n := int(lead[4] - '0')
			d.Eventually("it says what the others took", func() bool { return shown(n) == fmt.Sprint(`{"gen":`, gen) })
			first, _ := voters(d, n)
			So(first, ShouldEqual, 3)
		})
		Convey("power goes everywhere right after each of many acknowledgements: none is lost", func() {
			for k := range 5 {
				for i := range 3 {
					if k%2 == 1 {
						d.SetDiskFaults(fmt.Sprint("core", i), disk.TearWrites)
					} else {
						d.SetDiskFaults(fmt.Sprint("core", i))
					}
				}
				next("")
				for i := range 3 {
					d.Kill(fmt.Sprint("core", i))
				}
				for i := range 3 {
					d.Start(fmt.Sprint("core", i), false)
				}
				d.Eventually("it is still there", func() bool { return shown(k%3) == fmt.Sprint(`{"gen":`, gen) })
			}
		})
		Convey("power goes everywhere, and with it the disk of one that had acknowledged", func() {
			next("")
			for i := range 3 {
				d.Kill(fmt.Sprint("core", i))
			}
			d.EraseDisk("core0")
			for i := range 3 {
				d.Start(fmt.Sprint("core", i), false)
			}
			d.Eventually("it is still there", func() bool { return shown(1) == fmt.Sprint(`{"gen":`, gen) })
			next("core0")
		})
	})
}

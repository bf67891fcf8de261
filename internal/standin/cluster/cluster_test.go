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

var changing = regexp.MustCompile(`\b(q\d+|[abc])\b|\d+\.\d+`)

// transcript holds what was said against the approved one.
func transcript(t *testing.T, name string, lines []string) {
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
	w := New(t, 3, 1)
	w.Configure(1)
	var lines []string
	talk := func(k *Client, texts ...string) {
		for _, x := range texts {
			_, a := k.Query(x)
			lines = append(lines, "> "+x, "< "+changing.ReplaceAllString(a, "_"))
		}
	}
	open := func(db string) *Client {
		k, first := w.Attach(0, db)
		lines = append(lines, "", "> ATTACH "+db, "< "+first)
		return k
	}
	k := open("prim")
	talk(k, "STORE x 1", "FETCH x", "BEGIN", "STORE x 2", "FETCH x", "COMMIT", "FETCH x")
	talk(k, "BEGIN", "STORE x 3", "ABORT", "FETCH x", "ABORT", "COMMIT")
	talk(k, "SET colour red green", "PREP p STORE s1", "EXEC p x 4", "UNPREP p", "EXEC p x 5", "UNPREP p", "PREP r FETCH s2", "EXEC r x")
	talk(k, "BEGIN", "COMMIT", "BEGIN FETCH", "FETCH x", "COMMIT", "BEGIN", "BEGIN", "NONSENSE", "COMMIT", "PREP q DELETE x")
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
	w.Eventually("the transaction that rests is ended", func() bool { return w.Service.OpenTransactions() == 0 }) // txIdleMs is 500
	talk(k, "STORE z 2", "STORE z 3", "COMMIT", "FETCH z")
	transcript(t, "sessions", lines)
}

func TestOperators(t *testing.T) {
	w := New(t, 3, 1)
	w.Configure(1)
	var lines []string
	call := func(core int, method, path, base, body string) {
		code, answer := w.Call(method, w.Cores[core], path, base, []byte(body))
		lines = append(lines, fmt.Sprintf("> %s %s base %s: %.120s", method, path, base, body), fmt.Sprintf("< %d %s", code, strings.TrimSpace(answer)))
	}
	call(1, "POST", "/config/replace", "0", string(Config(1))) // an exact repeat, at another machine
	call(2, "POST", "/config/replace", "0", string(Config(2)))
	call(0, "POST", "/config/replace", "1", `{"gen":3,"routes":[`)
	call(0, "POST", "/config/replace", "1", `{"gen":3} more`)
	call(0, "POST", "/config/replace", "1", `{"gen":3,"routes":[{"name":"a","host":"h","prefix":"/","type":"primary","timeoutMs":9,"svc":"none"}],"svcs":[]}`)
	call(0, "POST", "/config/replace", "1", `{"gen":3,"routes":[{"name":"a","host":"h","prefix":"/","type":"primary","timeoutMs":0,"svc":"s"}],"svcs":[{"name":"s"}]}`)
	call(0, "POST", "/config/replace", "1", `{"gen":3,"routes":[{"name":"a","host":"h","prefix":"/","type":"odd","timeoutMs":9,"svc":"s"}],"svcs":[{"name":"s"}]}`)
	call(0, "POST", "/config/amend", "1", `{"gen":3,"upsert":{"routes":[{"name":"x","host":"prim","prefix":"/","type":"primary","timeoutMs":9,"svc":"svc"}]}}`)
	call(0, "POST", "/config/amend", "1", `{"gen":1,"upsert":{}}`)
	call(0, "POST", "/config/amend", "1", `{"upsert":{}}`)
	call(0, "POST", "/config/amend", "", `{"gen":3}`)
	call(1, "POST", "/config/amend", "1", `{"gen":4,"upsert":{"routes":[{"name":"new","host":"new","prefix":"/","type":"primary","timeoutMs":9,"svc":"svc","odd":[1]}]},"del":{"routes":["o"]}}`)
	call(2, "POST", "/config/amend", "1", `{"gen":4,"upsert":{"routes":[{"name":"new","host":"new","prefix":"/","type":"primary","timeoutMs":9,"svc":"svc","odd":[1]}]},"del":{"routes":["o"]}}`)
	call(2, "POST", "/config/amend", "1", `{"gen":5,"del":{"routes":["new"]}}`)
	call(0, "GET", "/config/show", "", "")
	call(0, "POST", "/members/m1/heartbeat", "", `{"svc":`)
	transcript(t, "operators", lines)
	w.Eventually("a route that was added serves, and one that was removed does not", func() bool {
		_, a := w.Attach(0, "new")
		_, b := w.Attach(0, "self")
		return a == "READY I -" && strings.HasPrefix(b, "FAIL NODB")
	})
}

// load writes from several clients until stopped, and gives the ids that were answered DONE and those that were promised undone.
func load(w *Deployment, fronts, each int) (stop func() (done, undone []string)) {
	var mu sync.Mutex
	var done, undone []string
	quit := make(chan struct{})
	var all sync.WaitGroup
	for n := range fronts * each {
		k, first := w.Attach(n%fronts, "prim")
		if first != "READY I -" {
			w.t.Fatal(first)
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

func audit(w *Deployment, done, undone []string) {
	w.Service.With(func(*replicaset.Group) {
		for _, id := range done {
			So(w.Service.Executions[id], ShouldEqual, 1)
		}
		for _, id := range undone {
			So(w.Service.Executions[id], ShouldEqual, 0)
		}
		for _, n := range w.Service.Executions {
			So(n, ShouldEqual, 1)
		}
	})
	So(w.Service.Lost(), ShouldBeEmpty)
	So(len(done), ShouldBeGreaterThan, 0)
}

func TestSuccessions(t *testing.T) {
	Convey("While clients write", t, func() {
		w := New(t, 3, 2)
		Reset(w.Stop)
		w.Configure(2)
		stop := load(w, 2, 3)
		Convey("a primary that dies is replaced, and nothing that was answered is lost or doubled", func() {
			w.Service.Crash("a")
			w.Eventually("another leads", func() bool { l := w.Service.Leader(); return l != "" && l != "a" })
			w.Eventually("writes go on", func() bool {
				k, _ := w.Attach(1, "prim")
				_, a := k.Query("STORE after 1")
				return strings.HasPrefix(a, "DONE")
			})
			done, undone := stop()
			audit(w, done, undone)
		})
		Convey("one that is to be replaced hands over, and its clients meet no failure", func() {
			w.Service.With(func(g *replicaset.Group) { g.Member("a").Draining = true })
			w.Eventually("another leads", func() bool { l := w.Service.Leader(); return l != "" && l != "a" })
			w.Eventually("it is asked no more", func() bool {
				_, s := w.Call("GET", w.readyAddr(0), "/status", "", nil)
				return strings.Contains(s, `"slot": "`+w.Service.Leader())
			})
			done, undone := stop()
			So(undone, ShouldBeEmpty)
			audit(w, done, undone)
			So(w.Service.AfterDrain, ShouldBeEmpty)
		})
		Convey("one whose commits reach no replica is replaced though it speaks", func() {
			w.Service.With(func(g *replicaset.Group) { g.Member("a").Partitioned = true })
			w.Eventually("another leads", func() bool { l := w.Service.Leader(); return l != "" && l != "a" })
			w.Service.With(func(g *replicaset.Group) { g.Member("a").Partitioned = false })
			done, undone := stop()
			audit(w, done, undone)
		})
		Convey("the core's leader is killed as the primary dies, and its successor does the same", func() {
			lead := leader(w)
			w.Kill(lead)
			w.Service.Crash("a")
			w.Eventually("another leads", func() bool { l := w.Service.Leader(); return l != "" && l != "a" })
			done, undone := stop()
			audit(w, done, undone)
		})
		Convey("all of the core forgets while a replica is dead that alone holds a commit: nobody else is named", func() {
			done, undone := stop()
			w.Service.With(func(g *replicaset.Group) { g.Member("b").NotReceiving = true })
			k, _ := w.Attach(0, "prim")
			id, a := k.Query("STORE only 1")
			So(a, ShouldStartWith, "DONE")
			w.Service.Crash("c")
			for i := range 3 {
				w.Kill(fmt.Sprint("core", i))
			}
			w.Service.Crash("a")
			w.Service.With(func(g *replicaset.Group) { g.Member("b").NotReceiving = false })
			for i := range 3 {
				w.Start(fmt.Sprint("core", i), false)
			}
			w.Eventually("the core waits for who is dead", func() bool {
				for _, c := range w.Cores {
					if _, s := w.Call("GET", c, "/events", "", nil); strings.Contains(s, "waits for 1 more of 2 replicas") {
						return true
					}
				}
				return false
			})
			So(w.Service.Leader(), ShouldEqual, "")
			w.Service.With(func(g *replicaset.Group) { g.Member("c").Restart() })
			w.Eventually("who has it leads", func() bool { return w.Service.Leader() == "c" })
			audit(w, append(done, id), undone)
		})
		Convey("answers to writes are lost: none is promised undone, none runs twice", func() {
			w.Service.With(func(*replicaset.Group) { w.Service.LoseAnswers = 5 })
			w.Eventually("they were lost", func() bool {
				n := 1
				w.Service.With(func(*replicaset.Group) { n = w.Service.LoseAnswers })
				return n == 0
			})
			done, undone := stop()
			audit(w, done, undone)
		})
		Convey("a proxy is told to end: what was asked is answered, and it ends in time", func() {
			began := time.Now()
			w.Signal("proxy0", syscall.SIGTERM)
			w.processes["proxy0"].Wait()
			So(time.Since(began), ShouldBeLessThan, 4*time.Second) // the race detector ends a second late
			done, undone := stop()
			audit(w, done, undone)
		})
	})
}

func leader(w *Deployment) string {
	name := ""
	w.Eventually("a core machine leads", func() bool {
		for i, c := range w.Cores {
			if _, s := w.Call("GET", c, "/status", "", nil); strings.Contains(s, `"leads": true`) {
				name = fmt.Sprint("core", i)
				return true
			}
		}
		return false
	})
	return name
}

// voters gives how many of the voters that a machine knows are of their disks' first life, and all of them.
func voters(w *Deployment, n int) (first int, all string) {
	_, s := w.Call("GET", w.Cores[n], "/status", "", nil)
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
		w := New(t, 3, 1)
		Reset(w.Stop)
		w.Configure(1)
		shown := func(gen string) bool {
			for _, c := range w.Cores {
				if code, s := w.Call("GET", c, "/config/show", "", nil); code == 200 {
					return strings.Contains(s, `"gen":`+gen)
				}
			}
			return false
		}
		Convey("a leader frozen in a change takes nothing that the others have not", func() {
			lead := leader(w)
			w.Signal(lead, syscall.SIGSTOP)
			w.Eventually("the others take the next", func() bool {
				for i, c := range w.Cores {
					if fmt.Sprint("core", i) != lead {
						if code, _ := w.Call("POST", c, "/config/replace", "1", Config(2)); code == 200 {
							return true
						}
					}
				}
				return false
			})
			w.Signal(lead, syscall.SIGCONT)
			n := int(lead[4] - '0')
			w.Eventually("it says what the others took", func() bool {
				code, s := w.Call("GET", w.Cores[n], "/config/show", "", nil)
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
						if code, _ := w.Call("POST", w.Cores[i], "/config/replace", "1", []byte(body)); code == 200 || code == 412 || code == 400 {
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
			w.Eventually("the next is taken", func() bool {
				code, _ := w.Call("POST", w.Cores[0], "/config/replace", "1", Config(2))
				return code == 200
			})
			for i := range 3 {
				w.Kill(fmt.Sprint("core", i))
			}
			w.EraseDisk("core0")
			for i := range 3 {
				w.Start(fmt.Sprint("core", i), i != 0)
			}
			w.Eventually("it is still there", func() bool { return shown("2") })
			w.Eventually("the empty one is a voter again, under another name", func() bool {
				first, all := voters(w, 1)
				return first == 2 && strings.Contains(all, w.Cores[0])
			})
			Convey("and then another disk", func() {
				w.Kill("core1")
				w.EraseDisk("core1")
				w.Start("core1", false)
				w.Eventually("it is still there", func() bool { return shown("2") })
			})
		})
		Convey("a proxy that starts while the core is away serves by what its agent knows", func() {
			for i := range 3 {
				w.Kill(fmt.Sprint("core", i))
			}
			w.Kill("proxy0")
			w.Start("proxy0", true)
			w.Eventually("it is ready", func() bool { return w.Ready(0) })
			w.Eventually("it serves", func() bool {
				k, _ := w.Attach(0, "prim")
				if k == nil {
					return false
				}
				_, a := k.Query("STORE x 1")
				return strings.HasPrefix(a, "DONE")
			})
		})
	})
}

// change has the operator's configuration gen taken on top of base, by whichever machine but one.
func change(w *Deployment, base, gen int, but string) {
	w.t.Helper()
	w.Eventually(fmt.Sprint("configuration ", gen, " is taken"), func() bool {
		for i, c := range w.Cores {
			if fmt.Sprint("core", i) != but {
				if code, _ := w.Call("POST", c, "/config/replace", fmt.Sprint(base), Config(gen)); code == 200 {
					return true
				}
			}
		}
		return false
	})
}

func TestDisks(t *testing.T) {
	Convey("With disks that lose what was not synced", t, func() {
		w := New(t, 3, 1)
		Reset(w.Stop)
		w.Configure(1)
		gen := 1
		shown := func(core int) string {
			code, s := w.Call("GET", w.Cores[core], "/config/show", "", nil)
			if code != 200 {
				return ""
			}
			return s[:strings.Index(s, ",")]
		}
		next := func(but string) {
			change(w, gen, gen+1, but)
			gen++
		}
		Convey("a disk that is slow shows in the leader's status, and a voter that is gone", func() {
			lead := leader(w)
			w.SetDiskFaults(lead, disk.SlowSync)
			next("")
			gone := fmt.Sprint("core", (int(lead[4]-'0')+1)%3)
			w.Kill(gone)
			w.Eventually("status tells both", func() bool {
				var b strings.Builder
				weirctl.Main([]string{"status", w.Cores[lead[4]-'0']}, &b, &b)
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
			w.SetDiskFaults(lead)
			change(w, gen, gen+1, gone)
		})
		Convey("the leader's disk stalls: it hands the lead on, and what it could not sync it never said", func() {
			lead := leader(w)
			w.SetDiskFaults(lead, disk.Stall)
			next(lead)
			next(lead)
			w.SetDiskFaults(lead)
			n := int(lead[4] - '0')
			w.Eventually("it says what the others took", func() bool { return shown(n) == fmt.Sprint(`{"gen":`, gen) })
			Convey("and the disk of the next one stalls, and that of another is slow", func() {
				second := leader(w)
				for i := range 3 {
					if name := fmt.Sprint("core", i); name != second {
						w.SetDiskFaults(name, disk.SlowSync)
					}
				}
				w.SetDiskFaults(second, disk.Stall)
				next(second)
			})
		})
		Convey("a disk refuses: its machine says nothing that follows, ends and comes back as who it was", func() {
			lead := leader(w)
			w.SetDiskFaults(lead, disk.Refuse)
			next(lead)
			w.processes[lead].Wait()
			w.SetDiskFaults(lead)
			w.Start(lead, false)
			n := int(lead[4] - '0')
			w.Eventually("it says what the others took", func() bool { return shown(n) == fmt.Sprint(`{"gen":`, gen) })
			first, _ := voters(w, n)
			So(first, ShouldEqual, 3)
		})
		Convey("power goes everywhere right after each of many acknowledgements: none is lost", func() {
			for k := range 5 {
				for i := range 3 {
					if k%2 == 1 {
						w.SetDiskFaults(fmt.Sprint("core", i), disk.TearWrites)
					} else {
						w.SetDiskFaults(fmt.Sprint("core", i))
					}
				}
				next("")
				for i := range 3 {
					w.Kill(fmt.Sprint("core", i))
				}
				for i := range 3 {
					w.Start(fmt.Sprint("core", i), false)
				}
				w.Eventually("it is still there", func() bool { return shown(k%3) == fmt.Sprint(`{"gen":`, gen) })
			}
		})
		Convey("power goes everywhere, and with it the disk of one that had acknowledged", func() {
			next("")
			for i := range 3 {
				w.Kill(fmt.Sprint("core", i))
			}
			w.EraseDisk("core0")
			for i := range 3 {
				w.Start(fmt.Sprint("core", i), false)
			}
			w.Eventually("it is still there", func() bool { return shown(1) == fmt.Sprint(`{"gen":`, gen) })
			next("core0")
		})
	})
}

package cluster

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"weirwind/internal/standin/links"
	"weirwind/internal/standin/replicaset"
)

// newBehindRelays starts a deployment whose members and platform are announced at the addresses that advertise returns.
func newBehindRelays(t *testing.T, cores, fronts int, advertise func(addr string) string) *Deployment {
	t.Helper()
	return newDeployment(t, cores, fronts, func(*Deployment) {}, advertise)
}

// attempt is a client's statement or transaction, with the ids of its writes and its outcome.
type attempt struct {
	writes      []string
	success     bool
	notExecuted bool // the answer guarantees that it had no effect
}

// promisesNotExecuted reports whether an answer guarantees that its attempt had no effect.
func promisesNotExecuted(answer string) bool {
	for _, code := range []string{"RETRY", "ABORTED", "LAGGING", "RDONLY", "WRONGHOST", "FULL"} {
		if strings.Contains(answer, "FAIL "+code) {
			return true
		}
	}
	return false
}

// belongsTo reports whether an answer is that of the query: its position has the query's id, and its rows have values
// that this client stored.
func belongsTo(answer, id, key string) bool {
	for line := range strings.SplitSeq(answer, " | ") {
		switch {
		case strings.HasPrefix(line, "DONE ") && !strings.HasSuffix(line, "."+id):
			return false
		case strings.HasPrefix(line, "ROW ") && line != "ROW " && !strings.HasPrefix(line, "ROW "+key):
			return false
		}
	}
	return true
}

// workloadClient is a client that opens a new session when its last one has ended.
type workloadClient struct {
	d        *Deployment
	t        *testing.T
	key      string
	session  *Client
	n        int
	attempts []attempt
}

// query sends a statement, and checks that the answer belongs to it.
func (v *workloadClient) query(text string) (id, answer string) {
	for v.session == nil {
		k, first := v.d.Attach(0, "prim")
		if strings.HasPrefix(first, "READY") {
			v.session = k
		}
	}
	id, answer = v.session.Query(text)
	if strings.Contains(answer, "end") {
		v.session = nil
	}
	if verb, _, _ := strings.Cut(text, " "); verb != "BEGIN" && verb != "ABORT" && !belongsTo(answer, id, v.key) {
		v.t.Errorf("%s %s was answered %s", id, text, answer)
	}
	return id, answer
}

func (v *workloadClient) value() string {
	v.n++
	return fmt.Sprintf("%s.%d", v.key, v.n)
}

func (v *workloadClient) store() {
	id, a := v.query("STORE " + v.key + " " + v.value())
	v.attempts = append(v.attempts, attempt{[]string{id}, strings.HasPrefix(a, "DONE"), promisesNotExecuted(a)})
}

// transaction writes twice, and commits or rolls back.
func (v *workloadClient) transaction(end string) {
	var t attempt
	if _, a := v.query("BEGIN"); !strings.HasPrefix(a, "DONE") {
		return
	}
	for range 2 {
		id, a := v.query("STORE " + v.key + " " + v.value())
		if t.writes = append(t.writes, id); !strings.HasPrefix(a, "DONE") {
			t.notExecuted = promisesNotExecuted(a)
			v.query("ABORT")
			v.attempts = append(v.attempts, t)
			return
		}
	}
	_, a := v.query(end)
	t.success = end == "COMMIT" && strings.HasPrefix(a, "DONE")
	t.notExecuted = end == "ABORT" || promisesNotExecuted(a)
	v.attempts = append(v.attempts, t)
}

func (v *workloadClient) run(rounds int) {
	for range rounds {
		v.store()
		v.query("FETCH " + v.key)
		v.transaction("COMMIT")
		v.transaction("ABORT")
	}
}

// Links of agents to the core and of proxies to their agents are reset at random bytes, while the configuration changes
// and the primary crashes: no agent returns to an older configuration, each change takes effect at each proxy in time,
// and clients are served throughout. The test fails without addCommitted, which resends to an agent what its link lost.
func TestAgentLinksResetAtRandomBytes(t *testing.T) {
	const fronts = 2
	var relays []*links.ResettingRelay
	relay := func(listen, target string) {
		r, err := links.NewResettingRelay(listen, target, uint64(len(relays)))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		relays = append(relays, r)
	}
	setByteLimit := func(bytes int) {
		for _, r := range relays {
			r.SetByteLimit(bytes)
		}
	}
	d := newDeployment(t, 3, 0, func(d *Deployment) {
		meshOffset, feedOffset := 10, 14
		d.meshPorts, d.feeds = map[string]int{}, map[string]string{}
		for core := range 3 { // agents dial core machines at the mesh port of their own settings
			relay(d.address(coreNet, core, meshOffset), d.address(coreNet, core, 0))
		}
		for n := range fronts {
			agent, proxy := fmt.Sprint("agent", n), fmt.Sprint("proxy", n)
			d.meshPorts[agent], d.meshPorts[proxy] = d.basePort+meshOffset, d.basePort+meshOffset
			d.feeds[proxy] = d.address(frontNet, n, feedOffset)
			relay(d.feeds[proxy], d.address(frontNet, n, feedPort))
		}
	}, sameAddr)
	for n := range fronts {
		d.Start(fmt.Sprint("agent", n), true)
		d.Start(fmt.Sprint("proxy", n), true)
	}
	d.Configure(fronts)
	setByteLimit(1500)
	stop := startWrites(d, fronts, 2)
	const changes = 12
	for version := 2; version < 2+changes; version++ {
		host := fmt.Sprint("later", version)
		body := strings.Replace(string(Config(version)), `"routes":[`, `"routes":[{"name":"`+host+`","host":"`+host+
			`","prefix":"/","type":"primary","timeoutMs":3000,"svc":"svc"},`, 1)
		d.Eventually("the change is acknowledged", func() bool {
			code, _ := d.Call("POST", d.Cores[version%3], "/config/replace", fmt.Sprint(version-1), []byte(body))
			return code == 200
		})
		for n := range fronts {
			d.Eventually("the change is in force", func() bool { return d.serves(n, host) })
			if d.serves(n, fmt.Sprint("later", version-1)) {
				t.Errorf("proxy %d serves by an older configuration than version %d", n, version)
			}
		}
		if version == 5 {
			old := d.Service.Leader()
			d.Service.Crash(old)
			d.Eventually("another member leads", func() bool { l := d.Service.Leader(); return l != "" && l != old })
		}
	}
	done, notExecuted := stop()
	setByteLimit(0)
	resets := 0
	for _, r := range relays {
		resets += r.Resets()
	}
	t.Logf("%d links were reset, %d writes acknowledged, %d reported as not executed", resets, len(done), len(notExecuted))
	if resets < 20 || len(done) < 20 {
		t.Error("too few resets or writes")
	}
	d.Service.With(func(g *replicaset.Group) {
		for _, id := range done {
			if n := d.Service.Executions[id]; n != 1 {
				t.Errorf("write %s ran %d times", id, n)
			}
		}
		if len(g.LostCommits) > 0 {
			t.Errorf("lost %v", g.LostCommits)
		}
	})
}

// All connections of proxies and of the core to members, and of the core to the platform, are reset at random bytes,
// also during a failover: each answer belongs to its query, each write runs at most once, acknowledged writes run
// exactly once, and writes that were reported as not executed never run. The test fails if a connection with an
// outstanding answer returns to its pool (Reusable), or if a write may be resent (kindOf).
func TestMemberConnectionsResetAtRandomBytes(t *testing.T) {
	var relays []*links.ResettingRelay
	d := newBehindRelays(t, 3, 1, func(addr string) string {
		r, err := links.NewResettingRelay("127.0.0.1:0", addr, uint64(len(relays)))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		relays = append(relays, r)
		return r.Addr()
	})
	d.Configure(1)
	setByteLimit := func(bytes int) {
		for _, r := range relays {
			r.SetByteLimit(bytes)
		}
	}
	var clients []*workloadClient
	for i := range 6 {
		clients = append(clients, &workloadClient{d: d, t: t, key: fmt.Sprint("c", i)})
	}
	runClients := func(rounds int) {
		var all sync.WaitGroup
		for _, client := range clients {
			all.Go(func() { client.run(rounds) })
		}
		all.Wait()
	}
	setByteLimit(1200)
	relays[len(relays)-1].SetByteLimit(400) // calls to the platform are few and longer than statements
	runClients(25)
	old := d.Service.Leader()
	d.Service.Crash(old)
	d.Eventually("another member leads", func() bool { l := d.Service.Leader(); return l != "" && l != old })
	d.Service.With(func(g *replicaset.Group) { g.Member(old).Restart() })
	runClients(10)
	setByteLimit(0)
	d.Eventually("no transaction is left open", func() bool { return d.Service.OpenTransactions() == 0 })

	resets, total, succeeded := 0, 0, 0
	for _, r := range relays {
		resets += r.Resets()
	}
	d.Service.With(func(g *replicaset.Group) {
		if g.Promotions > 2 || len(g.LostCommits) > 0 {
			t.Errorf("%d promotions, lost %v", g.Promotions, g.LostCommits)
		}
		for _, client := range clients {
			for _, tried := range client.attempts {
				if total++; tried.success {
					succeeded++
				}
				for _, id := range tried.writes {
					n := d.Service.Executions[id]
					if n > 1 || tried.success && n != 1 || tried.notExecuted && n != 0 {
						t.Errorf("write %s of %+v ran %d times", id, tried, n)
					}
				}
			}
		}
	})
	t.Logf(
		"%d attempts, %d answered with success, %d connections were reset, %d calls to the platform",
		total,
		succeeded,
		resets,
		len(d.Service.Promoted),
	)
	if succeeded < total/4 || resets < 50 {
		t.Error("too few answers, or too few resets")
	}
}

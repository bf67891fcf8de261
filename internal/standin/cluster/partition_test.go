package cluster

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// relay forwards connections from one port of a machine's address to another, and holds their bytes back while it is
// blocked.
type relay struct {
	mu      sync.Mutex
	cond    *sync.Cond
	blocked bool
}

func newRelay(t *testing.T, from, to string) *relay {
	t.Helper()
	r := &relay{}
	r.cond = sync.NewCond(&r.mu)
	ln, err := net.Listen("tcp4", from)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ln.Close()
		r.setBlocked(false)
	})
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(near, to)
		}
	}()
	return r
}

func (r *relay) setBlocked(blocked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = blocked
	r.cond.Broadcast()
}

func (r *relay) wait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.blocked {
		r.cond.Wait()
	}
}

func (r *relay) serve(near net.Conn, to string) {
	defer near.Close()
	r.wait()
	far, err := net.Dial("tcp4", to)
	if err != nil {
		return
	}
	go r.pass(far, near)
	r.pass(near, far)
}

func (r *relay) pass(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		r.wait()
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// partitionableCore starts three core machines, with relays between core0 and the others that setPartitioned blocks and
// unblocks; fronts reach all three machines at any time.
func partitionableCore(t *testing.T) (d *Deployment, setPartitioned func(bool)) {
	var relays []*relay
	d = newDeployment(t, 3, 0, func(d *Deployment) {
		separatePort, frontMeshPort := d.basePort+10, d.basePort+13
		d.meshPorts = map[string]int{"core0": separatePort, "agent0": frontMeshPort, "proxy0": frontMeshPort}
		addr := func(core, port int) string { return fmt.Sprint(d.ip(1, core), ":", port) }
		relays = append(relays, newRelay(t, addr(0, d.basePort), addr(0, separatePort)))
		newRelay(t, addr(0, frontMeshPort), addr(0, separatePort))
		for i := 1; i < 3; i++ {
			relays = append(relays, newRelay(t, addr(i, separatePort), addr(i, d.basePort)))
			newRelay(t, addr(i, frontMeshPort), addr(i, d.basePort))
		}
	}, sameAddr)
	return d, func(partitioned bool) {
		for _, r := range relays {
			r.setBlocked(partitioned)
		}
	}
}

type contactStatus struct {
	Agents    int
	InContact bool
	Gen       int
	Members   []struct{ ID string }
	Drivers   []struct{ Name string }
}

// laterRoute is a second configuration, with a route that the first lacks.
var laterRoute = strings.Replace(string(Config(2)), `"routes":[`,
	`"routes":[{"name":"p2","host":"later","prefix":"/","type":"primary","timeoutMs":3000,"svc":"svc"},`, 1)

// serves reports whether a proxy serves a route.
func (d *Deployment) serves(front int, host string) bool {
	k, first := d.Attach(front, host)
	if k != nil {
		k.conn.Close()
	}
	return first == "READY I -"
}

func (d *Deployment) contactStatus(core int) (s contactStatus) {
	if code, body := d.Call("GET", d.Cores[core], "/status", "", nil); code == 200 {
		_ = json.Unmarshal([]byte(body), &s)
	}
	return s
}

// A core machine that is partitioned from the others, but not from its agent and members, answers no operator's
// request and acknowledges no heartbeat, though it records it. Its agent switches to another machine during the
// partition, so that its proxy serves the configuration that is accepted meanwhile. The test fails with inContact
// always true, without rejectWithoutContact in acknowledge, and without scheduleFailover in evaluate and checkCore
// (agent/corelink.go), where the new route never arrives.
func TestPartitionedCoreMachine(t *testing.T) {
	d, setPartitioned := partitionableCore(t)
	d.Eventually("all machines have contact", func() bool {
		return d.contactStatus(0).InContact && d.contactStatus(1).InContact && d.contactStatus(2).InContact
	})
	d.Start("agent0", true)
	d.Start("proxy0", true)
	d.Configure(1)
	d.Eventually("the agent is linked to the first machine", func() bool { return d.contactStatus(0).Agents == 1 })

	setPartitioned(true)
	began := time.Now()
	d.Eventually("the partitioned machine knows that it has no contact", func() bool { return !d.contactStatus(0).InContact })
	t.Logf("the machine lost contact after %v", time.Since(began).Round(time.Millisecond))
	calls := []struct{ method, path, base, body string }{
		{"GET", "/config/show", "", ""}, {"GET", "/config/log", "", ""},
		{"POST", "/config/replace", "1", string(Config(2))}, {"POST", "/config/replace", "0", string(Config(2))},
		{"POST", "/config/replace", "1", "no configuration"},
		{"POST", "/members/x/heartbeat", "", `{"svc":"svc","addr":"127.0.0.1:1","dbRole":"replica","seq":1}`},
		{"POST", "/members/none/leave", "", ""},
	}
	checkRefused := func() {
		for _, c := range calls {
			if code, answer := d.Call(c.method, d.Cores[0], c.path, c.base, []byte(c.body)); code != 503 {
				t.Errorf("%s %s on %q: %d %s", c.method, c.path, c.base, code, answer)
			}
		}
	}
	checkRefused()
	known := false
	for _, m := range d.contactStatus(0).Members {
		known = known || m.ID == "x"
	}
	if !known {
		t.Error("the member whose heartbeat was not acknowledged is not recorded")
	}

	d.Eventually("the others accept a change", func() bool {
		code, _ := d.Call("POST", d.Cores[1], "/config/replace", "1", []byte(laterRoute))
		return code == 200
	})
	acknowledged := time.Now()
	d.Eventually("the proxy serves the new configuration", func() bool { return d.serves(0, "later") })
	t.Logf("served %v after its acknowledgement", time.Since(acknowledged).Round(time.Millisecond))
	if d.contactStatus(0).InContact {
		t.Error("the partitioned machine reports that it has contact")
	}
	checkRefused()

	setPartitioned(false)
	d.Eventually("the machine has the others' configuration", func() bool {
		code, body := d.Call("GET", d.Cores[0], "/config/show", "", nil)
		return code == 200 && strings.Contains(body, `"later"`)
	})
	d.Eventually("the machine acknowledges heartbeats", func() bool {
		code, _ := d.Call(
			"POST",
			d.Cores[0],
			"/members/x/heartbeat",
			"",
			[]byte(`{"svc":"svc","addr":"127.0.0.1:1","dbRole":"replica","seq":9}`),
		)
		return code == 200
	})
}

// An agent that restarts and knows only one core machine, which is partitioned and has just lost its disk, learns the
// others' addresses from agents that know them. Without Cores in compare (agent/peers.go) it stays with that machine.
func TestAgentLearnsCoresFromPeers(t *testing.T) {
	d, setPartitioned := partitionableCore(t)
	d.meshPorts["agent1"], d.meshPorts["proxy1"] = d.meshPorts["agent0"], d.meshPorts["agent0"]
	d.seeds = map[string][]string{"agent1": d.Cores[:1], "proxy1": d.Cores[:1]}
	for _, name := range []string{"agent0", "proxy0", "agent1", "proxy1"} {
		d.Start(name, true)
	}
	d.Configure(2)
	d.Eventually("both agents are known", func() bool { return len(d.contactStatus(1).Drivers) == 2 })

	setPartitioned(true)
	d.Kill("agent1")
	d.Kill("core0")
	d.EraseDisk("core0")
	d.Start("core0", false)
	d.Start("agent1", false)
	d.Eventually(
		"the agent is linked to the partitioned machine",
		func() bool { return d.contactStatus(0).Agents == 1 },
	)
	d.Eventually("the others accept a change", func() bool {
		code, _ := d.Call("POST", d.Cores[1], "/config/replace", "1", []byte(laterRoute))
		return code == 200
	})
	d.Eventually(
		"the agent is linked to a machine that has contact",
		func() bool { return d.contactStatus(0).Agents == 0 },
	)
	d.Eventually("its proxy serves the change", func() bool { return d.serves(1, "later") })
}

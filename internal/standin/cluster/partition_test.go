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

// relay passes bytes between two ports of a machine's address, and keeps them back while it is blocked.
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

func (r *relay) setBlocked(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = cut
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

// partitionableCore starts three core machines of which core0 and the others reach each other by relays that can be
// blocked; fronts reach all three at any time.
func partitionableCore(t *testing.T) (d *Deployment, cut func(bool)) {
	var relays []*relay
	d = newDeployment(t, 3, 0, func(d *Deployment) {
		apart, fronts := d.basePort+10, d.basePort+13
		d.meshPorts = map[string]int{"core0": apart, "agent0": fronts, "proxy0": fronts}
		at := func(core, port int) string { return fmt.Sprint(d.ip(1, core), ":", port) }
		relays = append(relays, newRelay(t, at(0, d.basePort), at(0, apart)))
		newRelay(t, at(0, fronts), at(0, apart))
		for i := 1; i < 3; i++ {
			relays = append(relays, newRelay(t, at(i, apart), at(i, d.basePort)))
			newRelay(t, at(i, fronts), at(i, d.basePort))
		}
	}, sameAddr)
	return d, func(on bool) {
		for _, r := range relays {
			r.setBlocked(on)
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

// serves says whether a proxy has a route.
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
// request and acknowledges no heartbeat, though it records it; its agent switches to another machine during the
// partition, so that its proxy serves by what is decided meanwhile. The test fails with inContact always true,
// without rejectWithoutContact in acknowledge, and without scheduleFailover in evaluate and checkCore
// (agent/corelink.go), where the new route never arrives.
func TestCoreMachineCutOff(t *testing.T) {
	d, cut := partitionableCore(t)
	d.Eventually("all have contact", func() bool {
		return d.contactStatus(0).InContact && d.contactStatus(1).InContact && d.contactStatus(2).InContact
	})
	d.Start("agent0", true)
	d.Start("proxy0", true)
	d.Configure(1)
	d.Eventually("the agent is linked to the first machine", func() bool { return d.contactStatus(0).Agents == 1 })

	cut(true)
	began := time.Now()
	d.Eventually("the machine knows that it is cut off", func() bool { return !d.contactStatus(0).InContact })
	t.Logf("known after %v", time.Since(began).Round(time.Millisecond))
	calls := []struct{ method, path, base, body string }{
		{"GET", "/config/show", "", ""}, {"GET", "/config/log", "", ""},
		{"POST", "/config/replace", "1", string(Config(2))}, {"POST", "/config/replace", "0", string(Config(2))},
		{"POST", "/config/replace", "1", "no configuration"},
		{"POST", "/members/x/heartbeat", "", `{"svc":"svc","addr":"127.0.0.1:1","dbRole":"replica","seq":1}`},
		{"POST", "/members/none/leave", "", ""},
	}
	refused := func() {
		for _, c := range calls {
			if code, answer := d.Call(c.method, d.Cores[0], c.path, c.base, []byte(c.body)); code != 503 {
				t.Errorf("%s %s on %q: %d %s", c.method, c.path, c.base, code, answer)
			}
		}
	}
	refused()
	known := false
	for _, m := range d.contactStatus(0).Members {
		known = known || m.ID == "x"
	}
	if !known {
		t.Error("the member that was not acknowledged is not in the table")
	}

	d.Eventually("the others take a change", func() bool {
		code, _ := d.Call("POST", d.Cores[1], "/config/replace", "1", []byte(laterRoute))
		return code == 200
	})
	taken := time.Now()
	d.Eventually("the proxy serves by it", func() bool { return d.serves(0, "later") })
	t.Logf("served %v behind its acknowledgement", time.Since(taken).Round(time.Millisecond))
	if d.contactStatus(0).InContact {
		t.Error("the machine that is cut off says that it has contact")
	}
	refused()

	cut(false)
	d.Eventually("the machine is back with the others' configuration", func() bool {
		code, body := d.Call("GET", d.Cores[0], "/config/show", "", nil)
		return code == 200 && strings.Contains(body, `"later"`)
	})
	d.Eventually("and acknowledges members", func() bool {
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

// An agent that restarts and knows one core machine only, which is partitioned and has just lost its disk, learns the
// others from the agents that knew it. Without Cores in compare (agent/peers.go) it stays there.
func TestAgentLearnsCoresFromPeers(t *testing.T) {
	d, cut := partitionableCore(t)
	d.meshPorts["agent1"], d.meshPorts["proxy1"] = d.meshPorts["agent0"], d.meshPorts["agent0"]
	d.seeds = map[string][]string{"agent1": d.Cores[:1], "proxy1": d.Cores[:1]}
	for _, name := range []string{"agent0", "proxy0", "agent1", "proxy1"} {
		d.Start(name, true)
	}
	d.Configure(2)
	d.Eventually("both agents are known", func() bool { return len(d.contactStatus(1).Drivers) == 2 })

	cut(true)
	d.Kill("agent1")
	d.Kill("core0")
	d.EraseDisk("core0")
	d.Start("core0", false)
	d.Start("agent1", false)
	d.Eventually(
		"the agent is linked to the machine that is cut off",
		func() bool { return d.contactStatus(0).Agents == 1 },
	)
	d.Eventually("the others take a change", func() bool {
		code, _ := d.Call("POST", d.Cores[1], "/config/replace", "1", []byte(laterRoute))
		return code == 200
	})
	d.Eventually(
		"the agent is linked to a machine that has contact",
		func() bool { return d.contactStatus(0).Agents == 0 },
	)
	d.Eventually("its proxy serves by the change", func() bool { return d.serves(1, "later") })
}

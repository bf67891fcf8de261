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

// relay passes bytes between two ports of a machine's address, and holds them back while it is cut.
type relay struct {
	mu   sync.Mutex
	cond *sync.Cond
	cut  bool
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
		r.set(false)
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

func (r *relay) set(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	r.cond.Broadcast()
}

func (r *relay) wait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.cut {
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

// cuttableCore starts three core machines of which core0 and the others reach each other by relays that can be cut, and a front that
// reaches all three whatever is cut.
func cuttableCore(t *testing.T) (w *Deployment, cut func(bool)) {
	var relays []*relay
	w = newDeployment(t, 3, 0, func(w *Deployment) {
		apart, fronts := w.basePort+10, w.basePort+13
		w.meshPorts = map[string]int{"core0": apart, "agent0": fronts, "proxy0": fronts}
		at := func(core, port int) string { return fmt.Sprint(w.ip(1, core), ":", port) }
		relays = append(relays, newRelay(t, at(0, w.basePort), at(0, apart)))
		newRelay(t, at(0, fronts), at(0, apart))
		for i := 1; i < 3; i++ {
			relays = append(relays, newRelay(t, at(i, apart), at(i, w.basePort)))
			newRelay(t, at(i, fronts), at(i, w.basePort))
		}
	}, direct)
	return w, func(on bool) {
		for _, r := range relays {
			r.set(on)
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
func (w *Deployment) serves(front int, host string) bool {
	k, first := w.Attach(front, host)
	if k != nil {
		k.conn.Close()
	}
	return first == "READY I -"
}

func (w *Deployment) contactStatus(core int) (s contactStatus) {
	if code, body := w.Call("GET", w.Cores[core], "/status", "", nil); code == 200 {
		_ = json.Unmarshal([]byte(body), &s)
	}
	return s
}

// TestCoreMachineCutOff: a core machine that is cut off from the others, but not from its agent and members, answers no operator's call
// and acknowledges no member, though it takes what the member says; its agent goes over to another machine while the cut lasts, so that
// its proxy serves by what is decided meanwhile. It fails with inContact always true, without refuseWithoutContact in acknowledge, and
// without planSeek in judge and checkCore (agent/corelink.go), where the new route never comes.
func TestCoreMachineCutOff(t *testing.T) {
	w, cut := cuttableCore(t)
	w.Eventually("all have contact", func() bool {
		return w.contactStatus(0).InContact && w.contactStatus(1).InContact && w.contactStatus(2).InContact
	})
	w.Start("agent0", true)
	w.Start("proxy0", true)
	w.Configure(1)
	w.Eventually("the agent is linked to the first machine", func() bool { return w.contactStatus(0).Agents == 1 })

	cut(true)
	began := time.Now()
	w.Eventually("the machine knows that it is cut off", func() bool { return !w.contactStatus(0).InContact })
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
			if code, answer := w.Call(c.method, w.Cores[0], c.path, c.base, []byte(c.body)); code != 503 {
				t.Errorf("%s %s on %q: %d %s", c.method, c.path, c.base, code, answer)
			}
		}
	}
	refused()
	known := false
	for _, m := range w.contactStatus(0).Members {
		known = known || m.ID == "x"
	}
	if !known {
		t.Error("the member that was not acknowledged is not in the table")
	}

	w.Eventually("the others take a change", func() bool {
		code, _ := w.Call("POST", w.Cores[1], "/config/replace", "1", []byte(laterRoute))
		return code == 200
	})
	taken := time.Now()
	w.Eventually("the proxy serves by it", func() bool { return w.serves(0, "later") })
	t.Logf("served %v behind its acknowledgement", time.Since(taken).Round(time.Millisecond))
	if w.contactStatus(0).InContact {
		t.Error("the machine that is cut off says that it has contact")
	}
	refused()

	cut(false)
	w.Eventually("the machine is back with the others' configuration", func() bool {
		code, body := w.Call("GET", w.Cores[0], "/config/show", "", nil)
		return code == 200 && strings.Contains(body, `"later"`)
	})
	w.Eventually("and acknowledges members", func() bool {
		code, _ := w.Call("POST", w.Cores[0], "/members/x/heartbeat", "", []byte(`{"svc":"svc","addr":"127.0.0.1:1","dbRole":"replica","seq":9}`))
		return code == 200
	})
}

// TestAgentLearnsCoresFromPeers: an agent that restarts and knows one machine of the core only, which is cut off and has just lost its disk,
// hears of the others from the agents that knew it. Without Cores in compare (agent/peers.go) it stays there.
func TestAgentLearnsCoresFromPeers(t *testing.T) {
	w, cut := cuttableCore(t)
	w.meshPorts["agent1"], w.meshPorts["proxy1"] = w.meshPorts["agent0"], w.meshPorts["agent0"]
	w.seeds = map[string][]string{"agent1": w.Cores[:1], "proxy1": w.Cores[:1]}
	for _, name := range []string{"agent0", "proxy0", "agent1", "proxy1"} {
		w.Start(name, true)
	}
	w.Configure(2)
	w.Eventually("both agents are known", func() bool { return len(w.contactStatus(1).Drivers) == 2 })

	cut(true)
	w.Kill("agent1")
	w.Kill("core0")
	w.EraseDisk("core0")
	w.Start("core0", false)
	w.Start("agent1", false)
	w.Eventually("the agent is linked to the machine that is cut off", func() bool { return w.contactStatus(0).Agents == 1 })
	w.Eventually("the others take a change", func() bool {
		code, _ := w.Call("POST", w.Cores[1], "/config/replace", "1", []byte(laterRoute))
		return code == 200
	})
	w.Eventually("the agent is linked to a machine that has contact", func() bool { return w.contactStatus(0).Agents == 0 })
	w.Eventually("its proxy serves by the change", func() bool { return w.serves(1, "later") })
}

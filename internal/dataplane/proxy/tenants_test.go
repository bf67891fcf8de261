package proxy

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/member/wire"
	"weirwind/internal/util/events"
	"weirwind/internal/util/metrics"
	"weirwind/internal/util/settings"
)

// tenantFixture is a proxy with one member, the primary, whose clients attach with tenants' keys.
type tenantFixture struct {
	t      *testing.T
	proxy  *Proxy
	member *scriptedMember
	log    strings.Builder
}

// tenantConfig is a configuration with a private route, a public one and the tenants given, as JSON.
func tenantConfig(version int, tenants string) []byte {
	return fmt.Appendf(nil, `{"gen":%d,"routes":[
		{"name":"r","host":"db","type":"primary","timeoutMs":3000,"svc":"s"},
		{"name":"o","host":"open","type":"primary","timeoutMs":3000,"svc":"s","public":true}],
		"svcs":[{"name":"s","maxConns":50,"syncN":1}],"tenants":[%s]}`, version, tenants)
}

const twoTenants = `{"name":"north","keys":["key-n1","key-n2"]},{"name":"south","keys":["key-s"]}`

func newTenantFixture(t *testing.T, tenants string, contracts ...string) *tenantFixture {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &tenantFixture{t: t, member: &scriptedMember{script: map[string][]string{}}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go f.member.serve(conn)
		}
	}()
	t.Cleanup(func() { listener.Close() })
	f.proxy = newProxy(t.Context(), &settings.Settings{Zone: "z", MemoryMB: 8, Contracts: contracts,
		ApplyBound: 4 * time.Second}, events.New(&f.log, "proxy"))
	f.proxy.startedAt = time.Now().Add(-time.Minute)
	go f.proxy.router.run()
	f.update(&controlmsg.StateUpdate{ConfigVersion: 1, Config: tenantConfig(1, tenants), DriverCount: 1,
		Members: []directory.Member{{ID: "a", Service: "s", Zone: "z", Addr: listener.Addr().String(),
			Role: directory.RolePrimary, Incarnation: 1, Seq: 1}}})
	return f
}

func (f *tenantFixture) update(update *controlmsg.StateUpdate) {
	f.do(func() { f.proxy.router.update(update) })
}

// do runs a command in the router's goroutine and waits for it.
func (f *tenantFixture) do(command func()) {
	done := make(chan struct{})
	f.proxy.router.do(func() { command(); close(done) })
	<-done
}

func (f *tenantFixture) configure(version int, tenants string) {
	f.update(&controlmsg.StateUpdate{ConfigVersion: uint64(version), Config: tenantConfig(version, tenants)})
}

// attach opens a session and gives the answer to its ATTACH.
func (f *tenantFixture) attach(host, who string) (*client, string) {
	f.t.Helper()
	here, there := net.Pipe()
	f.t.Cleanup(func() { here.Close() })
	go f.proxy.serve(there)
	k := &client{conn: here, replies: wire.NewReader(here)}
	fmt.Fprintf(here, "ATTACH %s %s\r\n", host, who)
	here.SetReadDeadline(time.Now().Add(10 * time.Second))
	line, err := k.replies.ReadMessage()
	if err != nil {
		f.t.Fatal(err)
	}
	return k, line
}

// attached opens a session that must be accepted.
func (f *tenantFixture) attached(host, who string) *client {
	f.t.Helper()
	k, line := f.attach(host, who)
	if line != "READY I -" {
		f.t.Fatal(line)
	}
	return k
}

// expect runs a statement and compares the answer.
func (f *tenantFixture) expect(k *client, text, want string) {
	f.t.Helper()
	if got := k.query(text); got != want {
		f.t.Errorf("%s: %q, want %q", text, got, want)
	}
}

// expectEnd checks that the proxy closes a client's connection.
func (f *tenantFixture) expectEnd(k *client) {
	f.t.Helper()
	k.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if line, err := k.replies.ReadMessage(); err == nil || isTimeout(err) {
		f.t.Errorf("the session goes on: %q, %v", line, err)
	}
}

// awaitReturned waits until no connection is lent.
func (f *tenantFixture) awaitReturned() {
	f.t.Helper()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); {
		lent := 0
		f.do(func() {
			for _, pool := range f.proxy.router.group("s").pools {
				lent += pool.open - len(pool.idle)
			}
		})
		if lent == 0 {
			return
		}
	}
	f.t.Error("a connection was not returned")
}

// expectRan compares what the member ran, each as "whom it was told: text".
func (f *tenantFixture) expectRan(want ...string) {
	f.t.Helper()
	f.member.mu.Lock()
	defer f.member.mu.Unlock()
	var got []string
	for i, text := range f.member.ran {
		got = append(got, f.member.ranAs[i]+": "+text)
	}
	if !slices.Equal(got, want) {
		f.t.Errorf("the member ran %q, want %q", got, want)
	}
}

// ROUTE: requests ran under a key that no configuration ever held.
func TestUnknownKeysAreDenied(t *testing.T) {
	f := newTenantFixture(t, twoTenants)
	for _, c := range []struct{ host, who, want string }{
		{"db", "key-n1", "READY I -"},
		{"db", "key-s", "READY I -"},
		{"db", "key-x", "FAIL DENIED no tenant has this key"},
		{"db", "north", "FAIL DENIED no tenant has this key"},
		{"db", "key-n1 key-s", "FAIL DENIED no tenant has this key"},
		{"open", "key-x", "READY I -"},
		{"nowhere", "key-x", "FAIL NODB nowhere"},
	} {
		k, got := f.attach(c.host, c.who)
		if got != c.want {
			t.Errorf("ATTACH %s %s: %q, want %q", c.host, c.who, got, c.want)
		}
		if strings.HasPrefix(got, wire.MsgFail) {
			f.expectEnd(k)
		}
	}
}

// By the contract a configuration without tenants serves nobody but on public routes; without both, anybody.
func TestTenantsInForce(t *testing.T) {
	for _, c := range []struct {
		contracts []string
		tenants   string
		want      string
	}{
		{nil, "", "READY I -"},
		{[]string{settings.ContractTenants}, "", "FAIL DENIED no tenant has this key"},
		{nil, `{"name":"north","keys":[]}`, "FAIL DENIED no tenant has this key"},
	} {
		f := newTenantFixture(t, c.tenants, c.contracts...)
		if _, got := f.attach("db", "who"); got != c.want {
			t.Errorf("contracts %q, tenants %q: %q, want %q", c.contracts, c.tenants, got, c.want)
		}
		f.attached("open", "who")
	}
}

// UNASKED: a member was told another tenant than that of the client's key.
func TestMembersAreToldTheTenant(t *testing.T) {
	f := newTenantFixture(t, twoTenants)
	north, south, other := f.attached("db", "key-n1"), f.attached("db", "key-s"), f.attached("open", "key-n1")
	f.expect(north, "STORE x 1", "DONE m.q1 | READY I 1.1")
	f.expect(south, "FETCH x", "ROW whole | DONE m.q1 | READY I 1.1")
	f.expect(other, "FETCH y", "ROW whole | DONE m.q1 | READY I 1.1")
	f.expect(south, "BEGIN", "DONE - | READY T -")
	f.expect(south, "STORE z 1", "DONE m.q3 | READY T 1.1")
	f.expect(north, "STORE z 2", "DONE m.q2 | READY I 1.1")
	f.expect(south, "COMMIT", "DONE m.q4 | READY I 1.1")
	f.expect(f.attached("db", "key-n2"), "FETCH z", "ROW whole | DONE m.q1 | READY I 1.1")
	f.expectRan("north: STORE x 1", "south: FETCH x", "weirwind: FETCH y", "south: BEGIN", "south: STORE z 1",
		"north: STORE z 2", "south: COMMIT", "north: FETCH z")
	if f.member.conns != 3 {
		t.Errorf("%d connections were made, want one for each tenant and one for the public route", f.member.conns)
	}
}

// CONFIG: a key that was taken away was still served on open sessions.
func TestDroppedKeysAreDeniedOnOpenSessions(t *testing.T) {
	for _, text := range []string{"STORE x 1", "BEGIN", "FETCH x"} {
		t.Run(text, func(t *testing.T) {
			f := newTenantFixture(t, twoTenants)
			north, south, other := f.attached("db", "key-n1"), f.attached("db", "key-s"), f.attached("open", "key-n1")
			f.configure(2, `{"name":"north","keys":["key-n2"]},{"name":"south","keys":["key-s"]}`)
			f.expect(north, "SET v 1", "DONE - | READY I -")
			f.expect(north, text, "FAIL DENIED no tenant has this key | READY I -")
			f.expectEnd(north)
			f.expect(south, "FETCH y", "ROW whole | DONE m.q1 | READY I 1.1")
			f.expect(other, "FETCH z", "ROW whole | DONE m.q1 | READY I 1.1")
			f.expectRan("south: FETCH y", "weirwind: FETCH z")
		})
	}
}

// CONFIG: a transaction went on under a key that was taken away, or passed on to another tenant.
func TestTransactionsOfDroppedKeysAreRolledBack(t *testing.T) {
	without := `{"name":"north","keys":[]},{"name":"south","keys":["key-s"]}`
	passedOn := `{"name":"north","keys":[]},{"name":"south","keys":["key-s","key-n1"]}`
	for _, c := range []struct {
		name, tenants, text, want, next string
	}{
		{"statement", without, "STORE x 2", "FAIL ABORTED its key was taken away | READY E -",
			"FAIL DENIED no tenant has this key | READY I -"},
		{"commit", without, "COMMIT", "FAIL ABORTED its key was taken away | READY I -",
			"FAIL DENIED no tenant has this key | READY I -"},
		{"passed on", passedOn, "STORE x 2", "FAIL ABORTED its key was taken away | READY E -",
			"ROW whole | DONE m.q5 | READY I 1.1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTenantFixture(t, twoTenants)
			north := f.attached("db", "key-n1")
			f.expect(north, "BEGIN", "DONE - | READY T -")
			f.expect(north, "STORE x 1", "DONE m.q2 | READY T 1.1")
			f.configure(2, c.tenants)
			f.expect(north, c.text, c.want)
			north.query("ABORT")
			f.expect(north, "FETCH x", c.next)
			if f.member.times("STORE x 2")+f.member.times("COMMIT") > 0 {
				t.Error("the member ran a statement of the transaction")
			}
		})
	}
}

// A key that was passed on to another tenant serves that one from the next operation on.
func TestPassedOnKeysServeTheNewTenant(t *testing.T) {
	f := newTenantFixture(t, twoTenants)
	k := f.attached("db", "key-n1")
	f.expect(k, "FETCH x", "ROW whole | DONE m.q1 | READY I 1.1")
	f.configure(2, `{"name":"north","keys":[]},{"name":"south","keys":["key-n1"]}`)
	f.expect(k, "FETCH x", "ROW whole | DONE m.q2 | READY I 1.1")
	f.expectRan("north: FETCH x", "south: FETCH x")
}

// A transaction that its member failed for want of capacity cost its tenant the connection, and the member another one.
func TestFailedTransactionsKeepTheirConnection(t *testing.T) {
	f := newTenantFixture(t, twoTenants)
	f.member.script["STORE x 1"] = []string{"FAIL RETRY"}
	f.member.failing = "STORE x 1"
	k := f.attached("db", "key-s")
	f.expect(k, "BEGIN", "DONE - | READY T -")
	f.expect(k, "STORE x 1", "FAIL RETRY | READY E 1.1")
	f.expect(k, "ABORT", "DONE - | READY I -")
	f.awaitReturned()
	f.expect(k, "FETCH x", "ROW whole | DONE m.q4 | READY I 1.1")
	f.member.mu.Lock()
	defer f.member.mu.Unlock()
	if f.member.conns != 1 {
		t.Errorf("%d connections were made, want one", f.member.conns)
	}
}

// A tenant whose name is no single field of the wire is told to no member.
func TestNamesThatAreNoFieldAreNotSent(t *testing.T) {
	for _, name := range []string{`north pole`, `north\r\nBYE`, `\u0000`, `nor\tth`} {
		f := newTenantFixture(t, `{"name":"`+name+`","keys":["key-n1"]}`)
		if _, got := f.attach("db", "key-n1"); got != "FAIL DENIED no tenant has this key" {
			t.Errorf("tenant %q: %q", name, got)
		}
	}
}

// What was denied is counted, and logged without the key.
func TestDenialsAreCountedAndLogged(t *testing.T) {
	f := newTenantFixture(t, twoTenants)
	k, tx := f.attached("db", "key-n1"), f.attached("db", "key-n1")
	tx.query("BEGIN")
	f.attach("db", "key-unknown")
	f.configure(2, "")
	f.configure(3, `{"name":"south","keys":["key-s"]}`)
	k.query("FETCH x")
	tx.query("FETCH x")
	w := httptest.NewRecorder()
	metrics.Handler(f.proxy.writeMetrics).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, what := range []string{"attach", "operation", "transaction"} {
		if line := fmt.Sprintf("\nweirwind_proxy_denied_total{what=%q} 1\n", what); !strings.Contains(w.Body.String(), line) {
			t.Errorf("%q is not in\n%s", line, w.Body)
		}
	}
	lines := f.proxy.log.Recent()
	if f.proxy.log.Count(events.ClientsDenied) == 0 {
		t.Errorf("no line on denials: %q", lines)
	}
	for _, line := range lines {
		if strings.Contains(line, "key-") {
			t.Errorf("a key is logged: %s", line)
		}
	}
}

// One line on denials a second, in which the counts are those since the process began.
func TestDenialsAreLoggedOnceASecond(t *testing.T) {
	d := &denials{}
	for _, c := range []struct {
		now  float64
		want bool
	}{{0, true}, {999, false}, {1000, true}, {1500, false}, {9000, true}} {
		if got := d.claimLogLine(c.now); got != c.want {
			t.Errorf("at %v ms: %v", c.now, got)
		}
	}
}

// PINNED: a connection whose member had forgotten a prepared name, as a transaction found, was used again.
func TestTransactionsThatFindAForgottenNameCloseTheirConnection(t *testing.T) {
	f := newTenantFixture(t, twoTenants)
	f.member.script["EXEC w1 x 1"] = []string{"FAIL NOSTMT w1"}
	f.member.failing = "EXEC w1 x 1"
	k := f.attached("db", "key-s")
	f.expect(k, "PREP p STORE q", "DONE - | READY I -")
	f.expect(k, "BEGIN", "DONE - | READY T -")
	f.expect(k, "EXEC p x 1", "FAIL NOSTMT w1 | READY E 1.1")
	f.expect(k, "ABORT", "DONE - | READY I -")
	f.awaitReturned()
	f.expect(k, "EXEC p x 1", "DONE m.q5 | READY I 1.1")
	f.member.mu.Lock()
	defer f.member.mu.Unlock()
	if f.member.conns != 2 {
		t.Errorf("%d connections were made, want a new one on which the name is prepared anew", f.member.conns)
	}
}

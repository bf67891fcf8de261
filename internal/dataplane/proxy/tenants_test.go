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

// tenantFixture is a proxy with tenants and one member, a scripted primary.
type tenantFixture struct {
	t      *testing.T
	proxy  *Proxy
	member *scriptedMember
	log    strings.Builder
}

// tenantConfig returns a configuration with a private route, a public route and the given tenants, as JSON.
func tenantConfig(version int, tenants string) []byte {
	return fmt.Appendf(nil, `{"gen":%d,"routes":[
		{"name":"r","host":"db","type":"primary","timeoutMs":3000,"svc":"s"},
		{"name":"o","host":"open","type":"primary","timeoutMs":3000,"svc":"s","public":true}],
		"svcs":[{"name":"s","maxConns":50,"syncN":1}],"tenants":[%s]}`, version, tenants)
}

const twoTenants = `{"name":"north","keys":["key-n1","key-n2"]},{"name":"south","keys":["key-s"]}`

func newTenantFixture(t *testing.T, tenants string, contracts ...string) *tenantFixture {
	t.Helper()
	f := &tenantFixture{t: t, member: &scriptedMember{script: map[string][]string{}}}
	addr := serveConns(t, f.member.serve)
	f.proxy = newProxy(t.Context(), &settings.Settings{Zone: "z", MemoryMB: 8, Contracts: contracts,
		ApplyBound: 4 * time.Second}, events.New(&f.log, "proxy"))
	f.proxy.startedAt = time.Now().Add(-time.Minute)
	go f.proxy.router.run()
	f.update(&controlmsg.StateUpdate{ConfigVersion: 1, Config: tenantConfig(1, tenants), DriverCount: 1,
		WriterLeases: controlmsg.LeaseSupportOff,
		Members: []directory.Member{{ID: "a", Service: "s", Zone: "z", Addr: addr,
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

// attach sends ATTACH in a new session and returns the answer.
func (f *tenantFixture) attach(host, key string) (*client, string) {
	f.t.Helper()
	clientEnd, proxyEnd := net.Pipe()
	f.t.Cleanup(func() { clientEnd.Close() })
	go f.proxy.serve(proxyEnd)
	sess := &client{conn: clientEnd, replies: wire.NewReader(clientEnd)}
	fmt.Fprintf(clientEnd, "ATTACH %s %s\r\n", host, key)
	clientEnd.SetReadDeadline(time.Now().Add(10 * time.Second))
	line, err := sess.replies.ReadMessage()
	if err != nil {
		f.t.Fatal(err)
	}
	return sess, line
}

// mustAttach opens a session and fails the test if it is not accepted.
func (f *tenantFixture) mustAttach(host, key string) *client {
	f.t.Helper()
	sess, line := f.attach(host, key)
	if line != "READY I -" {
		f.t.Fatal(line)
	}
	return sess
}

// expectReply sends a statement and compares the answer.
func (f *tenantFixture) expectReply(sess *client, text, want string) {
	f.t.Helper()
	if got := sess.query(text); got != want {
		f.t.Errorf("%s: %q, want %q", text, got, want)
	}
}

// expectClosed checks that the proxy closes a client's connection.
func (f *tenantFixture) expectClosed(sess *client) {
	f.t.Helper()
	sess.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if line, err := sess.replies.ReadMessage(); err == nil || isTimeout(err) {
		f.t.Errorf("the session is still open: %q, %v", line, err)
	}
}

// awaitAllReturned waits until no connection is checked out.
func (f *tenantFixture) awaitAllReturned() {
	f.t.Helper()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); {
		checkedOut := 0
		f.do(func() {
			for _, pool := range f.proxy.router.group("s").pools {
				checkedOut += pool.open - len(pool.idle)
			}
		})
		if checkedOut == 0 {
			return
		}
	}
	f.t.Error("a connection is still checked out after 10 s")
}

// expectRan compares the statements that the member ran, each as "name in ATTACH: statement".
func (f *tenantFixture) expectRan(want ...string) {
	f.t.Helper()
	f.member.mu.Lock()
	defer f.member.mu.Unlock()
	var got []string
	for i, text := range f.member.ranTexts {
		got = append(got, f.member.ranTenants[i]+": "+text)
	}
	if !slices.Equal(got, want) {
		f.t.Errorf("the member ran %q, want %q", got, want)
	}
}

// A client whose key belongs to no tenant must be denied at ATTACH, except on public routes.
func TestUnknownKeysAreDenied(t *testing.T) {
	f := newTenantFixture(t, twoTenants)
	for _, c := range []struct{ host, key, want string }{
		{"db", "key-n1", "READY I -"},
		{"db", "key-s", "READY I -"},
		{"db", "key-x", "FAIL DENIED no tenant has this key"},
		{"db", "north", "FAIL DENIED no tenant has this key"},
		{"db", "key-n1 key-s", "FAIL DENIED no tenant has this key"},
		{"open", "key-x", "READY I -"},
		{"nowhere", "key-x", "FAIL NODB nowhere"},
	} {
		sess, got := f.attach(c.host, c.key)
		if got != c.want {
			t.Errorf("ATTACH %s %s: %q, want %q", c.host, c.key, got, c.want)
		}
		if strings.HasPrefix(got, wire.MsgFail) {
			f.expectClosed(sess)
		}
	}
}

// With the tenant contract and a configuration without tenants, only public routes are served. Without either, all
// clients are served.
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
		f.mustAttach("open", "who")
	}
}

// The name in ATTACH at a member must be the tenant of the client's key.
func TestMembersReceiveTheTenantOfTheKey(t *testing.T) {
	f := newTenantFixture(t, twoTenants)
	north, south, public := f.mustAttach("db", "key-n1"), f.mustAttach("db", "key-s"), f.mustAttach("open", "key-n1")
	f.expectReply(north, "STORE x 1", "DONE m.q1 | READY I 1.1")
	f.expectReply(south, "FETCH x", "ROW whole | DONE m.q1 | READY I 1.1")
	f.expectReply(public, "FETCH y", "ROW whole | DONE m.q1 | READY I 1.1")
	f.expectReply(south, "BEGIN", "DONE - | READY T -")
	f.expectReply(south, "STORE z 1", "DONE m.q3 | READY T 1.1")
	f.expectReply(north, "STORE z 2", "DONE m.q2 | READY I 1.1")
	f.expectReply(south, "COMMIT", "DONE m.q4 | READY I 1.1")
	f.expectReply(f.mustAttach("db", "key-n2"), "FETCH z", "ROW whole | DONE m.q1 | READY I 1.1")
	f.expectRan("north: STORE x 1", "south: FETCH x", "weirwind: FETCH y", "south: BEGIN", "south: STORE z 1",
		"north: STORE z 2", "south: COMMIT", "north: FETCH z")
	if f.member.conns != 3 {
		t.Errorf("%d connections, want one for each tenant and one for the public route", f.member.conns)
	}
}

// A key that was revoked must be denied on open sessions too.
func TestRevokedKeysAreDeniedOnOpenSessions(t *testing.T) {
	for _, text := range []string{"STORE x 1", "BEGIN", "FETCH x"} {
		t.Run(text, func(t *testing.T) {
			f := newTenantFixture(t, twoTenants)
			north, south, other := f.mustAttach("db", "key-n1"), f.mustAttach("db", "key-s"), f.mustAttach("open", "key-n1")
			f.configure(2, `{"name":"north","keys":["key-n2"]},{"name":"south","keys":["key-s"]}`)
			f.expectReply(north, "SET v 1", "DONE - | READY I -")
			f.expectReply(north, text, "FAIL DENIED no tenant has this key | READY I -")
			f.expectClosed(north)
			f.expectReply(south, "FETCH y", "ROW whole | DONE m.q1 | READY I 1.1")
			f.expectReply(other, "FETCH z", "ROW whole | DONE m.q1 | READY I 1.1")
			f.expectRan("south: FETCH y", "weirwind: FETCH z")
		})
	}
}

// A transaction must not continue after its key was revoked or reassigned to another tenant.
func TestTransactionsOfRevokedKeysAreRolledBack(t *testing.T) {
	revoked := `{"name":"north","keys":[]},{"name":"south","keys":["key-s"]}`
	reassigned := `{"name":"north","keys":[]},{"name":"south","keys":["key-s","key-n1"]}`
	for _, c := range []struct {
		name, tenants, text, want, next string
	}{
		{"statement", revoked, "STORE x 2", "FAIL ABORTED its key was taken away | READY E -",
			"FAIL DENIED no tenant has this key | READY I -"},
		{"commit", revoked, "COMMIT", "FAIL ABORTED its key was taken away | READY I -",
			"FAIL DENIED no tenant has this key | READY I -"},
		{"reassigned", reassigned, "STORE x 2", "FAIL ABORTED its key was taken away | READY E -",
			"ROW whole | DONE m.q5 | READY I 1.1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTenantFixture(t, twoTenants)
			north := f.mustAttach("db", "key-n1")
			f.expectReply(north, "BEGIN", "DONE - | READY T -")
			f.expectReply(north, "STORE x 1", "DONE m.q2 | READY T 1.1")
			f.configure(2, c.tenants)
			f.expectReply(north, c.text, c.want)
			north.query("ABORT")
			f.expectReply(north, "FETCH x", c.next)
			if f.member.runCount("STORE x 2")+f.member.runCount("COMMIT") > 0 {
				t.Error("the member ran a statement of the transaction")
			}
		})
	}
}

// A key that was reassigned to another tenant serves that tenant from the next operation on.
func TestReassignedKeysServeTheNewTenant(t *testing.T) {
	f := newTenantFixture(t, twoTenants)
	sess := f.mustAttach("db", "key-n1")
	f.expectReply(sess, "FETCH x", "ROW whole | DONE m.q1 | READY I 1.1")
	f.configure(2, `{"name":"north","keys":[]},{"name":"south","keys":["key-n1"]}`)
	f.expectReply(sess, "FETCH x", "ROW whole | DONE m.q2 | READY I 1.1")
	f.expectRan("north: FETCH x", "south: FETCH x")
}

// With a tenant, a transaction that the member failed for lack of capacity must keep its connection: closing it costs
// the member another new connection.
func TestFailedTransactionsKeepTheirConnection(t *testing.T) {
	f := newTenantFixture(t, twoTenants)
	f.member.script["STORE x 1"] = []string{"FAIL RETRY"}
	f.member.failingText = "STORE x 1"
	sess := f.mustAttach("db", "key-s")
	f.expectReply(sess, "BEGIN", "DONE - | READY T -")
	f.expectReply(sess, "STORE x 1", "FAIL RETRY | READY E 1.1")
	f.expectReply(sess, "ABORT", "DONE - | READY I -")
	f.awaitAllReturned()
	f.expectReply(sess, "FETCH x", "ROW whole | DONE m.q4 | READY I 1.1")
	f.member.mu.Lock()
	defer f.member.mu.Unlock()
	if f.member.conns != 1 {
		t.Errorf("%d connections, want one", f.member.conns)
	}
}

// The name of a tenant that is not a valid field of a message is never sent to a member. Its clients are denied.
func TestTenantsWithInvalidNamesAreDenied(t *testing.T) {
	for _, name := range []string{`north pole`, `north\r\nBYE`, `\u0000`, `nor\tth`} {
		f := newTenantFixture(t, `{"name":"`+name+`","keys":["key-n1"]}`)
		if _, got := f.attach("db", "key-n1"); got != "FAIL DENIED no tenant has this key" {
			t.Errorf("tenant %q: %q", name, got)
		}
	}
}

// Denials are counted and logged without the key.
func TestDenialsAreCountedAndLogged(t *testing.T) {
	f := newTenantFixture(t, twoTenants)
	sess, tx := f.mustAttach("db", "key-n1"), f.mustAttach("db", "key-n1")
	tx.query("BEGIN")
	f.attach("db", "key-unknown")
	f.configure(2, "")
	f.configure(3, `{"name":"south","keys":["key-s"]}`)
	sess.query("FETCH x")
	tx.query("FETCH x")
	w := httptest.NewRecorder()
	metrics.Handler(f.proxy.writeMetrics).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, what := range []string{"attach", "operation", "transaction"} {
		if line := fmt.Sprintf("\nweirwind_proxy_denied_total{what=%q} 1\n", what); !strings.Contains(w.Body.String(), line) {
			t.Errorf("%q is missing in\n%s", line, w.Body)
		}
	}
	logLines := f.proxy.log.Recent()
	if f.proxy.log.Count(events.ClientsDenied) == 0 {
		t.Errorf("no log line on denials: %q", logLines)
	}
	for _, line := range logLines {
		if strings.Contains(line, "key-") {
			t.Errorf("a key is logged: %s", line)
		}
	}
}

// There is at most one log line on denials per second.
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

// A connection whose member no longer knows a prepared statement must be closed after the transaction that found it, and
// not be used again.
func TestTransactionsWithAnUnknownStatementCloseTheirConnection(t *testing.T) {
	f := newTenantFixture(t, twoTenants)
	f.member.script["EXEC w1 x 1"] = []string{"FAIL NOSTMT w1"}
	f.member.failingText = "EXEC w1 x 1"
	sess := f.mustAttach("db", "key-s")
	f.expectReply(sess, "PREP p STORE q", "DONE - | READY I -")
	f.expectReply(sess, "BEGIN", "DONE - | READY T -")
	f.expectReply(sess, "EXEC p x 1", "FAIL NOSTMT w1 | READY E 1.1")
	f.expectReply(sess, "ABORT", "DONE - | READY I -")
	f.awaitAllReturned()
	f.expectReply(sess, "EXEC p x 1", "DONE m.q5 | READY I 1.1")
	f.member.mu.Lock()
	defer f.member.mu.Unlock()
	if f.member.conns != 2 {
		t.Errorf("%d connections, want a second one on which the statement is prepared again", f.member.conns)
	}
}

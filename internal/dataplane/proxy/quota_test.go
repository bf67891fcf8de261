package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/member/wire"
	"weirwind/internal/util/events"
	"weirwind/internal/util/metrics"
	"weirwind/internal/util/settings"
	"weirwind/internal/util/transport"
)

const quotaConfig = `{"gen":3,"routes":[{"name":"r","host":"db","type":"primary","timeoutMs":900,"svc":"s"}],
	"svcs":[{"name":"s","maxConns":1000}],"tenants":[{"name":"hot","keys":["h"],"perS":100,"burst":40},
	{"name":"calm","keys":["c"],"perS":100,"burst":40},{"name":"free","keys":["f"]}]}`

// quotaRig is a proxy with tenants and an agent. It has no members, so that what its quotas let through stays in the
// group's queue.
type quotaRig struct {
	*transcript
	frames *[]string // sent to the agent
}

// withQuotas plays in virtual time.
func withQuotas(t *testing.T, contracts string, play func(x *quotaRig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		x := &quotaRig{transcript: &transcript{t: t}}
		x.p = newProxy(ctx, &settings.Settings{Zone: "z", MemoryMB: 8, Contracts: strings.Fields(contracts),
			QuotaWindow: 5 * time.Second}, events.New(&x.log, "proxy"))
		go x.p.router.run()
		x.update(&controlmsg.StateUpdate{ConfigVersion: 3, Config: []byte(quotaConfig)})
		x.frames = x.agent()
		play(x)
		stop()
		for _, c := range x.ends {
			c.Close()
		}
		x.p.agent.Load().Close()
	})
}

// ask enqueues an operation of a tenant.
func (x *quotaRig) ask(tenant string) *connRequest {
	request := &connRequest{tenant: tenant, startedAt: x.p.now(), deadline: x.p.now() + 60000,
		reply: make(chan lentConn, 1)}
	x.do(func() { x.p.router.enqueue("s", request) })
	return request
}

// grant answers report number seq.
func (x *quotaRig) grant(seq uint64, shares ...controlmsg.QuotaShare) {
	grant := &controlmsg.QuotaGrant{Incarnation: uint64(x.p.startedAt.UnixNano()), Seq: seq, LeaseMs: 12000,
		Shares: shares}
	x.do(func() { x.p.router.applyGrant(grant) })
}

// admitted is how many operations were let through.
func (x *quotaRig) admitted() (n int) {
	x.do(func() { n = x.p.router.group("s").queue.len() })
	return n
}

// passed reports whether a request was let through.
func (x *quotaRig) passed(request *connRequest) (yes bool) {
	x.do(func() { yes = request.admitted })
	return yes
}

// refusal is the error that a request was answered with, nil for none.
func refusal(request *connRequest) error {
	select {
	case lent := <-request.reply:
		return lent.err
	default:
		return nil
	}
}

func TestHotTenantIsBoundedAndDelaysNobody(t *testing.T) {
	withQuotas(t, "quota", func(x *quotaRig) {
		x.ask("hot")
		x.ask("calm")
		x.grant(1, controlmsg.QuotaShare{Tenant: "hot", Share: 0.5, Tokens: 1})
		x.ask("calm") // the next report is sent for it
		time.Sleep(500 * time.Millisecond)
		x.ask("calm")
		x.grant(2, controlmsg.QuotaShare{Tenant: "hot", Share: 0.5},
			controlmsg.QuotaShare{Tenant: "calm", Share: 0.5, Tokens: 20})
		before := x.admitted()
		var hot, calm []*connRequest
		for range 900 { // one each millisecond; the newest report is answered, later ones are not
			time.Sleep(time.Millisecond)
			hot = append(hot, x.ask("hot"))
			if len(hot)%100 == 0 {
				calm = append(calm, x.ask("calm"))
			}
		}
		time.Sleep(time.Second) // nothing waits any more
		refused := 0
		for _, request := range hot {
			if err := refusal(request); err != nil {
				refused++
				if failCode(err) != wire.CodeRetry || !strings.HasPrefix(err.Error(), "come back after ") {
					t.Fatalf("it is refused with %v", err)
				}
			}
		}
		for i, request := range calm {
			if !x.passed(request) {
				t.Errorf("operation %d of the other tenant is not admitted", i)
			}
		}
		// Half of 100 a second and of 40 at once, over the 0.9 s and the 0.3 s that the last may wait.
		if n := len(hot) - refused; n > 20+60 || n < 45 || x.admitted()-before != n+len(calm) {
			t.Errorf("%d operations are admitted, %d refused, %d in the queue", n, refused, x.admitted()-before)
		}
		if lines := strings.Count(x.log.String(), `"E704"`); lines < 1 || lines > 4 {
			t.Errorf("%d lines on refusals:\n%s", lines, x.log.String())
		}
	})
}

func TestFirstOperationWaitsForItsShare(t *testing.T) {
	withQuotas(t, "quota", func(x *quotaRig) {
		request := x.ask("hot")
		time.Sleep(40 * time.Millisecond)
		if synctest.Wait(); len(*x.frames) == 0 {
			t.Error("no report is sent at once")
		}
		if n := x.admitted(); n != 0 {
			t.Errorf("%d operations are admitted without a share", n)
		}
		x.grant(1, controlmsg.QuotaShare{Tenant: "hot", Share: 1, Tokens: 1})
		if !x.passed(request) || x.admitted() != 1 {
			t.Error("it is not admitted by the grant")
		}
		x.do(func() { x.p.router.enqueue("s", request) })
		if n := x.admitted(); n != 2 {
			t.Errorf("another attempt of the same operation: %d in the queue", n)
		}
	})
}

func TestOperationsWaitForTokensInOrderOfArrival(t *testing.T) {
	withQuotas(t, "quota", func(x *quotaRig) {
		x.ask("hot")
		x.grant(1, controlmsg.QuotaShare{Tenant: "hot", Share: 0.1, Tokens: 1}) // ten a second
		first, second, third := x.ask("hot"), x.ask("hot"), x.ask("hot")
		if err := refusal(third); err == nil || err.Error() != "come back after 300 ms" {
			t.Errorf("the third, which would wait for too long: %v", err)
		}
		time.Sleep(103 * time.Millisecond)
		if !x.passed(first) || x.passed(second) {
			t.Error("after 100 ms not the first alone is admitted")
		}
		time.Sleep(100 * time.Millisecond)
		if !x.passed(second) {
			t.Error("after 200 ms the second is not admitted")
		}
	})
}

func TestOperationsWithoutAShareAreRefusedInTime(t *testing.T) {
	withQuotas(t, "quota", func(x *quotaRig) {
		request := x.ask("hot")
		time.Sleep(299 * time.Millisecond)
		if err := refusal(request); err != nil {
			t.Errorf("too soon: %v", err)
		}
		time.Sleep(5 * time.Millisecond)
		if err := refusal(request); err == nil || err.Error() != "come back after 500 ms" {
			t.Errorf("after 300 ms: %v", err)
		}
		if err := request.failure(); err.Error() != "come back after 500 ms" {
			t.Errorf("its client is answered %v", err)
		}
		hurried := &connRequest{tenant: "hot", deadline: x.p.now() + 20, reply: make(chan lentConn, 1)}
		x.do(func() { x.p.router.enqueue("s", hurried) })
		time.Sleep(10 * time.Millisecond)
		if refusal(hurried) == nil {
			t.Error("it waits past its deadline")
		}
	})
}

func TestNothingIsAdmittedAfterTheLeaseOfShares(t *testing.T) {
	withQuotas(t, "quota", func(x *quotaRig) {
		x.ask("hot")
		x.grant(1, controlmsg.QuotaShare{Tenant: "hot", Share: 1, Tokens: 1})
		for second := range 11 {
			time.Sleep(time.Second)
			if request := x.ask("hot"); !x.passed(request) {
				t.Errorf("within the lease, after %d s, it is not admitted", second+1)
			}
		}
		time.Sleep(time.Second)
		if request := x.ask("hot"); x.passed(request) {
			t.Error("after the lease it is admitted")
		}
		time.Sleep(100 * time.Millisecond)
		if !strings.Contains(x.log.String(), `"E705"`) {
			t.Errorf("no event:\n%s", x.log.String())
		}
	})
}

func TestQuotaFigures(t *testing.T) {
	withQuotas(t, "quota", func(x *quotaRig) {
		x.ask("hot")
		x.grant(1, controlmsg.QuotaShare{Tenant: "hot", Share: 0.5})
		x.ask("calm")
		x.ask("free")
		for range 30 {
			x.ask("hot")
		}
		w := httptest.NewRecorder()
		metrics.Handler(x.p.figures).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		for _, line := range []string{
			"weirwind_proxy_quota_refused_total 19", // all but the 12 whose token is due within 250 ms
			"weirwind_proxy_quota_waiting 13",
			"weirwind_proxy_quota_shares 0.5",
			"weirwind_proxy_quota_demand 32",
			"weirwind_proxy_quota_lapses_total 0",
		} {
			if !strings.Contains(w.Body.String(), "\n"+line+"\n") {
				t.Errorf("%q is not in\n%s", line, w.Body)
			}
		}
	})
}

// A report goes to the agent over its link, and the grant that comes back lets the operation through.
func TestGrantsComeFromTheAgent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	up := make(chan struct{}, 1)
	go transport.Serve(listener, 0, func(*transport.Link[controlmsg.Frame]) { up <- struct{}{} },
		func(l *transport.Link[controlmsg.Frame], f *controlmsg.Frame) {
			if r := f.QuotaReport; r != nil {
				l.Send(&controlmsg.Frame{QuotaGrant: &controlmsg.QuotaGrant{Incarnation: r.Incarnation, Seq: r.Seq,
					LeaseMs: 12000, Shares: []controlmsg.QuotaShare{{Tenant: "hot", Share: 1, Tokens: 1}}}})
			}
		}, func(*transport.Link[controlmsg.Frame]) {})
	x := &quotaRig{transcript: &transcript{t: t}}
	x.p = newProxy(t.Context(), &settings.Settings{Zone: "z", FeedAddr: listener.Addr().String(),
		Contracts: []string{settings.ContractQuota}, QuotaWindow: 5 * time.Second}, events.Discard())
	go x.p.router.run()
	go x.p.followAgent()
	x.update(&controlmsg.StateUpdate{ConfigVersion: 3, Config: []byte(quotaConfig)})
	x.do(func() { x.p.router.group("s").queue.max = 0 }) // what is let through is answered at once
	for range 20 {                                       // the link may not be up at the first
		lent := <-x.ask("hot").reply
		if errors.Is(lent.err, errRetryLater) {
			return
		}
	}
	t.Error("no operation is let through")
}

func TestOnlyTenantsWithAQuotaAreLimitedAndOnlyByTheContract(t *testing.T) {
	for _, c := range []struct{ contracts, tenant string }{{"tenants", "hot"}, {"quota", "free"}, {"quota", ""}} {
		withQuotas(t, c.contracts, func(x *quotaRig) {
			for range 500 {
				x.ask(c.tenant)
			}
			time.Sleep(2 * time.Second)
			if n := x.admitted(); n != 500 {
				t.Errorf("%+v: %d of 500 are admitted", c, n)
			}
			if synctest.Wait(); len(*x.frames) > 0 {
				t.Errorf("%+v: reports are sent", c)
			}
		})
	}
}

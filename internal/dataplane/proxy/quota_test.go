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

// answer answers request number seq with tokens for the tenant "hot".
func (x *quotaRig) answer(seq uint64, tokens int, retryAfterMs float64) {
	answer := &controlmsg.QuotaAnswer{Incarnation: uint64(x.p.startedAt.UnixNano()), Seq: seq,
		Tenants: []controlmsg.QuotaTokens{{Tenant: "hot", Tokens: tokens, RetryAfterMs: retryAfterMs}}}
	x.do(func() { x.p.router.handleQuotaAnswer(answer) })
}

// asked is how many requests were sent.
func (x *quotaRig) asked() (n uint64) {
	x.do(func() { n = x.p.router.quotas.client.Figures().Requests })
	return n
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

// core answers requests over a link as a machine does that has so many tokens a second of each tenant.
type core struct {
	tokensPerSecond float64
	startedAt       time.Time
	given           map[string]int
}

func (c *core) answer(r *controlmsg.QuotaRequest) *controlmsg.QuotaAnswer {
	answer := &controlmsg.QuotaAnswer{Incarnation: r.Incarnation, Seq: r.Seq}
	for _, asked := range r.Tenants {
		there := int(time.Since(c.startedAt).Seconds()*c.tokensPerSecond) - c.given[asked.Tenant]
		n := min(there, asked.Operations)
		c.given[asked.Tenant] += n
		answer.Tenants = append(answer.Tenants, controlmsg.QuotaTokens{Tenant: asked.Tenant, Tokens: n,
			RetryAfterMs: 1000 / c.tokensPerSecond})
	}
	return answer
}

// serve is the agent's side of the link, which passes on at once.
func (c *core) serve(x *quotaRig) {
	c.startedAt, c.given = time.Now(), map[string]int{}
	here, there := net.Pipe()
	l := oneConn{conns: make(chan net.Conn, 1)}
	l.conns <- here
	close(l.conns)
	up := make(chan struct{})
	go transport.Serve(l, 0, func(l *transport.Link[controlmsg.Frame]) {
		x.p.agent.Store(l)
		close(up)
	}, func(_ *transport.Link[controlmsg.Frame], f *controlmsg.Frame) {
		x.p.router.do(func() { x.p.router.handleQuotaAnswer(f.QuotaAnswer) })
	}, func(*transport.Link[controlmsg.Frame]) {})
	<-up
	x.ends = append(x.ends, there)
	far := oneConn{conns: make(chan net.Conn, 1)}
	far.conns <- there
	close(far.conns)
	go transport.Serve(far, 0, func(*transport.Link[controlmsg.Frame]) {},
		func(l *transport.Link[controlmsg.Frame], f *controlmsg.Frame) {
			l.Send(&controlmsg.Frame{QuotaAnswer: c.answer(f.QuotaRequest)})
		}, func(*transport.Link[controlmsg.Frame]) {})
}

func TestHotTenantIsBoundedAndDelaysNobody(t *testing.T) {
	withQuotas(t, "quota", func(x *quotaRig) {
		x.p.agent.Load().Close()
		c := &core{tokensPerSecond: 50}
		c.serve(x)
		time.Sleep(100 * time.Millisecond)
		var hot, calm []*connRequest
		for range 3000 { // one each millisecond
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
		// 50 a second, over 0.1 s before, 3 s of asking and the 0.6 s that the last may wait.
		n := len(hot) - refused
		if n > c.given["hot"] || n > 185 || n < 150 || x.admitted() != n+len(calm) {
			t.Errorf("%d operations are admitted, %d refused, %d in the queue; %d tokens were given", n, refused,
				x.admitted(), c.given["hot"])
		}
		if requests := x.asked(); requests > 500 {
			t.Errorf("%d requests", requests)
		}
		if lines := strings.Count(x.log.String(), `"E704"`); lines < 1 || lines > 5 {
			t.Errorf("%d lines on refusals:\n%s", lines, x.log.String())
		}
	})
}

func TestFirstOperationWaitsForItsToken(t *testing.T) {
	withQuotas(t, "quota", func(x *quotaRig) {
		request := x.ask("hot")
		if synctest.Wait(); len(*x.frames) == 0 {
			t.Error("no request is sent at once")
		}
		time.Sleep(200 * time.Millisecond)
		if n := x.admitted(); n != 0 || x.asked() != 1 {
			t.Errorf("%d operations are admitted without a token, after %d requests", n, x.asked())
		}
		x.answer(1, 1, 0)
		if !x.passed(request) || x.admitted() != 1 {
			t.Error("it is not admitted by the token")
		}
		x.do(func() { x.p.router.enqueue("s", request) })
		if n := x.admitted(); n != 2 || x.asked() != 1 {
			t.Errorf("another attempt of the same operation: %d in the queue, %d requests", n, x.asked())
		}
	})
}

func TestOperationsWaitForTokensInOrderOfArrival(t *testing.T) {
	withQuotas(t, "quota", func(x *quotaRig) {
		first, second, third := x.ask("hot"), x.ask("hot"), x.ask("hot")
		x.answer(1, 0, 100) // for the first alone
		time.Sleep(6 * time.Millisecond)
		x.answer(2, 1, 100) // for the two that came within 5 ms
		if !x.passed(first) || x.passed(second) || x.passed(third) {
			t.Error("not the first alone is admitted by the first token")
		}
		time.Sleep(103 * time.Millisecond)
		if n := x.asked(); n != 4 {
			t.Errorf("%d requests, and not one more for the first's place, at 100 ms, and one for the third's", n)
		}
		x.answer(4, 1, 0) // overtakes the third
		if !x.passed(second) || x.passed(third) {
			t.Error("not the second alone is admitted by the second token")
		}
		x.answer(3, 0, 400)
		if err := refusal(third); err == nil || err.Error() != "come back after 400 ms" {
			t.Errorf("the third, whose token is far: %v", err)
		}
	})
}

func TestOperationsWithoutATokenAreRefusedInTime(t *testing.T) {
	withQuotas(t, "quota", func(x *quotaRig) {
		request := x.ask("hot")
		time.Sleep(599 * time.Millisecond)
		if err := refusal(request); err != nil || x.asked() != 3 {
			t.Errorf("too soon: %v; or not asked for each 250 ms: %d requests", err, x.asked())
		}
		time.Sleep(2 * time.Millisecond)
		if err := refusal(request); err == nil || err.Error() != "come back after 500 ms" {
			t.Errorf("after 600 ms: %v", err)
		}
		if err := request.replyError(); err.Error() != "come back after 500 ms" {
			t.Errorf("its client is answered %v", err)
		}
		for _, left := range []float64{20, 70} {
			hurried := &connRequest{tenant: "hot", deadline: x.p.now() + left, reply: make(chan lentConn, 1)}
			x.do(func() { x.p.router.enqueue("s", hurried) })
			if time.Sleep(22 * time.Millisecond); refusal(hurried) == nil {
				t.Errorf("with %v ms left it waits until its deadline", left)
			}
		}
	})
}

func TestNothingIsAdmittedByAnOldToken(t *testing.T) {
	withQuotas(t, "quota", func(x *quotaRig) {
		request := x.ask("hot")
		time.Sleep(501 * time.Millisecond)
		x.answer(1, 1, 0)
		if x.passed(request) {
			t.Error("it is admitted by a token after its lifetime")
		}
		x.answer(2, 1, 0) // of the request at 250 ms
		x.answer(2, 1, 0)
		x.answer(3, 1, 0) // of that at 500 ms
		if !x.passed(request) {
			t.Error("it is not admitted by a young token")
		}
		if request := x.ask("hot"); !x.passed(request) {
			t.Error("a token that is left over is not used")
		}
		if request := x.ask("hot"); x.passed(request) {
			t.Error("an answer that came twice counts twice")
		}
	})
}

func TestOperationsAreAskedForOnceTheAgentIsBack(t *testing.T) {
	withQuotas(t, "quota", func(x *quotaRig) {
		link := x.p.agent.Swap(nil)
		request := x.ask("hot")
		time.Sleep(300 * time.Millisecond)
		x.p.agent.Store(link)
		time.Sleep(tickInterval + time.Millisecond)
		if x.answer(1, 1, 0); !x.passed(request) {
			t.Error("it is not asked for")
		}
	})
}

func TestQuotaFigures(t *testing.T) {
	withQuotas(t, "quota", func(x *quotaRig) {
		x.ask("hot")
		time.Sleep(20 * time.Millisecond)
		x.answer(1, 1, 0)
		x.ask("calm")
		x.ask("free")
		time.Sleep(505 * time.Millisecond)
		x.answer(2, 1, 0)
		for range 130 {
			x.ask("hot")
		}
		w := httptest.NewRecorder()
		metrics.Handler(x.p.writeMetrics).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		for _, line := range []string{
			"weirwind_proxy_quota_operations_total 132",
			"weirwind_proxy_quota_refused_total 30", // beyond the 100 that may wait
			"weirwind_proxy_quota_waiting 101",
			"weirwind_proxy_quota_wait_seconds_sum 0.02",
			"weirwind_proxy_quota_wait_seconds_count 1",
			"weirwind_proxy_quota_requests_total 4", // for hot, for calm and again each 250 ms; not yet for hot again
			"weirwind_proxy_quota_unanswered_total 1",
			"weirwind_proxy_quota_late_answers_total 1",
		} {
			if !strings.Contains(w.Body.String(), "\n"+line+"\n") {
				t.Errorf("%q is not in\n%s", line, w.Body)
			}
		}
	})
}

// A request goes to the agent over its link, and the answer that comes back lets the operation through.
func TestTokensComeFromTheAgent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go transport.Serve(listener, 0, func(*transport.Link[controlmsg.Frame]) {},
		func(l *transport.Link[controlmsg.Frame], f *controlmsg.Frame) {
			if r := f.QuotaRequest; r != nil {
				l.Send(&controlmsg.Frame{QuotaAnswer: &controlmsg.QuotaAnswer{Incarnation: r.Incarnation, Seq: r.Seq,
					Tenants: []controlmsg.QuotaTokens{{Tenant: "hot", Tokens: 1}}}})
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

// QUOTA: as a tenant was removed, all of its operations that waited for a token went to members at once.
func TestWaitingOperationsOfARemovedTenantAreNotLetThrough(t *testing.T) {
	withQuotas(t, "quota tenants", func(x *quotaRig) {
		for range 50 {
			x.ask("hot")
		}
		without := strings.Replace(strings.Replace(quotaConfig, `"gen":3`, `"gen":4`, 1),
			`{"name":"hot","keys":["h"],"perS":100,"burst":40},`, "", 1)
		x.update(&controlmsg.StateUpdate{ConfigVersion: 4, Config: []byte(without)})
		if n := x.admitted(); n != 0 {
			t.Errorf("%d of 50 are let through without a token", n)
		}
	})
}

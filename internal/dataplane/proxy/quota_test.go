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

// quotaFixture is a proxy with tenants and an agent. It has no members, so that admitted operations stay in the queue of
// the group.
type quotaFixture struct {
	*transcript
	frames *[]string // frames that the agent has received
}

// runWithQuotas runs a test in virtual time with the given contracts in force.
func runWithQuotas(t *testing.T, contracts string, run func(x *quotaFixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		x := &quotaFixture{transcript: &transcript{t: t}}
		x.proxy = newProxy(ctx, &settings.Settings{Zone: "z", MemoryMB: 8, Contracts: strings.Fields(contracts),
			QuotaWindow: 5 * time.Second}, events.New(&x.log, "proxy"))
		go x.proxy.router.run()
		x.update(&controlmsg.StateUpdate{ConfigVersion: 3, Config: []byte(quotaConfig)})
		x.frames = x.connectAgent()
		run(x)
		cancel()
		for _, c := range x.memberEnds {
			c.Close()
		}
		x.proxy.agent.Load().Close()
	})
}

// enqueue enqueues an operation of a tenant.
func (x *quotaFixture) enqueue(tenant string) *connRequest {
	request := &connRequest{tenant: tenant, startedAt: x.proxy.now(), deadline: x.proxy.now() + 60000,
		reply: make(chan connCheckout, 1)}
	x.do(func() { x.proxy.router.enqueue("s", request) })
	return request
}

// answer answers the request for tokens with number seq, with tokens for the tenant "hot".
func (x *quotaFixture) answer(seq uint64, tokens int, retryAfterMs float64) {
	answer := &controlmsg.QuotaAnswer{Incarnation: uint64(x.proxy.startedAt.UnixNano()), Seq: seq,
		Tenants: []controlmsg.QuotaTokens{{Tenant: "hot", Tokens: tokens, RetryAfterMs: retryAfterMs}}}
	x.do(func() { x.proxy.router.handleQuotaAnswer(answer) })
}

// requestCount returns how many requests for tokens were sent.
func (x *quotaFixture) requestCount() (n uint64) {
	x.do(func() { n = x.proxy.router.quotas.client.Stats().Requests })
	return n
}

// queuedCount returns how many requests are in the queue of the group: those that the quotas admitted.
func (x *quotaFixture) queuedCount() (n int) {
	x.do(func() { n = x.proxy.router.group("s").queue.len() })
	return n
}

// isAdmitted reports whether a request was admitted.
func (x *quotaFixture) isAdmitted(request *connRequest) (admitted bool) {
	x.do(func() { admitted = request.admitted })
	return admitted
}

// refusalOf returns the error that a request was answered with, nil for none.
func refusalOf(request *connRequest) error {
	select {
	case checkout := <-request.reply:
		return checkout.err
	default:
		return nil
	}
}

// fakeCore answers requests for tokens over a link, like a core machine with a fixed rate of tokens for each tenant.
type fakeCore struct {
	tokensPerSecond float64
	startedAt       time.Time
	granted         map[string]int
}

func (c *fakeCore) answer(request *controlmsg.QuotaRequest) *controlmsg.QuotaAnswer {
	answer := &controlmsg.QuotaAnswer{Incarnation: request.Incarnation, Seq: request.Seq}
	for _, wanted := range request.Tenants {
		available := int(time.Since(c.startedAt).Seconds()*c.tokensPerSecond) - c.granted[wanted.Tenant]
		tokens := min(available, wanted.Operations)
		c.granted[wanted.Tenant] += tokens
		answer.Tenants = append(answer.Tenants, controlmsg.QuotaTokens{Tenant: wanted.Tenant, Tokens: tokens,
			RetryAfterMs: 1000 / c.tokensPerSecond})
	}
	return answer
}

// serve connects the proxy to an agent that answers requests without delay.
func (c *fakeCore) serve(x *quotaFixture) {
	c.startedAt, c.granted = time.Now(), map[string]int{}
	proxyEnd, agentEnd := net.Pipe()
	proxyListener := singleConnListener{conns: make(chan net.Conn, 1)}
	proxyListener.conns <- proxyEnd
	close(proxyListener.conns)
	connected := make(chan struct{})
	go transport.Serve(proxyListener, 0, func(l *transport.Link[controlmsg.Frame]) {
		x.proxy.agent.Store(l)
		close(connected)
	}, func(_ *transport.Link[controlmsg.Frame], f *controlmsg.Frame) {
		x.proxy.router.do(func() { x.proxy.router.handleQuotaAnswer(f.QuotaAnswer) })
	}, func(*transport.Link[controlmsg.Frame]) {})
	<-connected
	x.memberEnds = append(x.memberEnds, agentEnd)
	agentListener := singleConnListener{conns: make(chan net.Conn, 1)}
	agentListener.conns <- agentEnd
	close(agentListener.conns)
	go transport.Serve(agentListener, 0, func(*transport.Link[controlmsg.Frame]) {},
		func(l *transport.Link[controlmsg.Frame], f *controlmsg.Frame) {
			if f.QuotaRequest != nil {
				l.Send(&controlmsg.Frame{QuotaAnswer: c.answer(f.QuotaRequest)})
			}
		}, func(*transport.Link[controlmsg.Frame]) {})
}

// A tenant with more operations than its quota gets its tokens and no more. Operations of another tenant are all
// admitted.
func TestBusyTenantIsLimitedAndDoesNotDelayOthers(t *testing.T) {
	runWithQuotas(t, "quota", func(x *quotaFixture) {
		x.proxy.agent.Load().Close()
		c := &fakeCore{tokensPerSecond: 50}
		c.serve(x)
		time.Sleep(100 * time.Millisecond)
		var hot, calm []*connRequest
		for range 3000 { // one operation per millisecond
			time.Sleep(time.Millisecond)
			hot = append(hot, x.enqueue("hot"))
			if len(hot)%100 == 0 {
				calm = append(calm, x.enqueue("calm"))
			}
		}
		time.Sleep(time.Second) // after this no operation waits any more
		refused := 0
		for _, request := range hot {
			if err := refusalOf(request); err != nil {
				refused++
				if failCode(err) != wire.CodeRetry || !strings.HasPrefix(err.Error(), "come back after ") {
					t.Fatalf("unexpected refusal %v", err)
				}
			}
		}
		for i, request := range calm {
			if !x.isAdmitted(request) {
				t.Errorf("operation %d of the other tenant was not admitted", i)
			}
		}
		// 50 tokens a second for 0.1 s before the first operation, 3 s of operations and the last one's wait of up to 0.6 s.
		admitted := len(hot) - refused
		if admitted > c.granted["hot"] || admitted > 185 || admitted < 150 || x.queuedCount() != admitted+len(calm) {
			t.Errorf("%d operations admitted, %d refused, %d in the queue; %d tokens granted", admitted, refused,
				x.queuedCount(), c.granted["hot"])
		}
		if requests := x.requestCount(); requests > 500 {
			t.Errorf("%d requests for tokens, want at most 500", requests)
		}
		if lines := strings.Count(x.log.String(), `"E704"`); lines < 1 || lines > 5 {
			t.Errorf("%d log lines on refusals, want 1 to 5:\n%s", lines, x.log.String())
		}
	})
}

func TestFirstOperationWaitsForItsToken(t *testing.T) {
	runWithQuotas(t, "quota", func(x *quotaFixture) {
		request := x.enqueue("hot")
		if synctest.Wait(); len(*x.frames) == 0 {
			t.Error("no request for tokens was sent immediately")
		}
		time.Sleep(200 * time.Millisecond)
		if n := x.queuedCount(); n != 0 || x.requestCount() != 1 {
			t.Errorf("%d operations admitted without a token, after %d requests, want 0 and 1", n, x.requestCount())
		}
		x.answer(1, 1, 0)
		if !x.isAdmitted(request) || x.queuedCount() != 1 {
			t.Error("the operation was not admitted by the token")
		}
		x.do(func() { x.proxy.router.enqueue("s", request) })
		if n := x.queuedCount(); n != 2 || x.requestCount() != 1 {
			t.Errorf("second attempt of the same operation: %d in the queue, %d requests, want 2 and 1", n, x.requestCount())
		}
	})
}

func TestOperationsWaitForTokensInOrderOfArrival(t *testing.T) {
	runWithQuotas(t, "quota", func(x *quotaFixture) {
		first, second, third := x.enqueue("hot"), x.enqueue("hot"), x.enqueue("hot")
		x.answer(1, 0, 100) // to the request for the first operation
		time.Sleep(6 * time.Millisecond)
		x.answer(2, 1, 100) // to the request for the two operations within 5 ms
		if !x.isAdmitted(first) || x.isAdmitted(second) || x.isAdmitted(third) {
			t.Error("the first token did not admit exactly the first operation")
		}
		time.Sleep(103 * time.Millisecond)
		if n := x.requestCount(); n != 4 {
			t.Errorf("%d requests, want 4: one more after 100 ms for the oldest waiting operation and one for the next", n)
		}
		x.answer(4, 1, 0) // arrives before the answer to request 3
		if !x.isAdmitted(second) || x.isAdmitted(third) {
			t.Error("the second token did not admit exactly the second operation")
		}
		x.answer(3, 0, 400)
		if err := refusalOf(third); err == nil || err.Error() != "come back after 400 ms" {
			t.Errorf("third operation, whose token is due in 400 ms: %v", err)
		}
	})
}

func TestOperationsWithoutATokenAreRefusedAfterTheMaximumWait(t *testing.T) {
	runWithQuotas(t, "quota", func(x *quotaFixture) {
		request := x.enqueue("hot")
		time.Sleep(599 * time.Millisecond)
		if err := refusalOf(request); err != nil || x.requestCount() != 3 {
			t.Errorf("after 599 ms: refused with %v, %d requests, want no refusal and 3 requests, one each 250 ms", err, x.requestCount())
		}
		time.Sleep(2 * time.Millisecond)
		if err := refusalOf(request); err == nil || err.Error() != "come back after 500 ms" {
			t.Errorf("after 600 ms: %v", err)
		}
		if err := request.replyError(); err.Error() != "come back after 500 ms" {
			t.Errorf("the error for the client is %v", err)
		}
		for _, timeLeft := range []float64{20, 70} {
			urgent := &connRequest{tenant: "hot", deadline: x.proxy.now() + timeLeft, reply: make(chan connCheckout, 1)}
			x.do(func() { x.proxy.router.enqueue("s", urgent) })
			if time.Sleep(22 * time.Millisecond); refusalOf(urgent) == nil {
				t.Errorf("an operation with %v ms left was not refused before its deadline", timeLeft)
			}
		}
	})
}

func TestExpiredTokensAdmitNothing(t *testing.T) {
	runWithQuotas(t, "quota", func(x *quotaFixture) {
		request := x.enqueue("hot")
		time.Sleep(501 * time.Millisecond)
		x.answer(1, 1, 0)
		if x.isAdmitted(request) {
			t.Error("an expired token admitted the operation")
		}
		x.answer(2, 1, 0) // to the request at 250 ms
		x.answer(2, 1, 0)
		x.answer(3, 1, 0) // to the request at 500 ms
		if !x.isAdmitted(request) {
			t.Error("a valid token did not admit the operation")
		}
		if request := x.enqueue("hot"); !x.isAdmitted(request) {
			t.Error("an unused token did not admit the next operation")
		}
		if request := x.enqueue("hot"); x.isAdmitted(request) {
			t.Error("a duplicate answer was counted twice")
		}
	})
}

func TestTokensAreRequestedOnceTheAgentReconnects(t *testing.T) {
	runWithQuotas(t, "quota", func(x *quotaFixture) {
		link := x.proxy.agent.Swap(nil)
		request := x.enqueue("hot")
		time.Sleep(300 * time.Millisecond)
		x.proxy.agent.Store(link)
		time.Sleep(tickInterval + time.Millisecond)
		if x.answer(1, 1, 0); !x.isAdmitted(request) {
			t.Error("no token was requested for the operation")
		}
	})
}

func TestQuotaMetrics(t *testing.T) {
	runWithQuotas(t, "quota", func(x *quotaFixture) {
		x.enqueue("hot")
		time.Sleep(20 * time.Millisecond)
		x.answer(1, 1, 0)
		x.enqueue("calm")
		x.enqueue("free")
		time.Sleep(505 * time.Millisecond)
		x.answer(2, 1, 0)
		for range 130 {
			x.enqueue("hot")
		}
		w := httptest.NewRecorder()
		metrics.Handler(x.proxy.writeMetrics).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		for _, line := range []string{
			"weirwind_proxy_quota_operations_total 132",
			"weirwind_proxy_quota_refused_total 30", // beyond the maximum of 100 waiting operations
			"weirwind_proxy_quota_waiting 101",
			"weirwind_proxy_quota_wait_seconds_sum 0.02",
			"weirwind_proxy_quota_wait_seconds_count 1",
			"weirwind_proxy_quota_requests_total 4", // for hot, for calm and again after each 250 ms; the last operations of hot are not requested yet
			"weirwind_proxy_quota_unanswered_total 1",
			"weirwind_proxy_quota_late_answers_total 1",
		} {
			if !strings.Contains(w.Body.String(), "\n"+line+"\n") {
				t.Errorf("%q is missing in\n%s", line, w.Body)
			}
		}
	})
}

// A request for tokens is sent to the agent over its link, and the answer admits the operation.
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
	x := &quotaFixture{transcript: &transcript{t: t}}
	x.proxy = newProxy(t.Context(), &settings.Settings{Zone: "z", FeedAddr: listener.Addr().String(),
		Contracts: []string{settings.ContractQuota}, QuotaWindow: 5 * time.Second}, events.Discard())
	go x.proxy.router.run()
	go x.proxy.followAgent()
	x.update(&controlmsg.StateUpdate{ConfigVersion: 3, Config: []byte(quotaConfig)})
	x.do(func() { x.proxy.router.group("s").queue.max = 0 }) // admitted requests are rejected at once
	for range 20 {                                           // the link may not be connected at the first ones
		checkout := <-x.enqueue("hot").reply
		if errors.Is(checkout.err, errRetryLater) {
			return
		}
	}
	t.Error("no operation was admitted")
}

func TestLimitsRequireATenantWithAQuotaAndTheContract(t *testing.T) {
	for _, c := range []struct{ contracts, tenant string }{{"tenants", "hot"}, {"quota", "free"}, {"quota", ""}} {
		runWithQuotas(t, c.contracts, func(x *quotaFixture) {
			for range 500 {
				x.enqueue(c.tenant)
			}
			time.Sleep(2 * time.Second)
			if n := x.queuedCount(); n != 500 {
				t.Errorf("%+v: %d of 500 operations admitted", c, n)
			}
			if synctest.Wait(); len(*x.frames) > 0 {
				t.Errorf("%+v: frames were sent to the agent", c)
			}
		})
	}
}

// When the configuration removes a tenant, its operations that wait for a token must not be admitted. A former version
// sent all of them to members.
func TestWaitingOperationsOfARemovedTenantAreNotAdmitted(t *testing.T) {
	runWithQuotas(t, "quota tenants", func(x *quotaFixture) {
		for range 50 {
			x.enqueue("hot")
		}
		configWithoutHot := strings.Replace(strings.Replace(quotaConfig, `"gen":3`, `"gen":4`, 1),
			`{"name":"hot","keys":["h"],"perS":100,"burst":40},`, "", 1)
		x.update(&controlmsg.StateUpdate{ConfigVersion: 4, Config: []byte(configWithoutHot)})
		if n := x.queuedCount(); n != 0 {
			t.Errorf("%d of 50 operations admitted without a token", n)
		}
	})
}

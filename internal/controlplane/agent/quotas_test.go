package agent

import (
	"io"
	"testing"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/controlplane/quota"
	"weirwind/internal/util/settings"
)

func TestQuotaRequestsAreNamedAndForwarded(t *testing.T) {
	h := newHistory(t, 0, io.Discard)
	frame := &controlmsg.Frame{QuotaRequest: &controlmsg.QuotaRequest{Incarnation: 1, Seq: 1}}
	h.a.forwardToCore(frame) // without a core machine
	h.a.dialNextCore()
	h.a.coreUp(h.a.candidate, h.link("core"))
	core := h.links[len(h.links)-1]
	for want, isolated := range []bool{false, true} { // a machine without contact may still have tokens
		h.a.core.isolated = isolated
		h.a.forwardToCore(frame)
		n := core.counters.Sent(uint8(controlmsg.Quotas)).Frames
		if n != uint64(want+1) || frame.QuotaRequest.Driver != h.a.self.Name {
			t.Errorf("%d requests forwarded, of driver %q", n, frame.QuotaRequest.Driver)
		}
	}
}

func TestQuotaAnswersGoToTheProxy(t *testing.T) {
	h := newHistory(t, 0, io.Discard)
	h.a.dialNextCore()
	h.a.coreUp(h.a.candidate, h.link("core"))
	h.a.proxyUp(h.link("proxy"))
	proxy := h.links[len(h.links)-1]
	h.a.takeFromCore(h.a.core, &controlmsg.Frame{QuotaAnswer: &controlmsg.QuotaAnswer{Driver: h.a.self.Name}})
	if n := proxy.counters.Sent(uint8(controlmsg.Quotas)).Frames; n != 1 {
		t.Errorf("the proxy was sent %d answers", n)
	}
}

// Reports and grants of quotas go between core machines only.
func TestNoShareOfAQuotaComesToADriver(t *testing.T) {
	h := newHistory(t, 0, io.Discard)
	h.a.dialNextCore()
	h.a.coreUp(h.a.candidate, h.link("core"))
	h.a.proxyUp(h.link("proxy"))
	h.a.forwardToCore(&controlmsg.Frame{QuotaReport: &controlmsg.QuotaReport{}})
	h.a.takeFromCore(h.a.core, &controlmsg.Frame{QuotaGrant: &controlmsg.QuotaGrant{}})
	for _, link := range h.links {
		if n := link.counters.Sent(uint8(controlmsg.Quotas)).Frames; n != 0 {
			t.Errorf("%d frames on quotas are passed on to %s", n, link.name)
		}
	}
}

// cutOff gives an agent with a proxy, whose core machine has not answered a request for so long that another way is due.
func cutOff(t *testing.T, drivers []directory.Driver) (h *history, proxy *sentOver, request *controlmsg.Frame) {
	h = newHistory(t, 0, io.Discard)
	h.a.drivers = drivers
	h.a.dialNextCore()
	h.a.coreUp(h.a.candidate, h.link("core"))
	h.a.proxyUp(h.link("proxy"))
	request = &controlmsg.Frame{QuotaRequest: &controlmsg.QuotaRequest{Incarnation: 1, Seq: 1,
		Tenants: []controlmsg.QuotaCount{{Tenant: "t", Operations: 1}}}}
	h.pass(1)
	h.a.sendQuotaRequest(request)
	h.pass(quotaAnswerTimeout + 1000) // real time runs on between two calls of pass, and is taken back by the next one
	return h, h.links[len(h.links)-1], request
}

// holdShares makes an agent a stand-by that was granted all of a tenant's quota.
func holdShares(t *testing.T, h *history) {
	h.a.settings.Contracts = []string{settings.ContractQuota}
	h.a.settings.QuotaWindow = 5 * time.Second
	h.a.config = []byte(`{"gen":1,"tenants":[{"name":"t","keys":["k"],"perS":100,"burst":100}]}`)
	h.a.configVersion = 1
	h.a.updateStandbyLimits(h.a.now())
	report := h.a.standby.limiter.NextReport(h.a.now())
	h.a.takeStandbyGrant(&controlmsg.QuotaGrant{Holder: h.a.self.Name, Standby: true, Incarnation: report.Incarnation,
		Seq: report.Seq, LeaseMs: quota.LeaseMs, Shares: []controlmsg.QuotaShare{{Tenant: "t", Share: 1, Tokens: 5}}})
	if !h.a.holdsShares() {
		t.Fatal("a grant is not applied")
	}
}

func TestAStandbyAnswersItsProxyWhileTheCoreIsSilent(t *testing.T) {
	h, proxy, request := cutOff(t, nil)
	holdShares(t, h)
	h.a.sendQuotaRequest(request)
	if n := proxy.counters.Sent(uint8(controlmsg.Quotas)).Frames; n != 1 {
		t.Errorf("the proxy was sent %d answers", n)
	}
	h.pass(1000)
	h.a.takeFromCore(h.a.core, &controlmsg.Frame{Update: &controlmsg.StateUpdate{}})
	h.a.sendQuotaRequest(request)
	if !h.a.quotaWay.byCore() {
		t.Error("requests don't return to a core machine that answers again")
	}
}

func TestAStandbyAnswersAgentsThatReachNoCoreMachine(t *testing.T) {
	h, _, request := cutOff(t, nil)
	holdShares(t, h)
	h.a.sendQuotaRequest(request) // its own core machine is silent, too
	from := h.link("front-9")
	sentBack := h.links[len(h.links)-1]
	relayed := &controlmsg.Frame{QuotaRequest: &controlmsg.QuotaRequest{Driver: "front-9", Seq: 1,
		Tenants: []controlmsg.QuotaCount{{Tenant: "t", Operations: 1}}}}
	h.a.takeRelayedRequest(from, relayed)
	if n := sentBack.counters.Sent(uint8(controlmsg.Quotas)).Frames; n != 1 {
		t.Errorf("another agent was sent %d answers", n)
	}
}

func TestRelayedRequestsGoByTheCoreAndBack(t *testing.T) {
	h := newHistory(t, 0, io.Discard)
	h.a.dialNextCore()
	h.a.coreUp(h.a.candidate, h.link("core"))
	core := h.links[len(h.links)-1]
	from := h.link("front-9")
	sentBack := h.links[len(h.links)-1]
	h.a.takeRelayedRequest(from, &controlmsg.Frame{QuotaRequest: &controlmsg.QuotaRequest{Driver: "front-9", Seq: 1}})
	h.a.takeQuotaAnswer(&controlmsg.Frame{QuotaAnswer: &controlmsg.QuotaAnswer{Driver: "front-9", Seq: 1}})
	if sent, back := core.counters.Sent(uint8(controlmsg.Quotas)).Frames,
		sentBack.counters.Sent(uint8(controlmsg.Quotas)).Frames; sent != 1 || back != 1 {
		t.Errorf("%d requests forwarded, %d answers sent back", sent, back)
	}
}

func TestStandbysAreTheFirstOfEachZone(t *testing.T) {
	h := newHistory(t, 0, io.Discard)
	own := h.a.self.Zone
	h.a.drivers = []directory.Driver{{Name: "a", Zone: "z1"}, {Name: "b", Zone: "z1"}, {Name: "c", Zone: own},
		{Name: "d", Zone: own}, {Name: "e", Zone: "z2"}}
	names := ""
	for _, driver := range h.a.standbys() {
		names += driver.Name
	}
	if names != "cae" {
		t.Errorf("%s", names)
	}
}

// QUOTA: an agent that was a stand-by gave out tokens by limits that a newer configuration had lowered.
func TestLowerLimitsBindAnAgentThatIsNoStandbyAnyMore(t *testing.T) {
	h, _, request := cutOff(t, nil)
	holdShares(t, h)
	h.a.drivers = []directory.Driver{{Name: "0", Zone: h.a.self.Zone}, h.a.self}
	h.a.config, h.a.configVersion = []byte(`{"gen":2,"tenants":[{"name":"t","keys":["k"],"perS":1,"burst":1}]}`), 2
	h.a.stepStandby()
	h.pass(2000)
	request.QuotaRequest.Tenants[0].Operations = 100
	if tokens := h.a.answerFromShares(request.QuotaRequest).QuotaAnswer.Tenants[0].Tokens; tokens > 2 {
		t.Errorf("%d tokens in 2 s, of a limit of 1 a second and 1", tokens)
	}
}

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

func TestQuotaRequestsCarryTheDriverAndAreForwarded(t *testing.T) {
	sim := newSimulation(t, 0, io.Discard)
	frame := &controlmsg.Frame{QuotaRequest: &controlmsg.QuotaRequest{Incarnation: 1, Seq: 1}}
	sim.agent.forwardToCore(frame) // dropped: there is no core machine yet
	sim.agent.dialNextCore()
	sim.agent.coreUp(sim.agent.candidate, sim.link("core"))
	core := sim.links[len(sim.links)-1]
	for want, isolated := range []bool{false, true} { // a machine without contact may still hold shares
		sim.agent.core.isolated = isolated
		sim.agent.forwardToCore(frame)
		sent := core.counters.Sent(uint8(controlmsg.Quotas)).Frames
		if sent != uint64(want+1) || frame.QuotaRequest.Driver != sim.agent.self.Name {
			t.Errorf("%d requests forwarded, of driver %q", sent, frame.QuotaRequest.Driver)
		}
	}
}

func TestQuotaAnswersGoToTheProxy(t *testing.T) {
	sim := newSimulation(t, 0, io.Discard)
	sim.agent.dialNextCore()
	sim.agent.coreUp(sim.agent.candidate, sim.link("core"))
	sim.agent.proxyUp(sim.link("proxy"))
	proxy := sim.links[len(sim.links)-1]
	sim.agent.handleCoreFrame(sim.agent.core, &controlmsg.Frame{QuotaAnswer: &controlmsg.QuotaAnswer{Driver: sim.agent.self.Name}})
	if answers := proxy.counters.Sent(uint8(controlmsg.Quotas)).Frames; answers != 1 {
		t.Errorf("the proxy was sent %d answers", answers)
	}
}

// A proxy can't send quota reports, and a grant is not passed on to it.
func TestQuotaReportsAndGrantsAreNotPassedOn(t *testing.T) {
	sim := newSimulation(t, 0, io.Discard)
	sim.agent.dialNextCore()
	sim.agent.coreUp(sim.agent.candidate, sim.link("core"))
	sim.agent.proxyUp(sim.link("proxy"))
	sim.agent.forwardToCore(&controlmsg.Frame{QuotaReport: &controlmsg.QuotaReport{}})
	sim.agent.handleCoreFrame(sim.agent.core, &controlmsg.Frame{QuotaGrant: &controlmsg.QuotaGrant{}})
	for _, link := range sim.links {
		if frames := link.counters.Sent(uint8(controlmsg.Quotas)).Frames; frames != 0 {
			t.Errorf("%d frames on quotas are passed on to %s", frames, link.name)
		}
	}
}

// newSimulationWithSilentCore returns an agent with a proxy, whose core machine has left a request unanswered for
// longer than quotaAnswerTimeout.
func newSimulationWithSilentCore(t *testing.T, drivers []directory.Driver) (sim *simulation, proxy *recordedLink, request *controlmsg.Frame) {
	sim = newSimulation(t, 0, io.Discard)
	sim.agent.drivers = drivers
	sim.agent.dialNextCore()
	sim.agent.coreUp(sim.agent.candidate, sim.link("core"))
	sim.agent.proxyUp(sim.link("proxy"))
	request = &controlmsg.Frame{QuotaRequest: &controlmsg.QuotaRequest{Incarnation: 1, Seq: 1,
		Tenants: []controlmsg.QuotaTokenRequest{{Tenant: "t", Operations: 1}}}}
	sim.advance(1)
	sim.agent.sendQuotaRequest(request)
	sim.advance(quotaAnswerTimeout + 1000) // with a margin for real time that passes between two calls of advance
	return sim, sim.links[len(sim.links)-1], request
}

// grantShares makes an agent a standby that was granted all of a tenant's quota.
func grantShares(t *testing.T, sim *simulation) {
	sim.agent.settings.Contracts = []string{settings.ContractQuota}
	sim.agent.settings.QuotaWindow = 5 * time.Second
	sim.agent.config = []byte(`{"gen":1,"tenants":[{"name":"t","keys":["k"],"perS":100,"burst":100}]}`)
	sim.agent.configVersion = 1
	sim.agent.updateStandbyLimits(sim.agent.now())
	report := sim.agent.standby.limiter.NextReport(sim.agent.now())
	sim.agent.applyStandbyGrant(&controlmsg.QuotaGrant{Holder: sim.agent.self.Name, Standby: true, Incarnation: report.Incarnation,
		Seq: report.Seq, LeaseMs: quota.LeaseMs, Shares: []controlmsg.QuotaShare{{Tenant: "t", Share: 1, Tokens: 5}}})
	if !sim.agent.holdsShares() {
		t.Fatal("the grant was not applied")
	}
}

func TestAStandbyAnswersItsProxyWhileTheCoreIsSilent(t *testing.T) {
	sim, proxy, request := newSimulationWithSilentCore(t, nil)
	grantShares(t, sim)
	sim.agent.sendQuotaRequest(request)
	if answers := proxy.counters.Sent(uint8(controlmsg.Quotas)).Frames; answers != 1 {
		t.Errorf("the proxy was sent %d answers", answers)
	}
	sim.advance(1000)
	sim.agent.handleCoreFrame(sim.agent.core, &controlmsg.Frame{Update: &controlmsg.StateUpdate{}})
	sim.agent.sendQuotaRequest(request)
	if !sim.agent.quotaRoute.viaCore() {
		t.Error("requests are not routed to a core machine that answers again")
	}
}

func TestAStandbyAnswersAgentsThatReachNoCoreMachine(t *testing.T) {
	sim, _, request := newSimulationWithSilentCore(t, nil)
	grantShares(t, sim)
	sim.agent.sendQuotaRequest(request) // its own core machine doesn't answer either
	from := sim.link("front-9")
	replyLink := sim.links[len(sim.links)-1]
	relayed := &controlmsg.Frame{QuotaRequest: &controlmsg.QuotaRequest{Driver: "front-9", Seq: 1,
		Tenants: []controlmsg.QuotaTokenRequest{{Tenant: "t", Operations: 1}}}}
	sim.agent.handleRelayedRequest(from, relayed)
	if answers := replyLink.counters.Sent(uint8(controlmsg.Quotas)).Frames; answers != 1 {
		t.Errorf("another agent was sent %d answers", answers)
	}
}

func TestRelayedRequestsAndTheirAnswersPassThroughTheAgent(t *testing.T) {
	sim := newSimulation(t, 0, io.Discard)
	sim.agent.dialNextCore()
	sim.agent.coreUp(sim.agent.candidate, sim.link("core"))
	core := sim.links[len(sim.links)-1]
	from := sim.link("front-9")
	replyLink := sim.links[len(sim.links)-1]
	sim.agent.handleRelayedRequest(from, &controlmsg.Frame{QuotaRequest: &controlmsg.QuotaRequest{Driver: "front-9", Seq: 1}})
	sim.agent.handleQuotaAnswer(&controlmsg.Frame{QuotaAnswer: &controlmsg.QuotaAnswer{Driver: "front-9", Seq: 1}})
	if forwarded, answers := core.counters.Sent(uint8(controlmsg.Quotas)).Frames,
		replyLink.counters.Sent(uint8(controlmsg.Quotas)).Frames; forwarded != 1 || answers != 1 {
		t.Errorf("%d requests forwarded, %d answers sent back", forwarded, answers)
	}
}

func TestStandbysAreTheFirstDriverOfEachZone(t *testing.T) {
	sim := newSimulation(t, 0, io.Discard)
	own := sim.agent.self.Zone
	sim.agent.drivers = []directory.Driver{{Name: "a", Zone: "z1"}, {Name: "b", Zone: "z1"}, {Name: "c", Zone: own},
		{Name: "d", Zone: own}, {Name: "e", Zone: "z2"}}
	names := ""
	for _, driver := range sim.agent.standbys() {
		names += driver.Name
	}
	if names != "cae" {
		t.Errorf("standbys in order: %s, want cae", names)
	}
}

// Guards against a former standby that keeps granting tokens by its old limits after a newer configuration has lowered
// them: its shares outlive the role until their lease ends.
func TestLoweredLimitsApplyToAFormerStandby(t *testing.T) {
	sim, _, request := newSimulationWithSilentCore(t, nil)
	grantShares(t, sim)
	sim.agent.drivers = []directory.Driver{{Name: "0", Zone: sim.agent.self.Zone}, sim.agent.self}
	sim.agent.config, sim.agent.configVersion = []byte(`{"gen":2,"tenants":[{"name":"t","keys":["k"],"perS":1,"burst":1}]}`), 2
	sim.agent.reportShares()
	sim.advance(2000)
	request.QuotaRequest.Tenants[0].Operations = 100
	if tokens := sim.agent.answerFromShares(request.QuotaRequest).QuotaAnswer.Tenants[0].Tokens; tokens > 2 {
		t.Errorf("%d tokens in 2 s with a limit of 1 per second and a burst of 1", tokens)
	}
}

package agent

import (
	"io"
	"testing"

	"weirwind/internal/controlplane/controlmsg"
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

package agent

import (
	"io"
	"testing"

	"weirwind/internal/controlplane/controlmsg"
)

func TestQuotaReportsAreNamedAndForwarded(t *testing.T) {
	h := newHistory(t, 0, io.Discard)
	frame := &controlmsg.Frame{QuotaReport: &controlmsg.QuotaReport{Incarnation: 1, Seq: 1}}
	h.a.forwardToCore(frame) // without a core machine
	h.a.dialNextCore()
	h.a.coreUp(h.a.candidate, h.link("core"))
	h.a.forwardToCore(frame)
	core := h.links[len(h.links)-1]
	if n := core.counters.Sent(uint8(controlmsg.Quotas)).Frames; n != 1 || frame.QuotaReport.Driver != h.a.self.Name {
		t.Errorf("%d reports forwarded, of driver %q", n, frame.QuotaReport.Driver)
	}
}

func TestQuotaGrantsGoToTheProxy(t *testing.T) {
	h := newHistory(t, 0, io.Discard)
	h.a.dialNextCore()
	h.a.coreUp(h.a.candidate, h.link("core"))
	h.a.proxyUp(h.link("proxy"))
	proxy := h.links[len(h.links)-1]
	h.a.takeFromCore(h.a.core, &controlmsg.Frame{QuotaGrant: &controlmsg.QuotaGrant{Driver: h.a.self.Name}})
	if n := proxy.counters.Sent(uint8(controlmsg.Quotas)).Frames; n != 1 {
		t.Errorf("the proxy was sent %d grants", n)
	}
}

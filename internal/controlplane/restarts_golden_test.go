package controlplane

import (
	"testing"
	"testing/synctest"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
)

// Members join one after another, so that their roster proposals fall into one interval. A member's heartbeat sequence
// restarts before and after the silence that starts a new incarnation. An agent renews for the first time at a machine
// without contact.
func TestMemberRestartTranscript(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		record := newTranscript()
		srv := startServer(t, "10.0.0.1:7000", []string{"10.0.0.1:7000"}, "", record)
		time.Sleep(3011 * time.Millisecond)
		agent := newFakePeer(t, srv, "agent", record)
		pause := func(d time.Duration) {
			time.Sleep(d)
			synctest.Wait()
		}
		renew := func(p *fakePeer, name string) {
			driver := directory.Driver{Name: name, Addr: "10.0.3.1:1"}
			p.send(t, &controlmsg.Frame{LeaseRenewal: &controlmsg.LeaseRenewal{Driver: driver}})
		}
		call(record, srv, "POST", "/config/replace", map[string]string{"Weirwind-Base-Version": "0"}, twoServices)
		renew(agent, "agent")
		for i, id := range []string{"m1", "m2", "m3", "m4"} {
			record.step("%s joins", id)
			sendHeartbeat(srv, id, "s", "10.0.1.1:"+id[1:], "replica", "ok", 100+i)
			pause(110 * time.Millisecond)
		}
		for _, silenceMs := range []time.Duration{1700, 1900, 5300, 5500} {
			silence := silenceMs * time.Millisecond
			sendHeartbeat(srv, "m1", "s", "10.0.1.1:1", "replica", "ok", 200)
			pause(silence)
			record.step("m1 counts anew after %v", silence)
			sendHeartbeat(srv, "m1", "s", "10.0.1.1:1", "primary", "ok", 1)
			pause(60 * time.Millisecond)
			sendHeartbeat(srv, "m1", "s", "10.0.1.1:1", "replica", "ok", 2)
			pause(60 * time.Millisecond)
		}
		record.step("no contact")
		srv.contact.set(srv.contact.at() - 5000)
		pause(60 * time.Millisecond)
		late := newFakePeer(t, srv, "late", record)
		renew(late, "late")
		renew(late, "late")
		pause(1100 * time.Millisecond)
		renew(late, "late")
		pause(6 * time.Second)
		renew(late, "late")
		pause(60 * time.Millisecond)
		compareGolden(t, "restarts.txt", record.String())
	})
}

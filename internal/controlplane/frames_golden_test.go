package controlplane

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
)

// The frames that a leader sends to two agents and another core machine, with their times and bytes: answers to
// renewals, members' records, added and removed drivers, configurations, shard maps, heartbeats that are passed on,
// digests, and updates when contact is lost and regained.
func TestFrameTranscript(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		record := newTranscript()
		record.sortLogs = true // leases that expire at the same time are in map order
		srv := startServer(t, "10.0.0.1:7000", []string{"10.0.0.1:7000"}, "", record)
		time.Sleep(3011 * time.Millisecond)
		agent, other, core := newFakePeer(t, srv, "agent", record), newFakePeer(t, srv, "other", record),
			newFakePeer(t, srv, "core", record)
		srv.cores.mu.Lock()
		srv.cores.byAddr["10.0.0.2:7100"] = &coreLink{dialled: core.link}
		srv.cores.mu.Unlock()
		pause := func(d time.Duration) {
			time.Sleep(d)
			synctest.Wait()
		}
		agentDriver := directory.Driver{Name: "agent", Addr: "10.0.3.1:1", Zone: "z1", Incarnation: 1}
		otherDriver := directory.Driver{Name: "other", Addr: "10.0.3.2:1", Zone: "z2", Incarnation: 2}
		thirdDriver := directory.Driver{Name: "third", Addr: "10.0.3.3:1", Incarnation: 9}
		renew := func(p *fakePeer, d directory.Driver, digest controlmsg.StateDigest) {
			p.send(t, &controlmsg.Frame{LeaseRenewal: &controlmsg.LeaseRenewal{Driver: d, Digest: digest}})
		}
		seq := 0
		sendHeartbeats := func(role, state string) {
			for _, id := range []string{"m1", "m2", "m3"} {
				seq++
				currentRole := "replica"
				if id == "m1" {
					currentRole = role
				}
				if code := sendHeartbeat(srv, id, "n1", "10.0.1."+id[1:]+":1", currentRole, state, seq); code != http.StatusOK {
					t.Fatalf("a heartbeat was answered %d", code)
				}
			}
		}
		step := func(what string, do func()) {
			record.step("%s", what)
			do()
			pause(230 * time.Millisecond)
		}
		step("hello", func() {
			agent.send(t, &controlmsg.Frame{Hello: &controlmsg.Hello{Kind: "agent", Name: "agent", Addr: "10.0.3.1:1"}})
		})
		step("first renewal", func() { renew(agent, agentDriver, controlmsg.StateDigest{}) })
		step("trial", func() {
			other.send(t, &controlmsg.Frame{LeaseRenewal: &controlmsg.LeaseRenewal{Driver: otherDriver, Tentative: true}})
		})
		step("members", func() { sendHeartbeats("primary", "ok") })
		step("heartbeats", func() { sendHeartbeats("primary", "ok") })
		step("role", func() { sendHeartbeats("replica", "ok") })
		step("renewals that differ", func() {
			renew(agent, agentDriver, controlmsg.StateDigest{})
			renew(agent, agentDriver, controlmsg.StateDigest{})
		})
		step("configuration", func() {
			call(record, srv, "POST", "/config/replace", map[string]string{"Weirwind-Base-Version": "0"}, twoServices)
		})
		step("shards", func() {
			call(record, srv, "POST", "/shards", nil, `{"kind":"found","shards":{"x":"n1"},"nodes":{"n1":{"zone":"z1"}}}`)
			call(record, srv, "POST", "/shards", nil, `{"kind":"pause"}`)
		})
		step("new driver with nothing", func() {
			renew(other, thirdDriver, controlmsg.StateDigest{})
		})
		step("records of another machine", func() {
			core.send(t, &controlmsg.Frame{Update: &controlmsg.StateUpdate{Members: []directory.Member{
				{ID: "m4", Service: "s", Addr: "10.0.1.4:1", Role: directory.RoleReplica, Incarnation: 1, Seq: 4, Leaving: true},
				{ID: "m2", Service: "s", Addr: "10.0.1.2:1", Role: directory.RoleReplica, Incarnation: 9, Seq: 1, Revision: 3}}}})
			core.send(t, &controlmsg.Frame{Heartbeats: []controlmsg.Heartbeat{
				{MemberID: "m4", Incarnation: 1, Seq: 5}, {MemberID: "none", Incarnation: 1, Seq: 5}}})
		})
		step("digests of another machine", func() {
			core.send(t, &controlmsg.Frame{Digest: &controlmsg.StateDigest{MembersHash: 5, NoReply: true}})
			far := controlmsg.DriverLease{Driver: directory.Driver{Name: "far", Incarnation: 3}, RemainingMs: 9000}
			core.send(t, &controlmsg.Frame{Digest: &controlmsg.StateDigest{MembersHash: 5},
				Leases: []controlmsg.DriverLease{far}})
		})
		step("reports", func() {
			agent.send(t, &controlmsg.Frame{PrimaryReport: &controlmsg.PrimaryReport{
				Service: "s", MemberID: "m4", UnresponsiveMs: 3, Driver: "agent"}})
		})
		request := func(r controlmsg.Request) { core.send(t, &controlmsg.Frame{Request: &r}) }
		step("requests of another machine", func() {
			request(controlmsg.Request{Number: 77, ReadConfig: true, Origin: "core2"})
			request(controlmsg.Request{Number: 78, BaseVersion: 0, Body: []byte(twoServices), Origin: "core2"})
			request(controlmsg.Request{Number: 79, BaseVersion: 0, Body: []byte("{"), Origin: "core2"})
			core.send(t, &controlmsg.Frame{Response: &controlmsg.Response{Number: 80, Status: 200}})
		})
		step("draining", func() { sendHeartbeats("primary", "draining") })
		for range 8 {
			step("draining on", func() {
				sendHeartbeats("primary", "draining")
				renew(agent, agentDriver, controlmsg.StateDigest{ConfigVersion: 1, ShardMapVersion: 2})
			})
			pause(270 * time.Millisecond)
		}
		step("back", func() { sendHeartbeats("replica", "ok") })
		step("leave", func() { call(record, srv, "POST", "/members/m3/leave", nil, "") })
		step("another at its address", func() {
			pause(2 * time.Second)
			sendHeartbeat(srv, "m9", "n1", "10.0.1.2:1", "replica", "ok", 1)
		})
		step("lease given back", func() {
			for _, d := range []directory.Driver{otherDriver, thirdDriver} {
				other.send(t, &controlmsg.Frame{LeaseRenewal: &controlmsg.LeaseRenewal{Driver: d, Release: true}})
			}
		})
		step("contact lost", func() {
			contact := srv.contact.at()
			srv.contact.set(contact - 5000)
			pause(60 * time.Millisecond)
			other.send(t, &controlmsg.Frame{LeaseRenewal: &controlmsg.LeaseRenewal{Driver: otherDriver, Tentative: true}})
			renew(other, otherDriver, controlmsg.StateDigest{ConfigVersion: 1})
		})
		step("link lost", func() { other.conn.Close(); pause(time.Second) })
		step("sites", func() {
			call(record, srv, "POST", "/sites/one/renew", nil, siteRenewal)
			pause(3 * time.Second)
			call(record, srv, "GET", "/sites", nil, "")
		})
		step("all silent", func() { pause(70 * time.Second) })
		call(record, srv, "GET", "/status", nil, "")
		compareGolden(t, "frames.txt", record.String())
	})
}

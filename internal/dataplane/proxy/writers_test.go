package proxy

import (
	"fmt"
	"math"
	"net"
	"strings"
	"testing"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/member/wire"
	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
)

// assign makes a member the one that may be written to, and renews the proxy's lease.
func (x *transcript) assign(member string) {
	x.seq++
	x.do(func() {
		w, now := x.proxy.writers, x.proxy.now()
		w.handleGrant(&controlmsg.WriterLeaseGrant{Proxy: w.holder.Request(now).Proxy, Stamp: now, DurationMs: 3000,
			Assignments: []controlmsg.WriterAssignment{{Service: "s", Term: 1, Number: x.seq, Member: member}}})
		x.proxy.router.assignmentsChanged()
	})
}

// lastAnswer returns the answer to the client's last message.
func (x *transcript) lastAnswer() string { return x.clientLines[len(x.clientLines)-1] }

// checkAnswer fails the test unless the last answer contains a text.
func (x *transcript) checkAnswer(want string) {
	x.t.Helper()
	if got := x.lastAnswer(); !strings.Contains(got, want) {
		x.t.Errorf("%q, want %q", got, want)
	}
}

// Guards against a proxy that passes on an acknowledgement after it has confirmed that it writes to another member.
func TestAcknowledgementOfReplacedPrimaryIsUnknown(t *testing.T) {
	runTranscript(t, "db", func(x *transcript) {
		x.assign("a")
		x.query("STORE x 1")
		x.checkAnswer("DONE a.q1")
		time.AfterFunc(memberDelay/2, func() { x.assign("") })
		x.query("STORE x 2")
		x.checkAnswer("FAIL UNKNOWN")
		x.assign("a")
		x.query("BEGIN")
		x.query("STORE x 3")
		time.AfterFunc(memberDelay/2, func() { x.assign("b") })
		x.query("COMMIT")
		x.checkAnswer("FAIL UNKNOWN")
	})
}

// Guards against a commit that is sent to a member that may no longer be written to.
func TestCommitIsNotSentToReplacedPrimary(t *testing.T) {
	transcript := runTranscript(t, "db", func(x *transcript) {
		x.assign("a")
		x.query("BEGIN")
		x.query("STORE x 1")
		x.assign("")
		x.query("COMMIT")
		x.checkAnswer("FAIL ABORTED its primary is being replaced")
	})
	if strings.Contains(transcript, "q3 COMMIT |") || strings.Contains(transcript, "a QUERY q3 COMMIT") {
		t.Errorf("the member was sent the COMMIT: %s", transcript)
	}
}

// Guards against a member that becomes the writer on its own word: one that is back under another ID, or was never
// assigned.
func TestWritesWaitForAssignment(t *testing.T) {
	runTranscript(t, "db", func(x *transcript) {
		x.assign("a")
		x.setRole("b", directory.RolePrimary)
		x.query("STORE x 1")
		x.checkAnswer("FAIL RETRY")
		const assignedAfter = 300 * time.Millisecond
		began := time.Now()
		time.AfterFunc(assignedAfter, func() { x.assign("b") })
		x.query("STORE x 2")
		x.checkAnswer("DONE b.q2")
		if waited := time.Since(began); waited < assignedAfter {
			t.Errorf("sent after %v", waited)
		}
		x.query("FETCH x")
		x.checkAnswer("DONE")
	})
}

// replicaServer is a replica on a socket that answers its status alone.
type replicaServer struct {
	member directory.Member
	status string // the row of its status
}

func newReplicaServer(t *testing.T, id, status string) *replicaServer {
	t.Helper()
	r := &replicaServer{status: status}
	r.member = directory.Member{ID: id, Service: "s", Addr: serveConns(t, r.serve), Role: directory.RoleReplica,
		Incarnation: 1, Seq: 1}
	return r
}

func (r *replicaServer) serve(conn net.Conn) {
	defer conn.Close()
	messages := wire.NewReader(conn)
	answer := "READY I -\r\n"
	for {
		if _, err := messages.ReadMessage(); err != nil {
			return
		}
		fmt.Fprint(conn, answer)
		answer = "ROW " + r.status + "\r\nDONE -\r\nREADY I -\r\n"
	}
}

// Guards against a proxy without a lease that passes on commits of a primary that is being replaced: one that no replica
// has, one whose replicas are paused, and one on a replica that started after the lease.
func TestProxyWithoutLeaseHasCommitsConfirmed(t *testing.T) {
	commit := wire.Position{Term: 2, Number: 9}
	const started = "a replica that is new"
	for _, c := range []struct {
		what, status string
		want         bool
	}{
		{"a replica that has the commit", "replica 2 2.9 0 0 0 0", true},
		{"a replica that lacks it", "replica 2 2.8 0 0 0 0", false},
		{"a paused replica", "replica 2 2.9 3 0 0 0", false},
		{started, "replica 2 2.9 0 0 0 0", false},
	} {
		t.Run(c.what, func(t *testing.T) {
			p := newProxy(t.Context(), &settings.Settings{Zone: "z", MemoryMB: 8}, events.Discard())
			go p.router.run()
			p.startedAt = time.Now().Add(-time.Minute)
			replica := newReplicaServer(t, "b", c.status)
			var group *memberGroup
			done := make(chan struct{})
			p.router.do(func() {
				p.router.update(&controlmsg.StateUpdate{ConfigVersion: 3, Config: []byte(transcriptConfig),
					Members: []directory.Member{replica.member}})
				group = p.router.group("s")
				if c.what != started {
					group.routing.Members["b"].KnownSince = math.Inf(-1)
				}
				now := p.now()
				p.writers.handleGrant(&controlmsg.WriterLeaseGrant{Proxy: p.writers.holder.Request(now).Proxy, Stamp: now,
					DurationMs: 1})
				close(done)
			})
			<-done
			if got := group.confirmer.confirm("a", commit, time.Now().Add(300*time.Millisecond)); got != c.want {
				t.Errorf("confirmed: %v", got)
			}
		})
	}
}

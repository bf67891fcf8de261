package proxy

import (
	"context"
	"net"
	"strings"
	"testing"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/member/memberconn"
	"weirwind/internal/member/wire"
	"weirwind/internal/shard/shardmap"
	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
)

// BenchmarkStatements measures the path of a statement, including client and member. Its allocations are the same in
// each run and must not grow.
func BenchmarkStatements(b *testing.B) {
	for _, c := range []struct {
		name, host string
		texts      []string
	}{
		{"verified read", "db", []string{"FETCH x"}},
		{"stale read", "old", []string{"FETCH x"}},
		{"write", "db", []string{"STORE x 1"}},
		{"write at a shard", "part", []string{"STORE x 1"}},
		{"transaction", "db", []string{"BEGIN", "STORE x 1", "COMMIT"}},
	} {
		b.Run(c.name, func(b *testing.B) {
			client := attachBenchClient(b, c.host)
			replies := wire.NewReader(client)
			b.ReportAllocs()
			for b.Loop() {
				for _, text := range c.texts {
					if _, err := client.Write([]byte("QUERY q1 " + text + "\r\n")); err != nil {
						b.Fatal(err)
					}
					awaitReady(b, replies)
				}
			}
		})
	}
}

// attachBenchClient starts a proxy with three idle connections to a primary, and attaches a client to it.
func attachBenchClient(b *testing.B, host string) net.Conn {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	p := newProxy(ctx, &settings.Settings{Zone: "z", MemoryMB: 8}, events.Discard())
	go p.router.run()
	done := make(chan struct{})
	p.router.do(func() {
		defer close(done)
		p.router.update(&controlmsg.StateUpdate{ConfigVersion: 3, Config: []byte(transcriptConfig), DriverCount: 2,
			WriterLeases: controlmsg.LeaseSupportOff,
			ShardMap:     &shardmap.Map{Version: 5, Shards: map[string]shardmap.Assignment{"sh": {Node: "s", Epoch: 8}}},
			Members: []directory.Member{{ID: "a", Service: "s", Zone: "z", Role: directory.RolePrimary, Incarnation: 1,
				Seq: 1}}})
		g := p.router.group("s")
		for range 3 {
			proxyEnd, memberEnd := net.Pipe()
			b.Cleanup(func() { memberEnd.Close() })
			go serveBenchMember(memberEnd)
			g.pool("a").open++
			conn := &memberConn{Conn: &memberconn.Conn{NetConn: proxyEnd, Reader: wire.NewReader(proxyEnd)}}
			p.router.poolOrClose(g, g.routing.Members["a"], conn)
		}
	})
	<-done
	clientEnd, proxyEnd := net.Pipe()
	go p.serve(proxyEnd)
	b.Cleanup(func() { clientEnd.Close(); cancel() })
	if _, err := clientEnd.Write([]byte("ATTACH " + host + " who\r\n")); err != nil {
		b.Fatal(err)
	}
	awaitReady(b, wire.NewReader(clientEnd))
	return clientEnd
}

func awaitReady(b *testing.B, replies *wire.Reader) {
	b.Helper()
	for {
		line, err := replies.ReadMessage()
		if err != nil || strings.HasPrefix(line, wire.MsgFail) {
			b.Fatal(line, err)
		}
		if strings.HasPrefix(line, wire.MsgReady) {
			return
		}
	}
}

// serveBenchMember answers as a primary for which every statement succeeds.
func serveBenchMember(c net.Conn) {
	queries, state := wire.NewReader(c), wire.StateIdle
	for {
		line, err := queries.ReadMessage()
		if err != nil {
			return
		}
		_, rest := wire.CutField(line)
		id, text := wire.CutField(rest)
		stamp := "a." + id
		switch {
		case strings.HasSuffix(text, "BEGIN"):
			state, stamp = wire.StateInTransaction, wire.NoStamp
		case text == "COMMIT", text == "ABORT":
			state = wire.StateIdle
		}
		if id == wire.NoStamp {
			stamp = wire.NoStamp
		}
		if _, err := c.Write([]byte("ROW x\r\nDONE " + stamp + "\r\nREADY " + state + " 1.4\r\n")); err != nil {
			return
		}
	}
}

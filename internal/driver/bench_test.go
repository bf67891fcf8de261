package driver

// BenchmarkOp measures an op through the whole service on loopback, without and with saved state:
// go test -run '^$' -bench Op -benchtime 20000x -count 5 ./internal/driver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"weirwind/internal/ledger"
	"weirwind/internal/operator"
	"weirwind/internal/pgwire"
)

// echoMember starts a member that answers every query with the same row, and returns its address.
func echoMember(b *testing.B) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { ln.Close() })
	answer := append(slices.Clone(rowDescription), frame('D', []byte("\x00\x01\x00\x00\x00\x01v"))...)
	answer = append(answer, frame('C', []byte("SELECT 1\x00"))...)
	answer = pgwire.AppendReadyForQuery(append(answer, frame('S', []byte("server_role\x00writer\x00"))...))
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				pgwire.ReadStartup(reader)
				conn.Write(pgwire.AppendStartupResponse(nil, 0))
				var buf []byte
				for {
					if _, buf, err = pgwire.Read(reader, buf[:0]); err != nil {
						return
					}
					conn.Write(answer)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func BenchmarkOp(b *testing.B) {
	for _, saveState := range []bool{false, true} {
		b.Run(map[bool]string{false: "no-state", true: "state"}[saveState], func(b *testing.B) {
			memberAddress := echoMember(b)
			discovery, err := net.Listen("tcp", "127.0.0.1:0") // a discovery that never responds
			if err != nil {
				b.Fatal(err)
			}
			defer discovery.Close()
			operators := operator.Default()
			if saveState {
				operators.State = &operator.State{Folder: b.TempDir(), SaveInterval: time.Second, LimitMB: 16}
			}
			service, err := New(fmt.Appendf(nil,
				`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1","limits":{"cores":8,"memory_mb":192,"sockets":1024},`+
					`"known":{"revision":1,"complete":true,"members":[{"id":"m","host_port":%q,"cell":3,"phase":"up","access":"writer"}]},`+
					`"settings":{"tick":5000,"family_info":{"needs_by_class":["eventual"],"shows_role":"static"},"policy_limits":{"send_cap":4,`+
					`"connect_timeout":1000000,"conn_idle":60000000},"profiles":[{"name":"read","aim":300000,"deadline":1e6,"effect":"repeatable","points":1}]}}`,
				discovery.Addr().String(), memberAddress), operators)
			if err != nil {
				b.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			runDone := make(chan error)
			go func() { runDone <- service.Run(ctx, io.Discard) }()
			conn, err := net.Dial("tcp", service.listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			r := bufio.NewReader(conn)
			waitReady := func() {
				for {
					kind, _, err := pgwire.Read(r, nil)
					if err != nil || kind == 'E' {
						b.Fatal(err, string(kind))
					}
					if kind == 'Z' {
						return
					}
				}
			}
			conn.Write(pgwire.AppendStartupMessage(nil, "svc", "main"))
			waitReady()
			latencies := make([]time.Duration, 0, b.N)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				query := pgwire.AppendQuery(nil, fmt.Sprintf(
					"SELECT v FROM records WHERE k = 'ab' /* id=%016x,c=read,d=900,cluster=3 */", i))
				beganAt := time.Now()
				conn.Write(query)
				waitReady()
				latencies = append(latencies, time.Since(beganAt))
			}
			b.StopTimer()
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Nanoseconds()), "p99-ns")
			b.ReportMetric(float64(latencies[len(latencies)/2].Nanoseconds()), "p50-ns")
			conn.Close()
			cancel()
			<-runDone
		})
	}
}

// BenchmarkLedger measures writing a key's records to disk, for one op at a time and for concurrent ops, which share
// writes and syncs.
func BenchmarkLedger(b *testing.B) {
	for _, concurrency := range []int{1, 16, 128} {
		b.Run(strconv.Itoa(concurrency), func(b *testing.B) {
			s := &Service{decider: &decider{clock: newClock(time.Now)}, log: slog.New(slog.DiscardHandler)}
			if err := s.openLedger(operator.Ledger{Folder: b.TempDir(), Retention: time.Hour, MaxKeys: 1 << 20, LimitMB: 4096},
				nil); err != nil {
				b.Fatal(err)
			}
			defer s.ledger.close()
			var lastKey atomic.Int64
			var workers sync.WaitGroup
			b.ResetTimer()
			for range concurrency {
				workers.Go(func() {
					for {
						n := lastKey.Add(1)
						if n > int64(b.N) {
							return
						}
						key := strconv.FormatInt(n, 10)
						verdict, _, written := s.ledger.begin(key, 1)
						if verdict != ledger.Execute {
							b.Error(verdict)
							return
						}
						if err := <-written; err != nil {
							b.Error(err)
							return
						}
						s.ledger.finish(key, ledger.StateAcked, []byte("rows"))
					}
				})
			}
			workers.Wait()
		})
	}
}

package registry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"weirwind/internal/roster"
	"weirwind/internal/standin/kv"
)

// 10,000 members change within one second, and the final lists must be equal.
func TestTenThousandMembers(t *testing.T) {
	s := kv.NewStore("c1")
	var pairs []any
	for i := range 10000 {
		pairs = append(pairs, fmt.Sprintf("%sm%05d", prefix, i), entry(i%60000+1, "up"))
	}
	s.Put(pairs...)
	server := serve(t, s)
	r := follow(t, "etcd", roster.Options{}, server)
	count := func(p roster.Phase) (n int) {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, e := range r.roster.Members() {
			if e.Phase == p {
				n++
			}
		}
		return n
	}
	waitForCount := func(want int, p roster.Phase) time.Duration {
		startedAt := time.Now()
		for count(p) != want {
			if time.Since(startedAt) > testTimeout {
				t.Fatalf("%d members in phase %d, want %d", count(p), p, want)
			}
			time.Sleep(5 * time.Millisecond)
		}
		return time.Since(startedAt)
	}
	t.Logf("10,000 members read in %v", waitForCount(10000, roster.PhaseUp))
	for i := 0; i < 10000; i += 100 {
		var batch []any
		for j := i; j < i+100; j++ {
			batch = append(batch, pairs[2*j], entry(j%60000+1, "draining"))
		}
		s.Put(batch...)
	}
	t.Logf("10,000 drains in 100 revisions learned in %v", waitForCount(10000, roster.PhaseDraining))
}

// BenchmarkRead measures a full read of 10,000 members into a roster:
//
//	go test -run '^$' -bench Read ./internal/registry
func BenchmarkRead(b *testing.B) {
	for _, dialect := range []string{"etcd", "consul"} {
		b.Run(dialect, func(b *testing.B) {
			s := kv.NewStore("c1")
			var pairs []any
			for i := range 10000 {
				pairs = append(pairs, fmt.Sprintf("%sm%05d", prefix, i), entry(i%60000+1, "up"))
			}
			s.Put(pairs...)
			server := kv.Serve(s)
			defer server.Close()
			c, err := New(Options{Dialect: dialect, Prefix: prefix, Endpoints: []string{server.URL}, WatchTimeout: time.Second})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				r := roster.New(roster.Options{Preferred: roster.SourceRegistry})
				err := c.List(context.Background(), 0, true, func(u roster.Update) { r.Apply(now(), u) })
				if err != nil || len(r.Members()) != 10000 {
					b.Fatal(err, len(r.Members()))
				}
			}
		})
	}
}

package registry

import (
	"context"
	"flag"
	"sync"
	"testing"
	"time"

	"weirwind/internal/roster"
	"weirwind/internal/standin/kv"
)

var clients = flag.Int("clients", 60, "drivers at one registry in TestStormAfterRestart")

// A registry that all drivers follow is away for a second and has lost its history when it is back: how many whole lists
// it gives a second at the peak, and how long until all are current; beside clients that ask for the whole list again
// and again without a pause.
func TestStormAfterRestart(t *testing.T) {
	type result struct {
		peak  int
		reads int64
		until time.Duration
	}
	play := func(naive bool) result {
		s := kv.NewStore("c1")
		var pairs []any
		for i := range 200 {
			pairs = append(pairs, prefix+string(rune('a'+i%26))+string(rune('a'+i/26)), entry(i+1, "up"))
		}
		s.Put(pairs...)
		v := kv.Serve(s)
		defer v.Close()
		defer v.Cut()
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		var all sync.WaitGroup
		defer all.Wait()
		defer stop()
		current := make(chan struct{}, *clients)
		for n := range *clients {
			c, err := New(Options{Dialect: "etcd", Prefix: prefix, Endpoints: []string{v.URL}, Silence: 10 * time.Second})
			if err != nil {
				t.Fatal(err)
			}
			var mu sync.Mutex
			r, seen := roster.New(roster.Rules{Lead: roster.Registry}), 0
			told := func(u roster.Update) (roster.Verdict, float64) {
				mu.Lock()
				defer mu.Unlock()
				out := r.Told(now(), u)
				if _, revision, ok := r.Revision(roster.Registry); ok && out.Verdict == roster.Applied {
					if seen == 0 && revision >= 2 || seen == 1 && len(r.List()) == 201 {
						seen++
						current <- struct{}{}
					}
				}
				return out.Verdict, 0
			}
			course := roster.NewCourse(roster.CourseRules{Endpoints: 1, Fellows: *clients, Seed: uint64(n)})
			w := Watcher{Client: c, Course: course, Told: told, Lost: func(error) { mu.Lock(); r.Broke(roster.Registry); mu.Unlock() },
				Alive: func() {}, Now: now, Position: func() (int64, bool) {
					mu.Lock()
					defer mu.Unlock()
					_, revision, ok := r.Revision(roster.Registry)
					return revision, ok
				}}
			all.Go(func() {
				if !naive {
					w.Run(ctx)
					return
				}
				for ctx.Err() == nil {
					if c.Read(ctx, 0, true, func(u roster.Update) { told(u) }) == nil {
						_, revision, _ := r.Revision(roster.Registry)
						c.Follow(ctx, 0, revision+1, func() {}, func(u roster.Update) { told(u) })
					}
				}
			})
		}
		for range *clients {
			<-current
		}
		v.Down.Store(true)
		v.Cut()
		time.Sleep(time.Second)
		s.Put(prefix+"new", entry(9, "up"))
		s.Compact(s.Revision())
		s.Put("elsewhere", "x")
		v.Cut()
		v.Down.Store(false)
		before, began := v.Reads.Load(), time.Now()
		var seconds []int64
		sampling := make(chan struct{})
		all.Go(func() {
			defer close(sampling)
			for last := before; ctx.Err() == nil; {
				sleep(ctx, 100)
				n := v.Reads.Load()
				seconds = append(seconds, n-last)
				last = n
			}
		})
		for range *clients {
			select {
			case <-current:
			case <-time.After(2 * time.Minute):
				t.Fatal("not all came back")
			}
		}
		until, reads := time.Since(began), v.Reads.Load()-before
		sleep(ctx, 200)
		stop()
		<-sampling
		peak := 0
		for i := range seconds {
			sum := 0
			for _, n := range seconds[i:min(i+10, len(seconds))] {
				sum += int(n)
			}
			peak = max(peak, sum)
		}
		return result{peak, reads, until}
	}
	ours, naive := play(false), play(true)
	t.Logf("%d clients behind a restart that lost history: ours %d whole lists a second at the peak, %d in all, all current after %v; naive %d, %d, %v",
		*clients, ours.peak, ours.reads, ours.until.Round(time.Millisecond), naive.peak, naive.reads, naive.until.Round(time.Millisecond))
	if ours.reads > int64(2**clients) {
		t.Errorf("%d whole lists for %d clients", ours.reads, *clients)
	}
}

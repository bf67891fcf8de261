package lab

// This file owns the storm: many clients at one registry that was away and has lost its history. It must never
// help a client that the courses would not help.

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"weirwind/internal/registry"
	"weirwind/internal/roster"
	"weirwind/internal/standin/kv"
)

// Storm is what is to be seen: a registry's restart under clients that follow it.
type Storm struct {
	Clients  int
	Members  int
	Downtime time.Duration
	Naive    bool // clients that ask for the whole list again and again without a pause, instead of a course
	Timeout  time.Duration
}

// StormResult is what the registry had to bear.
type StormResult struct {
	Peak  int           // whole lists given in the second that had the most
	Reads int           // in all, until all were current
	Until time.Duration // all were current, from when the registry was back
}

const stormPrefix = "weirwind/members/"

// stormClient is one that follows, and says when it has caught up: first with the list, then with what came behind the
// restart.
type stormClient struct {
	client  registry.Client
	current chan<- struct{}
	members int

	mu     sync.Mutex
	roster *roster.Roster
	stage  int
}

func stormNow() float64 { return float64(time.Now().UnixMicro()) / 1000 }

func (x *stormClient) apply(u roster.Update) (roster.Verdict, float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := x.roster.Apply(stormNow(), u)
	if n := len(x.roster.Members()); out.Verdict == roster.VerdictApplied &&
		(x.stage == 0 && n == x.members || x.stage == 1 && n == x.members+1) {
		x.stage++
		x.current <- struct{}{}
	}
	return out.Verdict, 0
}

func (x *stormClient) position() (int64, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	_, revision, told := x.roster.Revision(roster.SourceRegistry)
	return revision, told
}

func (x *stormClient) run(ctx context.Context, s Storm, n int) {
	if !s.Naive {
		w := registry.Watcher{Client: x.client, Apply: x.apply, Position: x.position, Now: stormNow, OnActivity: func() {},
			Scheduler: roster.NewScheduler(roster.SchedulerOptions{Endpoints: 1, Drivers: s.Clients, Seed: uint64(n)}),
			OnDisconnect: func(error) {
				x.mu.Lock()
				x.roster.SetDisconnected(roster.SourceRegistry)
				x.mu.Unlock()
			}}
		w.Run(ctx)
		return
	}
	tell := func(u roster.Update) { x.apply(u) }
	for ctx.Err() == nil {
		if x.client.List(ctx, 0, true, tell) == nil {
			revision, _ := x.position()
			_ = x.client.Watch(ctx, 0, revision+1, func() {}, tell) // naive: it reads all anew, whatever ended it
		}
	}
}

// Run plays the storm on loopback. An error: not all clients were current in time.
func (s Storm) Run() (r StormResult, err error) {
	store := s.newStore()
	server := kv.Serve(store)
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	defer func() {
		stop()
		all.Wait()
		server.CloseConnections()
		server.Close()
	}()
	current := make(chan struct{}, 2*s.Clients)
	for n := range s.Clients {
		c, err := registry.New(
			registry.Options{Dialect: "etcd", Prefix: stormPrefix, Endpoints: []string{server.URL}, WatchTimeout: 10 * time.Second},
		)
		if err != nil {
			return r, err
		}
		x := &stormClient{
			client:  c,
			current: current,
			members: s.Members,
			roster:  roster.New(roster.Options{Preferred: roster.SourceRegistry}),
		}
		all.Go(func() { x.run(ctx, s, n) })
	}
	if err := s.await(current); err != nil {
		return r, err
	}
	server.Down.Store(true)
	server.CloseConnections()
	time.Sleep(s.Downtime)
	store.Put(stormPrefix+"new", `{"host_port":"127.0.0.1:1","cell":1,"phase":"up"}`)
	store.Compact(store.Revision())
	store.Put("elsewhere", "x") // so that what is compacted lies behind the newest revision
	server.CloseConnections()
	before, began := server.FullReads.Load(), time.Now()
	server.Down.Store(false)
	sampled, ended := make(chan []int64, 1), make(chan struct{})
	go func() { sampled <- sampleReads(server, before, ended) }()
	err = s.await(current)
	r.Until, r.Reads = time.Since(began), int(server.FullReads.Load()-before)
	close(ended)
	r.Peak = peakReads(<-sampled)
	return r, err
}

// newStore is the registry's content: a list of members.
func (s Storm) newStore() *kv.Store {
	store := kv.NewStore("c1")
	var pairs []any
	for i := range s.Members {
		pairs = append(pairs, fmt.Sprintf("%sm%05d", stormPrefix, i),
			fmt.Sprintf(`{"host_port":"127.0.0.1:%d","cell":1,"phase":"up"}`, i%60000+1))
	}
	store.Put(pairs...)
	return store
}

// await waits until each client has said that it is current.
func (s Storm) await(current <-chan struct{}) error {
	limit := time.After(s.Timeout)
	for range s.Clients {
		select {
		case <-current:
		case <-limit:
			return errors.New("not all clients were current in time")
		}
	}
	return nil
}

// sampleReads counts whole reads by tenths of a second until ended is closed.
func sampleReads(server *kv.Server, before int64, ended <-chan struct{}) (tenths []int64) {
	for last := before; ; {
		select {
		case <-ended:
			return append(tenths, server.FullReads.Load()-last)
		case <-time.After(100 * time.Millisecond):
			n := server.FullReads.Load()
			tenths, last = append(tenths, n-last), n
		}
	}
}

// peakReads is the most of them within a second.
func peakReads(tenths []int64) (peak int) {
	for i := range tenths {
		sum := 0
		for _, n := range tenths[i:min(i+10, len(tenths))] {
			sum += int(n)
		}
		peak = max(peak, sum)
	}
	return peak
}

package lab

// This file owns the measurement of a thundering herd: many clients reconnect to a registry that was down and has lost
// its history.

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

// RegistryRestart describes a restart of a registry that many clients watch.
type RegistryRestart struct {
	Clients  int
	Members  int           // number of members that the registry lists
	Downtime time.Duration // time for which the registry is down
	Naive    bool          // clients re-read the complete list without backoff instead of using a Watcher
	Timeout  time.Duration // time limit for all clients to become current
}

// RegistryRestartResult is the load on the registry after its restart.
type RegistryRestartResult struct {
	PeakReads   int           // maximum number of reads of the complete list within one second
	Reads       int           // reads of the complete list until all clients were current
	CatchUpTime time.Duration // time from the registry's restart until all clients were current
}

const membersPrefix = "weirwind/members/"

// registryClient watches the registry and signals when it is current: first with the initial list, then with the change
// that was made during the restart.
type registryClient struct {
	client  registry.Client
	current chan<- struct{}
	members int

	mu     sync.Mutex
	roster *roster.Roster
	stage  int
}

// nowMillis returns the current time in Unix milliseconds.
func nowMillis() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// apply applies an update and signals when the client has become current.
func (c *registryClient) apply(update roster.Update) (roster.Verdict, float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.roster.Apply(nowMillis(), update)
	if n := len(c.roster.Members()); out.Verdict == roster.VerdictApplied &&
		(c.stage == 0 && n == c.members || c.stage == 1 && n == c.members+1) {
		c.stage++
		c.current <- struct{}{}
	}
	return out.Verdict, 0
}

// position returns the revision that the client has; known is false if it has none.
func (c *registryClient) position() (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, revision, known := c.roster.Revision(roster.SourceRegistry)
	return revision, known
}

// run watches the registry until the context ends.
func (c *registryClient) run(ctx context.Context, options RegistryRestart, n int) {
	if !options.Naive {
		w := registry.Watcher{Client: c.client, Apply: c.apply, Position: c.position, Now: nowMillis, OnActivity: func() {},
			Scheduler: roster.NewScheduler(roster.SchedulerOptions{Endpoints: 1, Drivers: options.Clients, Seed: uint64(n)}),
			OnDisconnect: func(error) {
				c.mu.Lock()
				c.roster.SetDisconnected(roster.SourceRegistry)
				c.mu.Unlock()
			}}
		w.Run(ctx)
		return
	}
	apply := func(update roster.Update) { c.apply(update) }
	for ctx.Err() == nil {
		if c.client.List(ctx, 0, true, apply) == nil {
			revision, _ := c.position()
			_ = c.client.Watch(ctx, 0, revision+1, func() {}, apply) // a naive client re-reads everything after any error
		}
	}
}

// Run restarts a registry on loopback. It returns an error if not all clients are current within the timeout.
func (s RegistryRestart) Run() (r RegistryRestartResult, err error) {
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
		c, err := s.newClient(server.URL, current)
		if err != nil {
			return r, err
		}
		all.Go(func() { c.run(ctx, s, n) })
	}
	if err := s.await(current); err != nil {
		return r, err
	}
	server.Down.Store(true)
	server.CloseConnections()
	time.Sleep(s.Downtime)
	store.Put(membersPrefix+"new", `{"host_port":"127.0.0.1:1","cell":1,"phase":"up"}`)
	store.Compact(store.Revision())
	store.Put("elsewhere", "x") // so that the compacted revision is older than the newest one
	server.CloseConnections()
	before, began := server.FullReads.Load(), time.Now()
	server.Down.Store(false)
	sampledReads, ended := make(chan []int64, 1), make(chan struct{})
	go func() { sampledReads <- sampleReads(server, before, ended) }()
	err = s.await(current)
	r.CatchUpTime, r.Reads = time.Since(began), int(server.FullReads.Load()-before)
	close(ended)
	r.PeakReads = peakReads(<-sampledReads)
	return r, err
}

// newClient returns a client of the registry at an address, which signals to current.
func (s RegistryRestart) newClient(url string, current chan<- struct{}) (*registryClient, error) {
	client, err := registry.New(registry.Options{
		Dialect:      "etcd",
		Prefix:       membersPrefix,
		Endpoints:    []string{url},
		WatchTimeout: 10 * time.Second,
	})
	if err != nil {
		return nil, err
	}
	return &registryClient{
		client:  client,
		current: current,
		members: s.Members,
		roster:  roster.New(roster.Options{Preferred: roster.SourceRegistry}),
	}, nil
}

// newStore returns a registry's store with a list of members.
func (s RegistryRestart) newStore() *kv.Store {
	store := kv.NewStore("c1")
	var pairs []any
	for i := range s.Members {
		pairs = append(pairs, fmt.Sprintf("%sm%05d", membersPrefix, i),
			fmt.Sprintf(`{"host_port":"127.0.0.1:%d","cell":1,"phase":"up"}`, i%60000+1))
	}
	store.Put(pairs...)
	return store
}

// await waits until each client has signalled that it is current.
func (s RegistryRestart) await(current <-chan struct{}) error {
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

// sampleReads counts the reads of the complete list in each tenth of a second until ended is closed.
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

// peakReads returns the maximum number of reads within a second.
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

package sessionrun

// This file owns a run: its traffic, its faults and its result.

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"sync"
	"time"

	"weirwind/internal/standin/loopback"
)

const (
	drainTimeout = 10 * time.Second // until messages that are queued at the end are delivered
	drainPoll    = 50 * time.Millisecond
)

// Options are the options of a run.
type Options struct {
	Duration        time.Duration // duration of the traffic
	Sites           int
	Clients         int
	MessageInterval time.Duration // time between two messages to a client
}

// Second holds the statistics of one second of a run.
type Second struct {
	Queued, Delivered int64         // numbers of messages
	LongestGap        time.Duration // longest time since a client's last message, over all clients
	Event             string        // fault in this second, "" if there is none
}

// Result is the result of a run.
type Result struct {
	Seconds            []Second
	Queued, Delivered  int64
	Lost               int             // messages that were queued and not delivered
	Duplicated         int             // messages that were delivered more than once
	OutOfOrder         int             // clients whose messages arrived in another order
	Opened, StayedOpen int             // numbers of sockets
	LongestGaps        []time.Duration // longest time between two messages for each client, in increasing order
}

// Run runs sessions under faults and calls report for each second with its number.
func Run(ctx context.Context, options Options, log io.Writer, report func(int, Second)) (Result, error) {
	dir, err := os.MkdirTemp("", "sessions")
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	block, err := loopback.Reserve()
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = block.Close() }() // closes a listener without connections
	d := &deployment{options: options, dir: dir, block: block, processes: map[string]*exec.Cmd{}}
	defer d.stop()
	if err := d.startAll(log); err != nil {
		return Result{}, err
	}
	if err := d.awaitSites(); err != nil {
		return Result{}, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if err := d.openSessions(ctx); err != nil {
		return Result{}, err
	}
	return d.runTraffic(ctx, report), nil
}

// runTraffic runs producers and faults, waits for the last messages, and audits all messages.
func (d *deployment) runTraffic(ctx context.Context, report func(int, Second)) (r Result) {
	producing, end := context.WithCancel(ctx)
	defer end()
	var producers sync.WaitGroup
	for i, c := range d.clients {
		producers.Go(func() { d.produce(producing, c, i) })
	}
	d.lastEvent.Store("")
	d.scheduleFaults()
	d.reportSeconds(ctx, &r, report)
	end()
	producers.Wait()
	for until := time.Now().Add(drainTimeout); d.delivered.Load() < d.queued.Load() && time.Now().Before(until); {
		time.Sleep(drainPoll)
	}
	for _, c := range d.clients {
		c.audit(&r)
	}
	slices.Sort(r.LongestGaps)
	r.Queued, r.Delivered = d.queued.Load(), d.delivered.Load()
	return r
}

// scheduleFaults kills the busiest site after a third of the time, and drains the busiest other site after two thirds.
func (d *deployment) scheduleFaults() {
	killed := -1
	time.AfterFunc(d.options.Duration/3, func() {
		killed = d.busiestSite(-1)
		d.lastEvent.Store(fmt.Sprintf("site%d is pulled", killed))
		d.kill(fmt.Sprint("site", killed))
	})
	time.AfterFunc(2*d.options.Duration/3, func() {
		n := d.busiestSite(killed)
		d.lastEvent.Store(fmt.Sprintf("site%d is drained", n))
		if resp, err := http.Post(fmt.Sprintf("http://%s/sites/site%d/drain", d.cores[0], n), "", nil); err == nil {
			resp.Body.Close()
		}
	})
}

// reportSeconds reports each second until the duration of the run is over.
func (d *deployment) reportSeconds(ctx context.Context, r *Result, report func(int, Second)) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	lastQueued, lastDelivered := int64(0), int64(0)
	for n := 1; time.Duration(n)*time.Second <= d.options.Duration && ctx.Err() == nil; n++ {
		<-tick.C
		queued, delivered := d.queued.Load(), d.delivered.Load()
		second := Second{
			Queued:    queued - lastQueued,
			Delivered: delivered - lastDelivered,
			Event:     d.lastEvent.Swap("").(string),
		}
		lastQueued, lastDelivered = queued, delivered
		for _, c := range d.clients {
			second.LongestGap = max(second.LongestGap, c.sinceLast())
		}
		r.Seconds = append(r.Seconds, second)
		report(n, second)
	}
}

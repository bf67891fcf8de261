// Package sessionrun plays an evening of open sessions with processes of the program: a core, sites and edges, clients
// that read and write, a site that is pulled and another that is drained. It owns the processes, the traffic and the
// account of every message.
package sessionrun

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"weirwind/internal/controlplane"
	"weirwind/internal/session/edge"
	"weirwind/internal/session/site"
	"weirwind/internal/util/plot"
	"weirwind/internal/util/process"
	"weirwind/internal/util/settings"
	"weirwind/sessionclient"
)

const (
	roleVariable  = "WEIRLAB_ROLE"
	answerTimeout = 15 * time.Second // to a producer
)

// Role runs a process of the evening where this one was started as such; ok is false where it wasn't.
func Role() (code int, ok bool) {
	roles := map[string]process.Role{"core": {Name: "controlplane", Run: controlplane.Run},
		"site": {Name: "sessionsite", Run: site.Run}, "edge": {Name: "sessionedge", Run: edge.Run}}
	r, ok := roles[os.Getenv(roleVariable)]
	if !ok {
		return 0, false
	}
	return process.Main(r, nil, os.Stdout), true
}

// Options of an evening.
type Options struct {
	For     time.Duration
	Sites   int
	Clients int
	Every   time.Duration // between two messages to a client
	Net     int           // 127.Net is used
	Port    int
}

// Second is what happened in one.
type Second struct {
	Queued, Delivered int64
	LongestGap        time.Duration // of the client that waited longest
	Event             string
}

// Result is the account.
type Result struct {
	Seconds                      []Second
	Queued, Delivered            int64
	Lost, Duplicated, OutOfOrder int // never came; came twice; out of order or never sent
	Opened, StayedOpen           int // sockets
	LongestGaps                  []time.Duration
}

type client struct {
	mu           sync.Mutex
	session      *sessionclient.Session
	id           string
	queued       []string
	received     []string
	lastReceived time.Time
	longestGap   time.Duration
}

type deployment struct {
	options   Options
	dir       string
	processes map[string]*exec.Cmd
	cores     []string

	clients           []*client
	queued, delivered atomic.Int64 // messages, of all guests
	lastEvent         atomic.Value // string: what was done since the last second
}

func (h *deployment) ip(kind, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", h.options.Net, kind, n+1)
}

func (h *deployment) http(n int) string { return fmt.Sprintf("%s:%d", h.ip(2, n), h.options.Port+5) }

func (h *deployment) start(role string, n int, log io.Writer) error {
	kind := map[string]int{"core": 1, "site": 2, "edge": 3}[role]
	name := fmt.Sprint(role, n)
	lines := []string{"hostname=" + name, fmt.Sprintf("zone=z%d", n%3+1), "region=r", "zones.z1=r", "zones.z2=r",
		"zones.z3=r", fmt.Sprintf("portRange=%d,%d", h.options.Port, h.options.Port+2), "peers=" + strings.Join(h.cores, ","),
		"init=true", "tolerate.nodes=1", "bounds.graceS=4", "limits.nofile=16384", "limits.memMb=512", "ip=" + h.ip(kind, n),
		"datadir=" + filepath.Join(h.dir, name)}
	if role == "core" {
		lines = append(lines, "listen.ctl="+h.cores[n])
	} else {
		lines = append(lines, fmt.Sprintf("listen.front=%s:%d", h.ip(kind, n), h.options.Port+4),
			fmt.Sprintf("listen.readyAddr=%s:%d", h.ip(kind, n), h.options.Port+5))
	}
	file := filepath.Join(h.dir, name+".conf")
	if err := os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), roleVariable+"="+role, settings.EnvVariable+"="+file)
	cmd.Stderr = log
	h.processes[name] = cmd
	return cmd.Start()
}

func (h *deployment) kill(name string) {
	if c := h.processes[name]; c != nil {
		_ = c.Process.Kill() // it may have ended
		_ = c.Wait()         // it was killed
		delete(h.processes, name)
	}
}

// homes tells how many sessions are at home at a site, -1 where it doesn't answer.
func (h *deployment) sessionsAt(n int) int {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.http(n) + "/status")
	if err != nil {
		return -1
	}
	defer resp.Body.Close()
	var v struct {
		Homes int
		State string
	}
	if json.NewDecoder(resp.Body).Decode(&v) != nil || v.State == "" {
		return -1
	}
	return v.Homes
}

func (h *deployment) busiest(but int) int {
	best, most := 0, -1
	for n := range h.options.Sites {
		if k := h.sessionsAt(n); n != but && k > most {
			best, most = n, k
		}
	}
	return best
}

// Run plays one and tells each second.
func Run(ctx context.Context, o Options, log io.Writer, report func(int, Second)) (Result, error) {
	dir, err := os.MkdirTemp("", "evening")
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	h := &deployment{options: o, dir: dir, processes: map[string]*exec.Cmd{}}
	defer func() {
		for name := range h.processes {
			h.kill(name)
		}
	}()
	if err := h.startAll(log); err != nil {
		return Result{}, err
	}
	if err := h.awaitSites(); err != nil {
		return Result{}, err
	}
	live, stop := context.WithCancel(ctx)
	defer stop()
	if err := h.openSessions(live); err != nil {
		return Result{}, err
	}
	producing, end := context.WithCancel(live)
	var writers sync.WaitGroup
	for i, g := range h.clients {
		writers.Go(func() { h.produce(producing, g, i, &h.queued) })
	}
	var r Result
	h.lastEvent.Store("")
	h.scheduleFaults()
	h.reportSeconds(ctx, &r, report)
	end()
	writers.Wait()
	for until := time.Now().Add(10 * time.Second); h.delivered.Load() < h.queued.Load() && time.Now().Before(until); {
		time.Sleep(50 * time.Millisecond)
	}
	for _, g := range h.clients {
		g.audit(&r)
	}
	slices.Sort(r.LongestGaps)
	r.Queued, r.Delivered = h.queued.Load(), h.delivered.Load()
	return r, nil
}

// startAll starts three core machines, the sites and two edges.
func (h *deployment) startAll(log io.Writer) error {
	for n := range 3 {
		h.cores = append(h.cores, fmt.Sprintf("%s:%d", h.ip(1, n), h.options.Port+3))
	}
	for role, count := range map[string]int{"core": 3, "site": h.options.Sites, "edge": 2} {
		for n := range count {
			if err := h.start(role, n, log); err != nil {
				return err
			}
		}
	}
	return nil
}

// awaitSites waits until all sites serve.
func (h *deployment) awaitSites() error {
	for until := time.Now().Add(15 * time.Second); ; {
		in := 0
		for n := range h.options.Sites {
			if h.sessionsAt(n) >= 0 {
				in++
			}
		}
		if in == h.options.Sites {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("%d of %d sites are in after 15 s", in, h.options.Sites)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// openSessions opens the clients' sessions, one after the other, and lets each take its messages.
func (h *deployment) openSessions(ctx context.Context) error {
	var edges []string
	for n := range 2 {
		edges = append(edges, fmt.Sprintf("ws://%s:%d", h.ip(3, n), h.options.Port+4))
	}
	for i := range h.options.Clients {
		g := &client{lastReceived: time.Now(), session: sessionclient.Open(ctx, []string{edges[i%2], edges[(i+1)%2]}, "", 0)}
		h.clients = append(h.clients, g)
		select {
		case <-g.session.Opened():
		case <-time.After(10 * time.Second):
			return fmt.Errorf("client %d: its session does not open", i)
		}
		token, _ := g.session.Token()
		g.id, _, _ = strings.Cut(token, ".")
		go g.receive(&h.delivered)
	}
	return nil
}

// take counts what comes until the session ends.
func (g *client) receive(delivered *atomic.Int64) {
	for m := range g.session.Messages() {
		delivered.Add(1)
		g.mu.Lock()
		now := time.Now()
		if g.received = append(g.received, string(m)); len(g.received) > 1 {
			g.longestGap = max(g.longestGap, now.Sub(g.lastReceived))
		}
		g.lastReceived = now
		g.mu.Unlock()
	}
}

// strike pulls the busiest site after a third of the time, and drains the busiest other one after two thirds.
func (h *deployment) scheduleFaults() {
	pulled := -1
	time.AfterFunc(h.options.For/3, func() {
		pulled = h.busiest(-1)
		h.lastEvent.Store(fmt.Sprintf("site%d is pulled", pulled))
		h.kill(fmt.Sprint("site", pulled))
	})
	time.AfterFunc(2*h.options.For/3, func() {
		n := h.busiest(pulled)
		h.lastEvent.Store(fmt.Sprintf("site%d is drained", n))
		if resp, err := http.Post(fmt.Sprintf("http://%s/sites/site%d/drain", h.cores[0], n), "", nil); err == nil {
			resp.Body.Close()
		}
	})
}

// watch tells what each second brought.
func (h *deployment) reportSeconds(ctx context.Context, r *Result, report func(int, Second)) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	q0, c0 := int64(0), int64(0)
	for s := 1; time.Duration(s)*time.Second <= h.options.For && ctx.Err() == nil; s++ {
		<-tick.C
		q, c := h.queued.Load(), h.delivered.Load()
		sec := Second{Queued: q - q0, Delivered: c - c0, Event: h.lastEvent.Swap("").(string)}
		q0, c0 = q, c
		for _, g := range h.clients {
			g.mu.Lock()
			sec.LongestGap = max(sec.LongestGap, time.Since(g.lastReceived))
			g.mu.Unlock()
		}
		r.Seconds = append(r.Seconds, sec)
		report(s, sec)
	}
}

// audit lays what one client got beside what was queued for it.
func (g *client) audit(r *Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	seen := map[string]int{}
	for _, m := range g.received {
		if seen[m]++; seen[m] == 2 {
			r.Duplicated++
		}
	}
	for _, m := range g.queued {
		if seen[m] == 0 {
			r.Lost++
		}
	}
	if !slices.Equal(g.received, g.queued) && r.Lost+r.Duplicated == 0 {
		r.OutOfOrder++
	}
	r.Opened++
	if g.session.Connections() == 1 {
		r.StayedOpen++
	}
	r.LongestGaps = append(r.LongestGaps, g.longestGap)
}

// produce queues messages for one client.
func (h *deployment) produce(ctx context.Context, g *client, n int, queued *atomic.Int64) {
	var sites []string
	for k := range h.options.Sites {
		sites = append(sites, h.http(k))
	}
	tick := time.NewTicker(h.options.Every)
	defer tick.Stop()
	for i, home := 0, n; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		body := fmt.Sprint(g.id[:6], "-", i)
		// The end of the run leaves no answer in doubt.
		answer, stop := context.WithTimeout(context.WithoutCancel(ctx), answerTimeout)
		at, err := sessionclient.Queue(answer, sites, home, g.id, fmt.Sprint(i), []byte(body))
		stop()
		if home = at; err == nil {
			g.mu.Lock()
			g.queued = append(g.queued, body)
			g.mu.Unlock()
			queued.Add(1)
		}
	}
}

// Page draws the account.
func (r *Result) HTML(title string) string {
	var b strings.Builder
	b.WriteString(plot.Head)
	fmt.Fprintf(
		&b,
		"<title>%s</title><h1>%s</h1><p>%d messages queued, %d came; lost %d, doubled %d, out of order %d; "+
			"%d of %d sockets stayed open.</p>",
		title,
		title,
		r.Queued,
		r.Delivered,
		r.Lost,
		r.Duplicated,
		r.OutOfOrder,
		r.StayedOpen,
		r.Opened,
	)
	most, quiet := int64(1), time.Millisecond
	for _, s := range r.Seconds {
		most, quiet = max(most, s.Delivered, s.Queued), max(quiet, s.LongestGap)
	}
	n := len(r.Seconds)
	fmt.Fprintf(&b, "<h2>Messages that came, of %d a second</h2>", most)
	plot.Line(&b, n, func(i int) float64 { return float64(r.Seconds[i].Delivered) / float64(most) }, "#246")
	fmt.Fprintf(&b, "<h2>Messages queued, of %d a second</h2>", most)
	plot.Line(&b, n, func(i int) float64 { return float64(r.Seconds[i].Queued) / float64(most) }, "#262")
	fmt.Fprintf(&b, "<h2>Silence of the client that waited longest, of %s</h2>", quiet.Round(time.Millisecond))
	plot.Line(&b, n, func(i int) float64 { return float64(r.Seconds[i].LongestGap) / float64(quiet) }, "#a40")
	b.WriteString("<table><tr><th>second<th>queued<th>came<th>longest silence<th>")
	for i, s := range r.Seconds {
		fmt.Fprintf(&b, "<tr><td>%d<td>%d<td>%d<td>%s<td>%s", i+1, s.Queued, s.Delivered, s.LongestGap.Round(time.Millisecond),
			s.Event)
	}
	b.WriteString("</table>\n")
	return b.String()
}

package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/coder/websocket"
	. "github.com/smartystreets/goconvey/convey"

	"weirwind/internal/session/sites"
	"weirwind/internal/weirctl"
	"weirwind/sessionclient"
)

// attendee is a client of the evening with its account.
type attendee struct {
	mu     sync.Mutex
	id     string
	s      *sessionclient.Session
	got    []string
	queued []string
	sent   []string
	took   []string
	quiet  time.Duration // longest pause between two messages
	last   time.Time
}

func (w *Deployment) siteHTTP(n int) string { return fmt.Sprintf("%s:%d", w.ip(5, n), w.basePort+5) }

func (w *Deployment) edgeURL(n int) string {
	return fmt.Sprintf("ws://%s:%d", w.ip(6, n), w.basePort+4)
}

// sessionSites starts so many sites and two edges, and waits until they serve.
func sessionSites(t *testing.T, n int) *Deployment {
	w := New(t, 3, 0)
	for i := range n {
		w.Start(fmt.Sprint("site", i), false)
	}
	for i := range 2 {
		w.Start(fmt.Sprint("edge", i), false)
	}
	w.Eventually("all sites are in", func() bool {
		return len(w.in()) == n
	})
	return w
}

func (w *Deployment) in() (in []string) {
	for _, c := range w.Cores {
		if code, s := w.Call("GET", c, "/sites", "", nil); code == 200 {
			var m sites.Map
			json.Unmarshal([]byte(s), &m)
			for name, site := range m.Sites {
				if site.State == sites.StateActive {
					in = append(in, name)
				}
			}
			return in
		}
	}
	return nil
}

func (w *Deployment) attendees(ctx context.Context, n int) []*attendee {
	var all []*attendee
	for i := range n {
		a := &attendee{last: time.Now()}
		all = append(all, a)
		a.s = sessionclient.Open(ctx, []string{w.edgeURL(i % 2), w.edgeURL((i + 1) % 2)}, "", 0)
		<-a.s.Opened()
		token, _ := a.s.Token()
		a.id, _, _ = strings.Cut(token, ".")
		go func() {
			for m := range a.s.Messages() {
				a.mu.Lock()
				a.got = append(a.got, string(m))
				if now := time.Now(); len(a.got) > 1 {
					a.quiet = max(a.quiet, now.Sub(a.last))
					a.last = now
				} else {
					a.last = now
				}
				a.mu.Unlock()
			}
		}()
	}
	return all
}

// produce queues messages until stopped.
func (w *Deployment) produce(ctx context.Context, a *attendee, n int, every time.Duration) {
	var addrs []string
	for k := range w.siteCount {
		addrs = append(addrs, w.siteHTTP(k))
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for i, home := 0, n; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		body := fmt.Sprint(a.id[:6], "-", i)
		answer, stop := context.WithTimeout(context.Background(), 15*time.Second) // the end leaves none in doubt
		at, err := sessionclient.Queue(answer, addrs, home, a.id, fmt.Sprint(i), []byte(body))
		stop()
		if home = at; err == nil {
			a.mu.Lock()
			a.queued = append(a.queued, body)
			a.mu.Unlock()
		}
	}
}

// consume takes what the client sent.
func (w *Deployment) consume(ctx context.Context, a *attendee) {
	client := http.Client{Timeout: 3 * time.Second}
	after := uint64(0)
	for n := 0; ctx.Err() == nil; n++ {
		resp, err := client.Get(fmt.Sprintf("http://%s/sessions/%s/inbox?after=%d", w.siteHTTP(n%w.siteCount), a.id, after))
		if err == nil {
			var msgs []struct {
				N    uint64
				Body string
			}
			if resp.StatusCode == 200 && json.NewDecoder(resp.Body).Decode(&msgs) == nil && len(msgs) > 0 {
				a.mu.Lock()
				for _, m := range msgs {
					a.took = append(a.took, m.Body)
					after = m.N
				}
				a.mu.Unlock()
				if r, err := client.Post(fmt.Sprintf("http://%s/sessions/%s/took?n=%d", w.siteHTTP(n%w.siteCount), a.id, after), "", nil); err == nil {
					r.Body.Close()
				}
			}
			resp.Body.Close()
		}
		<-time.After(40 * time.Millisecond)
	}
}

// live runs an evening's traffic for all attendees; end stops it and audits every message in both directions.
func (w *Deployment) live(all []*attendee) (end func() (quiet []time.Duration)) {
	ctx, stop := context.WithCancel(context.Background())
	taking, done := context.WithCancel(context.Background())
	var writers, takers sync.WaitGroup
	for i, a := range all {
		writers.Add(2)
		takers.Add(1)
		go func() { defer writers.Done(); w.produce(ctx, a, i, 25*time.Millisecond) }()
		go func() {
			defer writers.Done()
			tick := time.NewTicker(60 * time.Millisecond)
			defer tick.Stop()
			for k := 0; ; k++ {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
				body := fmt.Sprint(a.id[:6], ">", k)
				a.mu.Lock()
				a.sent = append(a.sent, body)
				a.mu.Unlock()
				_ = a.s.Send([]byte(body))
			}
		}()
		go func() { defer takers.Done(); w.consume(taking, a) }()
	}
	return func() (quiet []time.Duration) {
		stop()
		writers.Wait()
		defer func() {
			if r := recover(); r != nil || w.t.Failed() {
				w.t.Log(w.accounts(all))
			}
		}()
		w.Eventually("all that was queued and sent has come", func() bool {
			for _, a := range all {
				a.mu.Lock()
				ok := len(a.got) >= len(a.queued) && len(a.took) >= len(a.sent)
				a.mu.Unlock()
				if !ok {
					return false
				}
			}
			return true
		})
		done()
		takers.Wait()
		for _, a := range all {
			a.mu.Lock()
			So(len(a.queued), ShouldBeGreaterThan, 5)
			if !slices.Equal(a.got, a.queued) {
				So(fmt.Sprint(a.got), ShouldEqual, fmt.Sprint(a.queued))
			}
			if !slices.Equal(a.took, a.sent) {
				So(fmt.Sprint(a.took), ShouldEqual, fmt.Sprint(a.sent))
			}
			quiet = append(quiet, a.quiet)
			a.mu.Unlock()
		}
		slices.Sort(quiet)
		return quiet
	}
}

// accounts says how far each attendee is, and what sites know of it.
func (w *Deployment) accounts(all []*attendee) string {
	var b strings.Builder
	for _, a := range all {
		a.mu.Lock()
		if len(a.got) < len(a.queued) || len(a.took) < len(a.sent) {
			fmt.Fprintf(&b, "%s: %d of %d came, %d of %d taken, %d pending, %d connections\n", a.id[:6], len(a.got), len(a.queued), len(a.took), len(a.sent), a.s.Pending(), a.s.Connections())
			for n := range w.siteCount {
				_, s := w.Call("GET", w.siteHTTP(n), "/sessions/"+a.id, "", nil)
				fmt.Fprintf(&b, "  site%d: %s\n", n, s)
			}
		}
		a.mu.Unlock()
	}
	return b.String()
}

func (w *Deployment) homes(n int) int {
	_, s := w.Call("GET", w.siteHTTP(n), "/status", "", nil)
	var v struct{ Homes int }
	if json.Unmarshal([]byte(s), &v) != nil {
		return -1
	}
	return v.Homes
}

func TestSessionsOfSites(t *testing.T) {
	Convey("In an evening with sessions open at three sites", t, func() {
		w := sessionSites(t, 3)
		Reset(w.Stop)
		w.siteCount = 3
		ctx, stop := context.WithCancel(context.Background())
		Reset(stop)
		all := w.attendees(ctx, 12)
		end := w.live(all)
		said := func() {
			w.Eventually("messages come", func() bool {
				for _, a := range all {
					a.mu.Lock()
					n := len(a.got)
					a.mu.Unlock()
					if n < 10 {
						return false
					}
				}
				return true
			})
		}
		open := func() {
			for _, a := range all {
				So(a.s.Connections(), ShouldEqual, 1)
			}
		}
		busy := func() int { // a site with sessions
			best := 0
			for n := range 3 {
				if w.homes(n) > w.homes(best) {
					best = n
				}
			}
			return best
		}
		tell := func(args ...string) (int, string) {
			var b bytes.Buffer
			code := weirctl.Main(append([]string{"sessions"}, args...), &b, &b)
			return code, b.String()
		}
		said()
		Convey("a site is pulled: every queued message comes once and in order, on sessions that stay open", func() {
			w.Kill(fmt.Sprint("site", busy()))
			w.Eventually("it is out", func() bool { return len(w.in()) == 2 })
			quiet := end()
			open()
			t.Logf("pulled: longest silence %v", quiet[len(quiet)-1])
			So(quiet[len(quiet)-1], ShouldBeLessThan, 8*time.Second)
		})
		Convey("a site is drained, and comes back", func() {
			n := busy()
			code, _ := tell("drain", "-pace", "50", w.Cores[0], fmt.Sprint("site", n))
			So(code, ShouldEqual, 0)
			w.Eventually("its sessions are elsewhere", func() bool { return w.homes(n) == 0 })
			code, s := tell("status", w.Cores[1])
			So(code, ShouldEqual, 0)
			So(s, ShouldContainSubstring, "draining")
			code, s = tell("show", w.Cores[1], all[0].id)
			So(code, ShouldEqual, 0)
			So(s, ShouldContainSubstring, `"home":"site`)
			code, _ = tell("undrain", w.Cores[2], fmt.Sprint("site", n))
			So(code, ShouldEqual, 0)
			quiet := end()
			open()
			t.Logf("drained: longest silence %v", quiet[len(quiet)-1])
		})
		Convey("a site is frozen until its sessions were handed on, and thawed: it delivers nothing", func() {
			site := fmt.Sprint("site", busy())
			w.Signal(site, syscall.SIGSTOP)
			w.Eventually("it is out", func() bool { return len(w.in()) == 2 })
			w.Signal(site, syscall.SIGCONT)
			w.Eventually("it has begun anew", func() bool { return len(w.in()) == 3 })
			end()
			open()
		})
		Convey("a site is told to end: it hands its sessions on first", func() {
			site := fmt.Sprint("site", busy())
			w.Signal(site, syscall.SIGTERM)
			w.processes[site].Wait()
			end()
			open()
		})
		Convey("an edge is pulled: its clients go on at the other one", func() {
			w.Kill("edge0")
			end()
			for _, a := range all {
				So(a.s.Connections(), ShouldBeLessThanOrEqualTo, 2)
			}
		})
		Convey("a site is pulled together with the core's leader", func() {
			w.Kill(leader(w))
			w.Kill(fmt.Sprint("site", busy()))
			w.Eventually("it is out", func() bool { return len(w.in()) == 2 })
			end()
			open()
		})
		Convey("one is drained while its neighbour dies", func() {
			n := busy()
			tell("drain", "-pace", "6", w.Cores[0], fmt.Sprint("site", n))
			w.Kill(fmt.Sprint("site", (n+1)%3))
			w.Eventually("the dead one is out", func() bool { return len(w.in()) == 1 })
			tell("undrain", w.Cores[1], fmt.Sprint("site", n))
			w.Eventually("two are in", func() bool { return len(w.in()) == 2 })
			end()
			open()
		})
	})
}

// What a bad or old token, a plain client, and a message too long are answered.
func TestSessionsBounds(t *testing.T) {
	Convey("With two sites and an edge", t, func() {
		w := sessionSites(t, 2)
		Reset(w.Stop)
		w.siteCount = 2
		ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
		Reset(stop)
		at := strings.TrimPrefix(w.edgeURL(0), "ws://")
		code, _ := w.Call("GET", at, "/session?token=short", "", nil)
		So(code, ShouldEqual, 400)
		code, _ = w.Call("GET", at, "/session?got=x", "", nil)
		So(code, ShouldEqual, 400)
		a := w.attendees(ctx, 1)[0]
		token, _ := a.s.Token()
		stolen := sessionclient.Open(ctx, []string{w.edgeURL(0)}, a.id+"."+strings.Repeat("0", 32), 0)
		_, come := <-stolen.Messages()
		So(come, ShouldBeFalse)
		So(stolen.Err(), ShouldNotBeNil)
		big, _ := w.Call("POST", w.siteHTTP(0), "/sessions/"+a.id+"/messages", "", make([]byte, 100<<10))
		So(big, ShouldEqual, 413)
		unknown, _ := w.Call("POST", w.siteHTTP(0), "/sessions/"+strings.Repeat("0", 32)+"/messages", "", []byte("x"))
		So(unknown, ShouldEqual, 404)
		// The same token again takes the session over; the one before is told.
		again := sessionclient.Open(ctx, []string{w.edgeURL(1)}, token, 0)
		<-again.Opened()
		w.Eventually("the first has ended", func() bool { return a.s.Err() != nil })
		again.Close()
		// A plain client gets bodies alone, and its socket outlives its site.
		c, _, err := websocket.Dial(ctx, w.edgeURL(0)+"/session", nil)
		So(err, ShouldBeNil)
		So(c.Write(ctx, websocket.MessageText, []byte("hello")), ShouldBeNil)
		c.CloseNow()
	})
}

// TestLongSessions plays sites pulled, drained and frozen, one at a time, for as long as SESSIONS says (a duration; not in CI).
func TestLongSessions(t *testing.T) {
	long, err := time.ParseDuration(os.Getenv("SESSIONS"))
	if err != nil {
		t.Skip("SESSIONS=30m plays one")
	}
	Convey("An evening", t, func() {
		w := sessionSites(t, 4)
		w.siteCount = 4
		ctx, stop := context.WithCancel(context.Background())
		Reset(w.Stop)
		Reset(stop)
		all := w.attendees(ctx, 24)
		end := w.live(all)
		faults := map[string]int{}
		for until := time.Now().Add(long); time.Now().Before(until); {
			n := rand.IntN(4)
			site := fmt.Sprint("site", n)
			switch rand.IntN(5) {
			case 0:
				faults["pulled"]++
				w.Kill(site)
				w.Eventually("out", func() bool { return len(w.in()) == 3 })
				w.Start(site, false)
			case 1:
				faults["frozen"]++
				w.Signal(site, syscall.SIGSTOP)
				w.Eventually("out", func() bool { return len(w.in()) == 3 })
				w.Signal(site, syscall.SIGCONT)
			case 2:
				faults["drained"]++
				w.Call("POST", w.Cores[0], "/sites/"+site+"/drain", "", nil)
				w.Eventually("empty", func() bool { return w.homes(n) == 0 })
				w.Call("POST", w.Cores[0], "/sites/"+site+"/undrain", "", nil)
			case 3:
				faults["edge pulled"]++
				w.Kill("edge1")
				w.Start("edge1", false)
			case 4:
				faults["core leader killed"]++
				lead := leader(w)
				w.Kill(lead)
				w.Start(lead, false)
			}
			w.Eventually("all are in", func() bool { return len(w.in()) == 4 })
			<-time.After(1500 * time.Millisecond)
		}
		quiet := end()
		n := 0
		for _, a := range all {
			n += len(a.queued)
		}
		t.Logf("%v; %d messages, silences up to %v, at the median %v", faults, n, quiet[len(quiet)-1], quiet[len(quiet)/2])
	})
}

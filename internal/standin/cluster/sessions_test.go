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

// sessionDeployment is a deployment with so many sites.
type sessionDeployment struct {
	*Deployment
	sites int
}

// sessionUser is a client with an open session, and all that it received, sent and was sent.
type sessionUser struct {
	mu           sync.Mutex
	id           string
	session      *sessionclient.Session
	received     []string
	queued       []string
	sent         []string
	consumed     []string
	longestGap   time.Duration // longest pause between two messages
	lastReceived time.Time
}

func (d *sessionDeployment) siteHTTP(n int) string {
	return fmt.Sprintf("%s:%d", d.ip(5, n), d.basePort+5)
}

func (d *sessionDeployment) edgeURL(n int) string {
	return fmt.Sprintf("ws://%s:%d", d.ip(6, n), d.basePort+4)
}

// sessionSites starts so many sites and two edges, and waits until they serve.
func sessionSites(t *testing.T, n int) *sessionDeployment {
	d := &sessionDeployment{New(t, 3, 0), n}
	for i := range n {
		d.Start(fmt.Sprint("site", i), false)
	}
	for i := range 2 {
		d.Start(fmt.Sprint("edge", i), false)
	}
	d.Eventually("all sites are in", func() bool {
		return len(d.activeSites()) == n
	})
	return d
}

func (d *sessionDeployment) activeSites() (in []string) {
	for _, c := range d.Cores {
		if code, s := d.Call("GET", c, "/sites", "", nil); code == 200 {
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

func (d *sessionDeployment) openSessions(ctx context.Context, n int) []*sessionUser {
	var all []*sessionUser
	for i := range n {
		a := &sessionUser{lastReceived: time.Now()}
		all = append(all, a)
		a.session = sessionclient.Open(ctx, []string{d.edgeURL(i % 2), d.edgeURL((i + 1) % 2)}, "", 0)
		<-a.session.Opened()
		token, _ := a.session.Token()
		a.id, _, _ = strings.Cut(token, ".")
		go func() {
			for m := range a.session.Messages() {
				a.mu.Lock()
				a.received = append(a.received, string(m))
				if now := time.Now(); len(a.received) > 1 {
					a.longestGap = max(a.longestGap, now.Sub(a.lastReceived))
					a.lastReceived = now
				} else {
					a.lastReceived = now
				}
				a.mu.Unlock()
			}
		}()
	}
	return all
}

// produce queues messages until stopped.
func (d *sessionDeployment) produce(ctx context.Context, a *sessionUser, n int, every time.Duration) {
	var addrs []string
	for k := range d.sites {
		addrs = append(addrs, d.siteHTTP(k))
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

// consume reads and acknowledges what the client sent, as a consumer does.
func (d *sessionDeployment) consume(ctx context.Context, a *sessionUser) {
	client := http.Client{Timeout: 3 * time.Second}
	after := uint64(0)
	for n := 0; ctx.Err() == nil; n++ {
		resp, err := client.Get(fmt.Sprintf("http://%s/sessions/%s/inbox?after=%d", d.siteHTTP(n%d.sites), a.id, after))
		if err == nil {
			var msgs []struct {
				N    uint64
				Body string
			}
			if resp.StatusCode == 200 && json.NewDecoder(resp.Body).Decode(&msgs) == nil && len(msgs) > 0 {
				a.mu.Lock()
				for _, m := range msgs {
					a.consumed = append(a.consumed, m.Body)
					after = m.N
				}
				a.mu.Unlock()
				if r, err := client.Post(
					fmt.Sprintf("http://%s/sessions/%s/took?n=%d", d.siteHTTP(n%d.sites), a.id, after),
					"",
					nil,
				); err == nil {
					r.Body.Close()
				}
			}
			resp.Body.Close()
		}
		<-time.After(40 * time.Millisecond)
	}
}

// startTraffic runs traffic for all users; end stops it and audits every message in both directions.
func (d *sessionDeployment) startTraffic(all []*sessionUser) (end func() (quiet []time.Duration)) {
	ctx, stop := context.WithCancel(context.Background())
	taking, done := context.WithCancel(context.Background())
	var writers, takers sync.WaitGroup
	for i, a := range all {
		writers.Add(2)
		takers.Add(1)
		go func() { defer writers.Done(); d.produce(ctx, a, i, 25*time.Millisecond) }()
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
				_ = a.session.Send([]byte(body))
			}
		}()
		go func() { defer takers.Done(); d.consume(taking, a) }()
	}
	return func() (quiet []time.Duration) {
		stop()
		writers.Wait()
		defer func() {
			if r := recover(); r != nil || d.t.Failed() {
				d.t.Log(d.describeMissing(all))
			}
		}()
		d.Eventually("all that was queued and sent was delivered", func() bool {
			for _, a := range all {
				a.mu.Lock()
				ok := len(a.received) >= len(a.queued) && len(a.consumed) >= len(a.sent)
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
			if !slices.Equal(a.received, a.queued) {
				So(fmt.Sprint(a.received), ShouldEqual, fmt.Sprint(a.queued))
			}
			if !slices.Equal(a.consumed, a.sent) {
				So(fmt.Sprint(a.consumed), ShouldEqual, fmt.Sprint(a.sent))
			}
			quiet = append(quiet, a.longestGap)
			a.mu.Unlock()
		}
		slices.Sort(quiet)
		return quiet
	}
}

// describeMissing says which users lack messages, and what sites know of them.
func (d *sessionDeployment) describeMissing(all []*sessionUser) string {
	var b strings.Builder
	for _, a := range all {
		a.mu.Lock()
		if len(a.received) < len(a.queued) || len(a.consumed) < len(a.sent) {
			fmt.Fprintf(
				&b,
				"%s: %d of %d came, %d of %d taken, %d pending, %d connections\n",
				a.id[:6],
				len(a.received),
				len(a.queued),
				len(a.consumed),
				len(a.sent),
				a.session.Pending(),
				a.session.Connections(),
			)
			for n := range d.sites {
				_, s := d.Call("GET", d.siteHTTP(n), "/sessions/"+a.id, "", nil)
				fmt.Fprintf(&b, "  site%d: %s\n", n, s)
			}
		}
		a.mu.Unlock()
	}
	return b.String()
}

func (d *sessionDeployment) sessionsAt(n int) int {
	_, s := d.Call("GET", d.siteHTTP(n), "/status", "", nil)
	var v struct{ Homes int }
	if json.Unmarshal([]byte(s), &v) != nil {
		return -1
	}
	return v.Homes
}

func TestSessionsOfSites(t *testing.T) {
	Convey("With sessions open at three sites", t, func() {
		d := sessionSites(t, 3)
		Reset(d.Stop)
		ctx, stop := context.WithCancel(context.Background())
		Reset(stop)
		all := d.openSessions(ctx, 12)
		end := d.startTraffic(all)
		waitForMessages := func() {
			d.Eventually("messages come", func() bool {
				for _, a := range all {
					a.mu.Lock()
					n := len(a.received)
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
				So(a.session.Connections(), ShouldEqual, 1)
			}
		}
		busy := func() int { // a site with sessions
			best := 0
			for n := range 3 {
				if d.sessionsAt(n) > d.sessionsAt(best) {
					best = n
				}
			}
			return best
		}
		sessionsCommand := func(args ...string) (int, string) {
			var b bytes.Buffer
			code := weirctl.Main(append([]string{"sessions"}, args...), &b, &b)
			return code, b.String()
		}
		waitForMessages()
		Convey("a site is killed: every queued message is delivered once and in order, on sessions that stay open", func() {
			d.Kill(fmt.Sprint("site", busy()))
			d.Eventually("it is out", func() bool { return len(d.activeSites()) == 2 })
			quiet := end()
			open()
			t.Logf("killed: longest gap %v", quiet[len(quiet)-1])
			So(quiet[len(quiet)-1], ShouldBeLessThan, 8*time.Second)
		})
		Convey("a site is drained, and comes back", func() {
			n := busy()
			code, _ := sessionsCommand("drain", "-pace", "50", d.Cores[0], fmt.Sprint("site", n))
			So(code, ShouldEqual, 0)
			d.Eventually("its sessions are elsewhere", func() bool { return d.sessionsAt(n) == 0 })
			code, s := sessionsCommand("status", d.Cores[1])
			So(code, ShouldEqual, 0)
			So(s, ShouldContainSubstring, "draining")
			code, s = sessionsCommand("show", d.Cores[1], all[0].id)
			So(code, ShouldEqual, 0)
			So(s, ShouldContainSubstring, `"home":"site`)
			code, _ = sessionsCommand("undrain", d.Cores[2], fmt.Sprint("site", n))
			So(code, ShouldEqual, 0)
			quiet := end()
			open()
			t.Logf("drained: longest gap %v", quiet[len(quiet)-1])
		})
		Convey("a site is frozen until its sessions were handed on, and thawed: it delivers nothing", func() {
			site := fmt.Sprint("site", busy())
			d.Signal(site, syscall.SIGSTOP)
			d.Eventually("it is out", func() bool { return len(d.activeSites()) == 2 })
			d.Signal(site, syscall.SIGCONT)
			d.Eventually("it has begun anew", func() bool { return len(d.activeSites()) == 3 })
			end()
			open()
		})
		Convey("a site gets SIGTERM: it hands its sessions over first", func() {
			site := fmt.Sprint("site", busy())
			d.Signal(site, syscall.SIGTERM)
			d.processes[site].Wait()
			end()
			open()
		})
		Convey("an edge is killed: its clients go on at the other one", func() {
			d.Kill("edge0")
			end()
			for _, a := range all {
				So(a.session.Connections(), ShouldBeLessThanOrEqualTo, 2)
			}
		})
		Convey("a site is killed together with the core's leader", func() {
			d.Kill(leader(d.Deployment))
			d.Kill(fmt.Sprint("site", busy()))
			d.Eventually("it is out", func() bool { return len(d.activeSites()) == 2 })
			end()
			open()
		})
		Convey("one is drained while its neighbour dies", func() {
			n := busy()
			sessionsCommand("drain", "-pace", "6", d.Cores[0], fmt.Sprint("site", n))
			d.Kill(fmt.Sprint("site", (n+1)%3))
			d.Eventually("the dead one is out", func() bool { return len(d.activeSites()) == 1 })
			d.Eventually("the undrain is acknowledged", func() bool { // a machine without contact answers 503
				code, _ := sessionsCommand("undrain", d.Cores[1], fmt.Sprint("site", n))
				return code == 0 || len(d.activeSites()) == 2
			})
			d.Eventually("two are in", func() bool { return len(d.activeSites()) == 2 })
			end()
			open()
		})
	})
}

// The answers to a bad or old token, to a plain client, and to a message that is too long.
func TestSessionsBounds(t *testing.T) {
	Convey("With two sites and an edge", t, func() {
		d := sessionSites(t, 2)
		Reset(d.Stop)
		ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
		Reset(stop)
		at := strings.TrimPrefix(d.edgeURL(0), "ws://")
		code, _ := d.Call("GET", at, "/session?token=short", "", nil)
		So(code, ShouldEqual, 400)
		code, _ = d.Call("GET", at, "/session?got=x", "", nil)
		So(code, ShouldEqual, 400)
		a := d.openSessions(ctx, 1)[0]
		token, _ := a.session.Token()
		stolen := sessionclient.Open(ctx, []string{d.edgeURL(0)}, a.id+"."+strings.Repeat("0", 32), 0)
		_, come := <-stolen.Messages()
		So(come, ShouldBeFalse)
		So(stolen.Err(), ShouldNotBeNil)
		big, _ := d.Call("POST", d.siteHTTP(0), "/sessions/"+a.id+"/messages", "", make([]byte, 100<<10))
		So(big, ShouldEqual, 413)
		unknown, _ := d.Call("POST", d.siteHTTP(0), "/sessions/"+strings.Repeat("0", 32)+"/messages", "", []byte("x"))
		So(unknown, ShouldEqual, 404)
		// The same token again takes the session over; the first connection is closed.
		again := sessionclient.Open(ctx, []string{d.edgeURL(1)}, token, 0)
		<-again.Opened()
		d.Eventually("the first has ended", func() bool { return a.session.Err() != nil })
		again.Close()
		// A plain client gets bodies alone, and its socket outlives its site.
		c, _, err := websocket.Dial(ctx, d.edgeURL(0)+"/session", nil)
		So(err, ShouldBeNil)
		So(c.Write(ctx, websocket.MessageText, []byte("hello")), ShouldBeNil)
		c.CloseNow()
	})
}

// Sites are killed, drained and frozen, one at a time, for as long as SESSIONS says (a duration; not in CI).
func TestLongSessions(t *testing.T) {
	long, err := time.ParseDuration(os.Getenv("SESSIONS"))
	if err != nil {
		t.Skip("SESSIONS=30m runs it")
	}
	Convey("A long run", t, func() {
		d := sessionSites(t, 4)
		ctx, stop := context.WithCancel(context.Background())
		Reset(d.Stop)
		Reset(stop)
		all := d.openSessions(ctx, 24)
		end := d.startTraffic(all)
		faults := map[string]int{}
		for until := time.Now().Add(long); time.Now().Before(until); {
			n := rand.IntN(4)
			site := fmt.Sprint("site", n)
			switch rand.IntN(5) {
			case 0:
				faults["killed"]++
				d.Kill(site)
				d.Eventually("out", func() bool { return len(d.activeSites()) == 3 })
				d.Start(site, false)
			case 1:
				faults["frozen"]++
				d.Signal(site, syscall.SIGSTOP)
				d.Eventually("out", func() bool { return len(d.activeSites()) == 3 })
				d.Signal(site, syscall.SIGCONT)
			case 2:
				faults["drained"]++
				d.Call("POST", d.Cores[0], "/sites/"+site+"/drain", "", nil)
				d.Eventually("empty", func() bool { return d.sessionsAt(n) == 0 })
				d.Call("POST", d.Cores[0], "/sites/"+site+"/undrain", "", nil)
			case 3:
				faults["edge killed"]++
				d.Kill("edge1")
				d.Start("edge1", false)
			case 4:
				faults["core leader killed"]++
				lead := leader(d.Deployment)
				d.Kill(lead)
				d.Start(lead, false)
			}
			d.Eventually("all are in", func() bool { return len(d.activeSites()) == 4 })
			<-time.After(1500 * time.Millisecond)
		}
		quiet := end()
		n := 0
		for _, a := range all {
			n += len(a.queued)
		}
		t.Logf("%v; %d messages, gaps up to %v, at the median %v", faults, n, quiet[len(quiet)-1], quiet[len(quiet)/2])
	})
}

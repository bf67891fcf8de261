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

// sessionDeployment is a deployment with sites and edges of open sessions.
type sessionDeployment struct {
	*Deployment
	sites int
}

// sessionUser is a client with an open session, and the messages in both directions.
type sessionUser struct {
	mu           sync.Mutex
	id           string
	session      *sessionclient.Session
	received     []string
	queued       []string
	sent         []string
	consumed     []string
	longestGap   time.Duration // longest time between two received messages
	lastReceived time.Time
}

func (d *sessionDeployment) siteHTTP(n int) string {
	return fmt.Sprintf("%s:%d", d.ip(5, n), d.basePort+5)
}

func (d *sessionDeployment) edgeURL(n int) string {
	return fmt.Sprintf("ws://%s:%d", d.ip(6, n), d.basePort+4)
}

// newSessionDeployment starts n sites and two edges, and waits until all sites are active.
func newSessionDeployment(t *testing.T, n int) *sessionDeployment {
	d := &sessionDeployment{New(t, 3, 0), n}
	for i := range n {
		d.Start(fmt.Sprint("site", i), false)
	}
	for i := range 2 {
		d.Start(fmt.Sprint("edge", i), false)
	}
	d.Eventually("all sites are active", func() bool {
		return len(d.activeSites()) == n
	})
	return d
}

func (d *sessionDeployment) activeSites() (active []string) {
	for _, c := range d.Cores {
		if code, s := d.Call("GET", c, "/sites", "", nil); code == 200 {
			var m sites.Map
			json.Unmarshal([]byte(s), &m)
			for name, site := range m.Sites {
				if site.State == sites.StateActive {
					active = append(active, name)
				}
			}
			return active
		}
	}
	return nil
}

func (d *sessionDeployment) openSessions(ctx context.Context, n int) []*sessionUser {
	var users []*sessionUser
	for i := range n {
		user := &sessionUser{lastReceived: time.Now()}
		users = append(users, user)
		user.session = sessionclient.Open(ctx, []string{d.edgeURL(i % 2), d.edgeURL((i + 1) % 2)}, "", 0)
		<-user.session.Opened()
		token, _ := user.session.Token()
		user.id, _, _ = strings.Cut(token, ".")
		go func() {
			for m := range user.session.Messages() {
				user.mu.Lock()
				user.received = append(user.received, string(m))
				if now := time.Now(); len(user.received) > 1 {
					user.longestGap = max(user.longestGap, now.Sub(user.lastReceived))
					user.lastReceived = now
				} else {
					user.lastReceived = now
				}
				user.mu.Unlock()
			}
		}()
	}
	return users
}

// produce queues messages for a user until the context is done.
func (d *sessionDeployment) produce(ctx context.Context, user *sessionUser, n int, interval time.Duration) {
	var addrs []string
	for k := range d.sites {
		addrs = append(addrs, d.siteHTTP(k))
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for i, home := 0, n; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		body := fmt.Sprint(user.id[:6], "-", i)
		queueCtx, stop := context.WithTimeout(context.Background(), 15*time.Second) // not ctx: each call is to have a known outcome also when production stops
		site, err := sessionclient.Queue(queueCtx, addrs, home, user.id, fmt.Sprint(i), []byte(body))
		stop()
		if home = site; err == nil {
			user.mu.Lock()
			user.queued = append(user.queued, body)
			user.mu.Unlock()
		}
	}
}

// consume reads and acknowledges the messages that a client sent, as a consumer does.
func (d *sessionDeployment) consume(ctx context.Context, user *sessionUser) {
	client := http.Client{Timeout: 3 * time.Second}
	after := uint64(0)
	for n := 0; ctx.Err() == nil; n++ {
		resp, err := client.Get(fmt.Sprintf("http://%s/sessions/%s/inbox?after=%d", d.siteHTTP(n%d.sites), user.id, after))
		if err == nil {
			var msgs []struct {
				N    uint64
				Body string
			}
			if resp.StatusCode == 200 && json.NewDecoder(resp.Body).Decode(&msgs) == nil && len(msgs) > 0 {
				user.mu.Lock()
				for _, m := range msgs {
					user.consumed = append(user.consumed, m.Body)
					after = m.N
				}
				user.mu.Unlock()
				if r, err := client.Post(
					fmt.Sprintf("http://%s/sessions/%s/took?n=%d", d.siteHTTP(n%d.sites), user.id, after),
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

// startTraffic runs traffic for all users. end stops it, checks every message in both directions, and returns the
// longest gap between received messages of each user, sorted.
func (d *sessionDeployment) startTraffic(users []*sessionUser) (end func() (gaps []time.Duration)) {
	ctx, stop := context.WithCancel(context.Background())
	consumeCtx, stopConsuming := context.WithCancel(context.Background())
	var producers, consumers sync.WaitGroup
	for i, user := range users {
		producers.Add(2)
		consumers.Add(1)
		go func() { defer producers.Done(); d.produce(ctx, user, i, 25*time.Millisecond) }()
		go func() {
			defer producers.Done()
			tick := time.NewTicker(60 * time.Millisecond)
			defer tick.Stop()
			for k := 0; ; k++ {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
				body := fmt.Sprint(user.id[:6], ">", k)
				user.mu.Lock()
				user.sent = append(user.sent, body)
				user.mu.Unlock()
				_ = user.session.Send([]byte(body))
			}
		}()
		go func() { defer consumers.Done(); d.consume(consumeCtx, user) }()
	}
	return func() (gaps []time.Duration) {
		stop()
		producers.Wait()
		defer func() {
			if r := recover(); r != nil || d.t.Failed() {
				d.t.Log(d.describeMissing(users))
			}
		}()
		d.Eventually("all queued and sent messages are delivered", func() bool {
			for _, user := range users {
				user.mu.Lock()
				ok := len(user.received) >= len(user.queued) && len(user.consumed) >= len(user.sent)
				user.mu.Unlock()
				if !ok {
					return false
				}
			}
			return true
		})
		stopConsuming()
		consumers.Wait()
		for _, user := range users {
			user.mu.Lock()
			So(len(user.queued), ShouldBeGreaterThan, 5)
			if !slices.Equal(user.received, user.queued) {
				So(fmt.Sprint(user.received), ShouldEqual, fmt.Sprint(user.queued))
			}
			if !slices.Equal(user.consumed, user.sent) {
				So(fmt.Sprint(user.consumed), ShouldEqual, fmt.Sprint(user.sent))
			}
			gaps = append(gaps, user.longestGap)
			user.mu.Unlock()
		}
		slices.Sort(gaps)
		return gaps
	}
}

// describeMissing describes which users lack messages, and the sites' state of their sessions.
func (d *sessionDeployment) describeMissing(users []*sessionUser) string {
	var b strings.Builder
	for _, user := range users {
		user.mu.Lock()
		if len(user.received) < len(user.queued) || len(user.consumed) < len(user.sent) {
			fmt.Fprintf(
				&b,
				"%s: %d of %d received, %d of %d consumed, %d pending, %d connections\n",
				user.id[:6],
				len(user.received),
				len(user.queued),
				len(user.consumed),
				len(user.sent),
				user.session.Pending(),
				user.session.Connections(),
			)
			for n := range d.sites {
				_, s := d.Call("GET", d.siteHTTP(n), "/sessions/"+user.id, "", nil)
				fmt.Fprintf(&b, "  site%d: %s\n", n, s)
			}
		}
		user.mu.Unlock()
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
		d := newSessionDeployment(t, 3)
		Reset(d.Stop)
		ctx, stop := context.WithCancel(context.Background())
		Reset(stop)
		users := d.openSessions(ctx, 12)
		end := d.startTraffic(users)
		waitForMessages := func() {
			d.Eventually("messages arrive", func() bool {
				for _, a := range users {
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
		checkConnections := func() {
			for _, a := range users {
				So(a.session.Connections(), ShouldEqual, 1)
			}
		}
		busiestSite := func() int { // the site with the most sessions
			busiest := 0
			for n := range 3 {
				if d.sessionsAt(n) > d.sessionsAt(busiest) {
					busiest = n
				}
			}
			return busiest
		}
		sessionsCommand := func(args ...string) (int, string) {
			var b bytes.Buffer
			code := weirctl.Main(append([]string{"sessions"}, args...), &b, &b)
			return code, b.String()
		}
		waitForMessages()
		Convey("a site is killed: every queued message is delivered once and in order, and client connections stay open", func() {
			d.Kill(fmt.Sprint("site", busiestSite()))
			d.Eventually("it is out", func() bool { return len(d.activeSites()) == 2 })
			gaps := end()
			checkConnections()
			t.Logf("killed: longest gap %v", gaps[len(gaps)-1])
			So(gaps[len(gaps)-1], ShouldBeLessThan, 8*time.Second)
		})
		Convey("a site is drained, and comes back", func() {
			n := busiestSite()
			code, _ := sessionsCommand("drain", "-pace", "50", d.Cores[0], fmt.Sprint("site", n))
			So(code, ShouldEqual, 0)
			d.Eventually("its sessions have moved", func() bool { return d.sessionsAt(n) == 0 })
			code, s := sessionsCommand("status", d.Cores[1])
			So(code, ShouldEqual, 0)
			So(s, ShouldContainSubstring, "draining")
			code, s = sessionsCommand("show", d.Cores[1], users[0].id)
			So(code, ShouldEqual, 0)
			So(s, ShouldContainSubstring, `"home":"site`)
			code, _ = sessionsCommand("undrain", d.Cores[2], fmt.Sprint("site", n))
			So(code, ShouldEqual, 0)
			gaps := end()
			checkConnections()
			t.Logf("drained: longest gap %v", gaps[len(gaps)-1])
		})
		Convey("a site is frozen until its sessions were taken over, and resumes: it delivers nothing", func() {
			site := fmt.Sprint("site", busiestSite())
			d.Signal(site, syscall.SIGSTOP)
			d.Eventually("it is out", func() bool { return len(d.activeSites()) == 2 })
			d.Signal(site, syscall.SIGCONT)
			d.Eventually("it is active again", func() bool { return len(d.activeSites()) == 3 })
			end()
			checkConnections()
		})
		Convey("a site gets SIGTERM: it hands its sessions over first", func() {
			site := fmt.Sprint("site", busiestSite())
			d.Signal(site, syscall.SIGTERM)
			d.processes[site].Wait()
			end()
			checkConnections()
		})
		Convey("an edge is killed: its clients reconnect at the other one", func() {
			d.Kill("edge0")
			end()
			for _, a := range users {
				So(a.session.Connections(), ShouldBeLessThanOrEqualTo, 2)
			}
		})
		Convey("a site is killed together with the core's leader", func() {
			d.Kill(leader(d.Deployment))
			d.Kill(fmt.Sprint("site", busiestSite()))
			d.Eventually("it is out", func() bool { return len(d.activeSites()) == 2 })
			end()
			checkConnections()
		})
		Convey("a site is drained while its neighbour crashes", func() {
			n := busiestSite()
			sessionsCommand("drain", "-pace", "6", d.Cores[0], fmt.Sprint("site", n))
			d.Kill(fmt.Sprint("site", (n+1)%3))
			d.Eventually("the crashed site is out", func() bool { return len(d.activeSites()) == 1 })
			d.Eventually("the undrain is acknowledged", func() bool { // a machine without contact answers 503
				code, _ := sessionsCommand("undrain", d.Cores[1], fmt.Sprint("site", n))
				return code == 0 || len(d.activeSites()) == 2
			})
			d.Eventually("two sites are active", func() bool { return len(d.activeSites()) == 2 })
			end()
			checkConnections()
		})
	})
}

// Malformed and wrong tokens, unknown sessions and messages that are too long are rejected; a token that is used again
// takes its session over; a plain WebSocket client can open a session.
func TestSessionRequestLimits(t *testing.T) {
	Convey("With two sites and an edge", t, func() {
		d := newSessionDeployment(t, 2)
		Reset(d.Stop)
		ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
		Reset(stop)
		edgeAddr := strings.TrimPrefix(d.edgeURL(0), "ws://")
		code, _ := d.Call("GET", edgeAddr, "/session?token=short", "", nil)
		So(code, ShouldEqual, 400)
		code, _ = d.Call("GET", edgeAddr, "/session?got=x", "", nil)
		So(code, ShouldEqual, 400)
		a := d.openSessions(ctx, 1)[0]
		token, _ := a.session.Token()
		stolen := sessionclient.Open(ctx, []string{d.edgeURL(0)}, a.id+"."+strings.Repeat("0", 32), 0)
		_, received := <-stolen.Messages()
		So(received, ShouldBeFalse)
		So(stolen.Err(), ShouldNotBeNil)
		big, _ := d.Call("POST", d.siteHTTP(0), "/sessions/"+a.id+"/messages", "", make([]byte, 100<<10))
		So(big, ShouldEqual, 413)
		unknown, _ := d.Call("POST", d.siteHTTP(0), "/sessions/"+strings.Repeat("0", 32)+"/messages", "", []byte("x"))
		So(unknown, ShouldEqual, 404)
		// Opening with the same token takes the session over; the first connection is closed.
		again := sessionclient.Open(ctx, []string{d.edgeURL(1)}, token, 0)
		<-again.Opened()
		d.Eventually("the first session has ended", func() bool { return a.session.Err() != nil })
		again.Close()
		// A plain WebSocket client opens a session and sends; it receives message bodies only, and its socket outlives
		// its site.
		c, _, err := websocket.Dial(ctx, d.edgeURL(0)+"/session", nil)
		So(err, ShouldBeNil)
		So(c.Write(ctx, websocket.MessageText, []byte("hello")), ShouldBeNil)
		c.CloseNow()
	})
}

// Kills, drains and freezes sites, one at a time, for the duration given by the environment variable SESSIONS; not run
// in CI.
func TestLongSessions(t *testing.T) {
	duration, err := time.ParseDuration(os.Getenv("SESSIONS"))
	if err != nil {
		t.Skip("set SESSIONS to a duration, such as 30m, to run it")
	}
	Convey("A long run", t, func() {
		d := newSessionDeployment(t, 4)
		ctx, stop := context.WithCancel(context.Background())
		Reset(d.Stop)
		Reset(stop)
		users := d.openSessions(ctx, 24)
		end := d.startTraffic(users)
		faults := map[string]int{}
		for until := time.Now().Add(duration); time.Now().Before(until); {
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
				leaderName := leader(d.Deployment)
				d.Kill(leaderName)
				d.Start(leaderName, false)
			}
			d.Eventually("all sites are active", func() bool { return len(d.activeSites()) == 4 })
			<-time.After(1500 * time.Millisecond)
		}
		gaps := end()
		n := 0
		for _, a := range users {
			n += len(a.queued)
		}
		t.Logf("%v; %d messages, gaps up to %v, at the median %v", faults, n, gaps[len(gaps)-1], gaps[len(gaps)/2])
	})
}

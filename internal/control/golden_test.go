package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/fleet/mesh"
	"weirwind/internal/fleet/zones"
	"weirwind/internal/standin/golden"
	"weirwind/internal/switchover"
)

// fakeDriver takes every call; err is what it says to those that may fail.
type fakeDriver struct {
	err            error
	peersOff, zOff bool
	taken          []string
}

func (d *fakeDriver) HandleHook(n switchover.Notification) (switchover.Notification, error) {
	d.taken = append(d.taken, fmt.Sprintf("hook %v", n))
	n.Epoch, n.From = 7, "m1"
	return n, d.err
}

func (d *fakeDriver) HandlePeer(n switchover.Notification) error {
	d.taken = append(d.taken, fmt.Sprintf("peer %v", n))
	return d.err
}

func (d *fakeDriver) Status() []switchover.ChangeStatus {
	return []switchover.ChangeStatus{{Notification: switchover.Notification{Group: 3, Epoch: 7,
		Stage: switchover.StageHeld, From: "m1", Lease: 900.5}, Draining: "m1", Remaining: 12}}
}

func (d *fakeDriver) Membership() Membership {
	if d.peersOff {
		return nil
	}
	return &fakeMembership{d}
}

func (d *fakeDriver) Zones() Zones {
	if d.zOff {
		return nil
	}
	return &fakeZones{d}
}

type fakeMembership struct{ d *fakeDriver }

func (f *fakeMembership) Status() membership.Status {
	return membership.Status{Self: "n0", DriverCount: 3}
}
func (f *fakeMembership) Leave() { f.d.taken = append(f.d.taken, "leave") }
func (f *fakeMembership) Forget(name string, certain bool) error {
	f.d.taken = append(f.d.taken, fmt.Sprintf("forget %s %v", name, certain))
	return f.d.err
}

func (f *fakeMembership) Compare(context.Context) []mesh.DriverView {
	return []mesh.DriverView{{Name: "n0", Status: &membership.Status{Self: "n0"}}, {Name: "n1", Error: "silent"}}
}

type fakeZones struct{ d *fakeDriver }

func (f *fakeZones) Status() zones.Status { return zones.Status{Self: "n0", Zone: "a", Age: -1} }
func (f *fakeZones) Preview(zone string) (zones.Preview, error) {
	f.d.taken = append(f.d.taken, "without "+zone)
	return zones.Preview{BindingConstraints: []string{"none"}}, f.d.err
}

func (f *fakeZones) Submit(c zones.Command) error {
	f.d.taken = append(f.d.taken, fmt.Sprintf("order %s %v %g %v", c.Zone, c.Evacuate, c.Duration, c.Freeze != nil))
	return f.d.err
}

// plainDriver knows neither peers nor zones.
type plainDriver struct{ d *fakeDriver }

func (p plainDriver) HandleHook(n switchover.Notification) (switchover.Notification, error) {
	return p.d.HandleHook(n)
}
func (p plainDriver) HandlePeer(n switchover.Notification) error { return p.d.HandlePeer(n) }
func (p plainDriver) Status() []switchover.ChangeStatus          { return p.d.Status() }

const heldBody = `{"group":3,"epoch":0,"stage":"held","from":"m1","to":"m2","beat":2,"lease":10.5,"age":1}`

// exchange makes one call and returns its answer and what the driver took, as text.
func exchange(s Switcher, d *fakeDriver, token, method, path, auth, body string) string {
	d.taken = nil
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if auth != "" {
		r.Header.Set("Authorization", auth)
	}
	w := httptest.NewRecorder()
	handler(s, token).ServeHTTP(w, r)
	return fmt.Sprintf("%d %v %s | %s", w.Code, w.Header(), w.Body, strings.Join(d.taken, "; "))
}

// Every call with its status, headers and body, as the build before the refactoring answered it.
func TestRecordedAnswers(t *testing.T) {
	var cases []golden.Case[string]
	add := func(name, answer string) { cases = append(cases, golden.Of(name, answer)) }
	calls := []struct{ method, path, body string }{
		{"GET", "/switch", ""}, {"POST", "/switch", heldBody}, {"POST", "/switch", "{"},
		{"POST", "/switch", `{"odd":1}`}, {"POST", "/switch", `{"to":"` + strings.Repeat("x", 70<<10) + `"}`},
		{"POST", "/switch", `{"stage":"asleep"}`},
		{"POST", "/switch/told", "[" + heldBody + "," + heldBody + "]"}, {"POST", "/switch/told", "{}"},
		{"POST", "/switch/told", "[" + strings.Repeat("{},", 256) + "{}]"},
		{"GET", "/membership", ""}, {"GET", "/membership/compare", ""}, {"POST", "/membership/leave", ""},
		{"POST", "/membership/forget", `{"name":"n1","certain":true}`}, {"POST", "/membership/forget", "{"},
		{"GET", "/zones", ""}, {"GET", "/zones/plan?without=a", ""}, {"POST", "/zones/order", `{"zone":"a","away":true}`},
		{"POST", "/zones/order", "x"}, {"DELETE", "/switch", ""}, {"GET", "/nothing", ""},
	}
	for i, c := range calls {
		d := &fakeDriver{}
		name := fmt.Sprintf("%02d %s %s", i, c.method, c.path)
		add(name, exchange(d, d, "", c.method, c.path, "", c.body))
		add(name+" peer", exchange(d, d, "secret", c.method, c.path, "Bearer secret", c.body))
		add(name+" plain", exchange(plainDriver{d}, d, "", c.method, c.path, "", c.body))
		off := &fakeDriver{peersOff: true, zOff: true}
		add(name+" off", exchange(off, off, "", c.method, c.path, "", c.body))
	}
	d := &fakeDriver{}
	add("no token", exchange(d, d, "secret", "GET", "/switch", "", ""))
	add("wrong token", exchange(d, d, "secret", "GET", "/switch", "Bearer secreT", ""))
	for _, err := range []error{switchover.ErrUnknownPrimary, switchover.ErrStale, switchover.ErrNoChange,
		switchover.ErrChangeFinished, switchover.ErrLeaseExpired, switchover.ErrTooManyGroups, switchover.ErrInvalid,
		ErrNotInMajority, membership.ErrUnknownDriver, membership.ErrNoMajority, membership.ErrAlive, zones.ErrNoPlan,
		zones.ErrNotInForce, zones.ErrUnknownZone, zones.ErrNotLeader, errors.New("another")} {
		for _, path := range []string{"/switch", "/switch/told", "/membership/forget", "/zones/order"} {
			d := &fakeDriver{err: fmt.Errorf("wrapped: %w", err)}
			body := map[string]string{"/switch/told": "[" + heldBody + "]", "/switch": heldBody}[path]
			if body == "" {
				body = "{}"
			}
			add(path+": "+err.Error(), exchange(d, d, "", "POST", path, "", body))
		}
	}
	golden.Text(t, "testdata/answers.txt", cases)
}

// recorder keeps the requests that a client sends and gives one answer to all.
type recorder struct {
	sent    []string
	status  int
	body    string
	timeout time.Duration // of the newest call, rounded to seconds
}

func (r *recorder) RoundTrip(q *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return nil, err
	}
	if deadline, ok := q.Context().Deadline(); ok {
		r.timeout = time.Until(deadline).Round(time.Second)
	}
	r.sent = append(r.sent, fmt.Sprintf("%s %s %v %s", q.Method, q.URL, q.Header, body))
	return &http.Response{StatusCode: r.status, Status: fmt.Sprintf("%d %s", r.status, http.StatusText(r.status)),
		Body: io.NopCloser(strings.NewReader(r.body)), Request: q}, nil
}

// Every call of the client, as the build before the refactoring made it, and what becomes of a refusal.
func TestRecordedCalls(t *testing.T) {
	var cases []golden.Case[string]
	ctx, on := context.Background(), true
	n := switchover.Notification{Group: 3, Stage: switchover.StageHeld, From: "m1", Lease: 10.5}
	calls := map[string]func(c *Client) error{
		"hook":    func(c *Client) error { _, err := c.NotifyHook(ctx, n); return err },
		"tell":    func(c *Client) error { return c.NotifyPeer(ctx, []switchover.Notification{n, n}) },
		"status":  func(c *Client) error { _, err := c.Status(ctx); return err },
		"members": func(c *Client) error { _, err := c.Membership(ctx); return err },
		"compare": func(c *Client) error { _, err := c.Compare(ctx); return err },
		"leave":   func(c *Client) error { return c.Leave(ctx) },
		"forget":  func(c *Client) error { return c.Forget(ctx, ForgetRequest{Name: "n1", Certain: true}) },
		"zones":   func(c *Client) error { _, err := c.Zones(ctx); return err },
		"without": func(c *Client) error { _, err := c.PreviewZones(ctx, "a b&c"); return err },
		"order":   func(c *Client) error { return c.SubmitZoneCommand(ctx, zones.Command{Zone: "a", Freeze: &on}) },
	}
	for _, name := range []string{"hook", "tell", "status", "members", "compare", "leave", "forget", "zones", "without",
		"order"} {
		for _, answer := range []recorder{{status: 200, body: "null"}, {status: 409, body: " no: because\n"}} {
			c := NewClient("a:1", map[int]string{200: "secret"}[answer.status])
			c.http.Transport = &answer
			err := calls[name](c)
			cases = append(cases, golden.Of(fmt.Sprintf("%s %d", name, answer.status), fmt.Sprintf("%s | %v | %v",
				strings.Join(answer.sent, "; "), err, answer.timeout)))
			if c.http.Timeout != callTimeout {
				t.Errorf("%s leaves other calls a timeout of %v", name, c.http.Timeout)
			}
		}
	}
	golden.Text(t, "testdata/calls.txt", cases)
}

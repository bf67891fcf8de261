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

// fakeDriver records every call, and returns err from those that can fail.
type fakeDriver struct {
	err                     error
	membershipOff, zonesOff bool
	received                []string
}

func (d *fakeDriver) HandleHook(n switchover.Notification) (switchover.Notification, error) {
	d.received = append(d.received, fmt.Sprintf("hook %v", n))
	n.Epoch, n.From = 7, "m1"
	return n, d.err
}

func (d *fakeDriver) HandlePeer(n switchover.Notification) error {
	d.received = append(d.received, fmt.Sprintf("peer %v", n))
	return d.err
}

func (d *fakeDriver) Status() []switchover.ChangeStatus {
	return []switchover.ChangeStatus{{Notification: switchover.Notification{Group: 3, Epoch: 7,
		Stage: switchover.StageHeld, From: "m1", Lease: 900.5}, Draining: "m1", Remaining: 12}}
}

func (d *fakeDriver) Membership() Membership {
	if d.membershipOff {
		return nil
	}
	return &fakeMembership{d}
}

func (d *fakeDriver) Zones() Zones {
	if d.zonesOff {
		return nil
	}
	return &fakeZones{d}
}

type fakeMembership struct{ d *fakeDriver }

func (f *fakeMembership) Status() membership.Status {
	return membership.Status{Self: "n0", DriverCount: 3}
}
func (f *fakeMembership) Leave() { f.d.received = append(f.d.received, "leave") }
func (f *fakeMembership) Forget(name string, certain bool) error {
	f.d.received = append(f.d.received, fmt.Sprintf("forget %s %v", name, certain))
	return f.d.err
}

func (f *fakeMembership) Compare(context.Context) []mesh.DriverView {
	return []mesh.DriverView{{Name: "n0", Status: &membership.Status{Self: "n0"}}, {Name: "n1", Error: "silent"}}
}

type fakeZones struct{ d *fakeDriver }

func (f *fakeZones) Status() zones.Status { return zones.Status{Self: "n0", Zone: "a", Age: -1} }
func (f *fakeZones) Preview(zone string) (zones.Preview, error) {
	f.d.received = append(f.d.received, "without "+zone)
	return zones.Preview{BindingConstraints: []string{"none"}}, f.d.err
}

func (f *fakeZones) Submit(c zones.Command) error {
	f.d.received = append(f.d.received, fmt.Sprintf("order %s %v %g %v", c.Zone, c.Evacuate, c.Duration, c.Freeze != nil))
	return f.d.err
}

// plainDriver supports neither membership nor zones.
type plainDriver struct{ d *fakeDriver }

func (p plainDriver) HandleHook(n switchover.Notification) (switchover.Notification, error) {
	return p.d.HandleHook(n)
}
func (p plainDriver) HandlePeer(n switchover.Notification) error { return p.d.HandlePeer(n) }
func (p plainDriver) Status() []switchover.ChangeStatus          { return p.d.Status() }

const heldBody = `{"group":3,"epoch":0,"stage":"held","from":"m1","to":"m2","beat":2,"lease":10.5,"age":1}`

// serveRequest makes one call, and returns its response and the calls that the driver received as text.
func serveRequest(s Switcher, d *fakeDriver, token, method, path, auth, body string) string {
	d.received = nil
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if auth != "" {
		request.Header.Set("Authorization", auth)
	}
	response := httptest.NewRecorder()
	handler(s, token).ServeHTTP(response, request)
	return fmt.Sprintf("%d %v %s | %s", response.Code, response.Header(), response.Body, strings.Join(d.received, "; "))
}

// Compares the status, headers and body of every call with those recorded from the build before a refactoring.
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
		add(name, serveRequest(d, d, "", c.method, c.path, "", c.body))
		add(name+" peer", serveRequest(d, d, "secret", c.method, c.path, "Bearer secret", c.body))
		add(name+" plain", serveRequest(plainDriver{d}, d, "", c.method, c.path, "", c.body))
		off := &fakeDriver{membershipOff: true, zonesOff: true}
		add(name+" off", serveRequest(off, off, "", c.method, c.path, "", c.body))
	}
	d := &fakeDriver{}
	add("no token", serveRequest(d, d, "secret", "GET", "/switch", "", ""))
	add("wrong token", serveRequest(d, d, "secret", "GET", "/switch", "Bearer secreT", ""))
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
			add(path+": "+err.Error(), serveRequest(d, d, "", "POST", path, "", body))
		}
	}
	golden.Text(t, "testdata/answers.txt", cases)
}

// recorder records the requests that a client sends, and answers each of them in the same way.
type recorder struct {
	sent    []string
	status  int
	body    string
	timeout time.Duration // of the last call, rounded to seconds
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

// Compares every request of the client, and its errors for a response of 409, with those recorded from the build before
// a refactoring.
func TestRecordedCalls(t *testing.T) {
	var cases []golden.Case[string]
	ctx, freeze := context.Background(), true
	notification := switchover.Notification{Group: 3, Stage: switchover.StageHeld, From: "m1", Lease: 10.5}
	calls := map[string]func(c *Client) error{
		"hook":    func(c *Client) error { _, err := c.NotifyHook(ctx, notification); return err },
		"tell":    func(c *Client) error { return c.NotifyPeer(ctx, []switchover.Notification{notification, notification}) },
		"status":  func(c *Client) error { _, err := c.Status(ctx); return err },
		"members": func(c *Client) error { _, err := c.Membership(ctx); return err },
		"compare": func(c *Client) error { _, err := c.Compare(ctx); return err },
		"leave":   func(c *Client) error { return c.Leave(ctx) },
		"forget":  func(c *Client) error { return c.Forget(ctx, ForgetRequest{Name: "n1", Certain: true}) },
		"zones":   func(c *Client) error { _, err := c.Zones(ctx); return err },
		"without": func(c *Client) error { _, err := c.PreviewZones(ctx, "a b&c"); return err },
		"order":   func(c *Client) error { return c.SubmitZoneCommand(ctx, zones.Command{Zone: "a", Freeze: &freeze}) },
	}
	for _, name := range []string{"hook", "tell", "status", "members", "compare", "leave", "forget", "zones", "without",
		"order"} {
		for _, answer := range []recorder{{status: 200, body: "null"}, {status: 409, body: " no: because\n"}} {
			client := NewClient("a:1", map[int]string{200: "secret"}[answer.status])
			client.http.Transport = &answer
			err := calls[name](client)
			cases = append(cases, golden.Of(fmt.Sprintf("%s %d", name, answer.status), fmt.Sprintf("%s | %v | %v",
				strings.Join(answer.sent, "; "), err, answer.timeout)))
			if client.http.Timeout != callTimeout {
				t.Errorf("%s changed the timeout of other calls to %v", name, client.http.Timeout)
			}
		}
	}
	golden.Text(t, "testdata/calls.txt", cases)
}

// Package control is the word to and from a driver beside its ops: HTTP over a Unix socket for hooks and operators of
// the same machine, and, where it is switched on, over TCP with a shared secret for fellow drivers.
//
// This file owns the form of calls and answers. It must never decide on a word, keep one, or let a caller that is
// slow or sends too much cost anybody else anything.
package control

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/fleet/mesh"
	"weirwind/internal/switchover"
)

// Switcher takes words on changes of primaries. Its methods may be called from several goroutines.
type Switcher interface {
	HandleHook(switchover.Notification) (switchover.Notification, error)
	HandlePeer(switchover.Notification) error
	Status() []switchover.ChangeStatus
}

// Fellowship is a driver's view of its fellows. Its methods may be called from several goroutines.
type Membership interface {
	Status() membership.Status
	Leave()
	Forget(name string, certain bool) error
	Compare(context.Context) []mesh.Compared
}

// joined is what a Switcher also is where drivers know each other; nil while they do not.
type membershipProvider interface{ Membership() Membership }

// ErrStanding is of a word that this driver may not take in its standing among its fellows.
var ErrNotInMajority = errors.New("this driver is not with the larger part of the fleet: ask another one")

var errNoFellows = errors.New("membership is not switched on in the operators' file")

const (
	mostBody  = 64 << 10
	mostWords = 256
	callTime  = 2 * time.Second

	compareTime = 20 * time.Second // for all fellows' answers
	mostAnswer  = 64 << 20
)

// status gives an error's HTTP status.
func status(err error) int {
	switch {
	case errors.Is(err, switchover.ErrStale), errors.Is(err, switchover.ErrChangeFinished),
		errors.Is(err, switchover.ErrLeaseExpired):
		return http.StatusConflict
	case errors.Is(err, switchover.ErrNoChange), errors.Is(err, errNoFellows), errors.Is(err, membership.ErrUnknownDriver):
		return http.StatusNotFound
	case errors.Is(err, ErrNotInMajority), errors.Is(err, membership.ErrNoMajority):
		return http.StatusServiceUnavailable
	case errors.Is(err, membership.ErrAlive):
		return http.StatusConflict
	case errors.Is(err, switchover.ErrTooManyGroups):
		return http.StatusTooManyRequests
	}
	return http.StatusBadRequest
}

// handler answers calls; an empty token asks for none.
func handler(s Switcher, token string) http.Handler {
	mux := http.NewServeMux()
	answer := func(w http.ResponseWriter, x any) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(x) // the caller may have left
	}
	mux.HandleFunc("GET /switch", func(w http.ResponseWriter, r *http.Request) { answer(w, s.Status()) })
	mux.HandleFunc("POST /switch", func(w http.ResponseWriter, r *http.Request) {
		var word switchover.Notification
		if err := read(w, r, &word); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		word, err := s.HandleHook(word)
		if err != nil {
			http.Error(w, err.Error(), status(err))
			return
		}
		answer(w, word)
	})
	mux.HandleFunc("POST /switch/told", func(w http.ResponseWriter, r *http.Request) {
		var words []switchover.Notification
		err := read(w, r, &words)
		if err == nil && len(words) > mostWords {
			err = fmt.Errorf("%d words; %d at most", len(words), mostWords)
		}
		for i := 0; err == nil && i < len(words); i++ {
			err = s.HandlePeer(words[i])
		}
		if err != nil {
			http.Error(w, err.Error(), status(err))
		}
	})
	if token == "" {
		fellowship(mux, s, answer)
		zoneCalls(mux, s, answer)
		return mux
	}
	want := []byte("Bearer " + token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			http.Error(w, "the token is missing or wrong", http.StatusUnauthorized)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// Forgotten names a driver that operators say is gone.
type ForgetRequest struct {
	Name    string `json:"name"`
	Certain bool   `json:"certain"` // they made sure that it does not run
}

// fellowship answers calls on fellows; only who may open the Unix socket may make them.
func fellowship(mux *http.ServeMux, s Switcher, answer func(http.ResponseWriter, any)) {
	with := func(do func(http.ResponseWriter, *http.Request, Membership) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			err := errNoFellows
			if j, ok := s.(membershipProvider); ok {
				if f := j.Membership(); f != nil {
					err = do(w, r, f)
				}
			}
			if err != nil {
				http.Error(w, err.Error(), status(err))
			}
		}
	}
	mux.HandleFunc("GET /membership", with(func(w http.ResponseWriter, r *http.Request, f Membership) error {
		answer(w, f.Status())
		return nil
	}))
	mux.HandleFunc("GET /membership/compare", with(func(w http.ResponseWriter, r *http.Request, f Membership) error {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(compareTime)) // every server here has one
		answer(w, f.Compare(r.Context()))
		return nil
	}))
	mux.HandleFunc("POST /membership/leave", with(func(w http.ResponseWriter, r *http.Request, f Membership) error {
		f.Leave()
		return nil
	}))
	mux.HandleFunc("POST /membership/forget", with(func(w http.ResponseWriter, r *http.Request, f Membership) error {
		var who ForgetRequest
		if err := read(w, r, &who); err != nil {
			return err
		}
		return f.Forget(who.Name, who.Certain)
	}))
}

func read(w http.ResponseWriter, r *http.Request, x any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostBody))
	d.DisallowUnknownFields()
	return d.Decode(x)
}

// Serve answers calls until the context ends.
func Serve(ctx context.Context, ln net.Listener, s Switcher, token string) error {
	server := &http.Server{Handler: handler(s, token), ReadTimeout: callTime, WriteTimeout: callTime,
		IdleTimeout: 10 * time.Second, MaxHeaderBytes: 8 << 10}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(&limited{Listener: ln, places: make(chan struct{}, 32)})
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// limited takes no more connections at a time than it has places; others wait in the kernel's queue.
type limited struct {
	net.Listener
	places chan struct{}
}

func (l *limited) Accept() (net.Conn, error) {
	l.places <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	return &placed{Conn: c, leave: func() { <-l.places }}, nil
}

type placed struct {
	net.Conn
	leave func()
	once  sync.Once
}

func (p *placed) Close() error {
	p.once.Do(p.leave)
	return p.Conn.Close()
}

// Client calls one driver. The address is a path of a Unix socket, with a slash in it, or host:port.
type Client struct {
	Address, Token string
	http           http.Client
}

// NewClient makes one; it keeps connections between calls.
func NewClient(address, token string) *Client {
	c := &Client{Address: address, Token: token}
	network := "tcp"
	if strings.Contains(address, "/") {
		network = "unix"
	}
	c.http = http.Client{Timeout: callTime, Transport: &http.Transport{MaxIdleConns: 1, IdleConnTimeout: 5 * time.Second,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: callTime}).DialContext(ctx, network, address)
		}}}
	return c
}

// Close lets go of connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Hook gives a word as a hook does; the word that comes back is whole.
func (c *Client) NotifyHook(ctx context.Context, w switchover.Notification) (whole switchover.Notification, err error) {
	return whole, c.call(ctx, http.MethodPost, "/switch", w, &whole)
}

// Tell gives words as a fellow driver does.
func (c *Client) NotifyPeer(ctx context.Context, words []switchover.Notification) error {
	return c.call(ctx, http.MethodPost, "/switch/told", words, nil)
}

// Status asks what is known.
func (c *Client) Status(ctx context.Context) (all []switchover.ChangeStatus, err error) {
	return all, c.call(ctx, http.MethodGet, "/switch", nil, &all)
}

// Fellows asks for the driver's view of its fellows.
func (c *Client) Membership(ctx context.Context) (s membership.Status, err error) {
	return s, c.call(ctx, http.MethodGet, "/membership", nil, &s)
}

// Compare asks for the views of all drivers that this one knows, its own first.
func (c *Client) Compare(ctx context.Context) (all []mesh.Compared, err error) {
	c.http.Timeout = compareTime
	return all, c.call(ctx, http.MethodGet, "/membership/compare", nil, &all)
}

// Leave has the driver leave its fellows; it goes on serving.
func (c *Client) Leave(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, "/membership/leave", nil, nil)
}

// Forget has a failed driver taken off the roster.
func (c *Client) Forget(ctx context.Context, who ForgetRequest) error {
	return c.call(ctx, http.MethodPost, "/membership/forget", who, nil)
}

func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	var b bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&b).Encode(body); err != nil {
			return err
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://driver"+path, &b)
	if err != nil {
		return err
	}
	if c.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.Token)
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, mostAnswer))
	switch {
	case err != nil:
		return err
	case answer.StatusCode != http.StatusOK:
		return fmt.Errorf("%s: %s", answer.Status, strings.TrimSpace(string(text)))
	case into == nil:
		return nil
	}
	return json.Unmarshal(text, into)
}

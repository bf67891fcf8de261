// Package registry speaks to key-value registries that hold members: etcd's v3 API in its plain HTTP form, and Consul's
// HTTP API. It carries out the calls that a roster.Scheduler names and tells what came. It must never choose an
// endpoint, a pause or a revision itself, keep a list, or wait without an end.
//
// This file owns the calls' way over HTTP, what their ends mean, and the loop that carries out a course.
package registry

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"weirwind/internal/roster"
)

// Options name a registry; they are the operators' file's, checked there.
type Options struct {
	Dialect         string
	Endpoints       []string
	Prefix          string
	Service         string
	CredentialsFile string
	CAFile          string
	WatchTimeout    time.Duration // of a watch that gives no sign
}

// Client is one dialect. Each call goes to one endpoint and ends with the context. Tell is called with what came, in
// order; the error says how the call ended, see EndOf.
type Client interface {
	// Read gives the whole list, the registry's newest where exact, else any server's own.
	List(ctx context.Context, endpoint int, exact bool, tell func(roster.Update)) error
	// Follow gives what changes from a revision on, until an error; sign is called for each sign of life.
	Watch(ctx context.Context, endpoint int, from int64, sign func(), tell func(roster.Update)) error
}

// Dialect is all that one registry is asked.
type Backend interface {
	Client
	LeaseClient
}

const (
	connectTime = 2 * time.Second
	callTime    = 10 * time.Second // of a call that is to be answered at once
	maxAnswer   = 64 << 20         // bytes of one answer, or one message of a watch
	pageSize    = 2000             // entries asked for at once
)

// Errors that tell how a call ended.
var (
	errCompacted = errors.New("the revision is not kept any more")
	errRefused   = errors.New("refused")
	errLagging   = errors.New("the server is behind what is known")
	errSilent    = errors.New("no sign of life")
	errCancelled = errors.New("the registry ended the watch")
)

// EndOf gives the meaning of a call's error.
func ResultOf(err error) roster.CallResult {
	switch {
	case err == nil:
		return roster.CallSucceeded
	case errors.Is(err, errCompacted):
		return roster.CallCompacted
	case errors.Is(err, errRefused):
		return roster.CallRejected
	case errors.Is(err, errLagging):
		return roster.CallStale
	case errors.Is(err, errSilent):
		return roster.CallTimedOut
	}
	return roster.CallBroken
}

// New makes a client. An error: the certificates can't be read.
func New(o Options) (Backend, error) {
	h := &caller{o: o}
	t := &http.Transport{DialContext: (&net.Dialer{Timeout: connectTime}).DialContext, TLSHandshakeTimeout: connectTime,
		MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, DisableCompression: true}
	if o.CAFile != "" {
		pem, err := os.ReadFile(o.CAFile)
		if err != nil {
			return nil, err
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("%s: no certificate in it", o.CAFile)
		}
		t.TLSClientConfig = &tls.Config{RootCAs: pool}
	}
	h.http.Transport = t
	if o.Dialect == "consul" {
		return &consul{caller: h}, nil
	}
	return &etcd{caller: h, tokens: map[int]string{}}, nil
}

// caller makes single calls.
type caller struct {
	o    Options
	http http.Client
}

// credentials reads what the operators put into the file, anew each time: it may change in service.
func (h *caller) credentials() (string, error) {
	if h.o.CredentialsFile == "" {
		return "", nil
	}
	text, err := os.ReadFile(h.o.CredentialsFile)
	if err != nil {
		return "", fmt.Errorf("%w: %w", errRefused, err)
	}
	return strings.TrimSpace(string(text)), nil
}

// call sends a request and gives its answer, whose body the caller closes.
func (h *caller) call(
	ctx context.Context,
	method string,
	endpoint int,
	path string,
	header map[string]string,
	body any,
) (*http.Response, error) {
	var text io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		text = bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(ctx, method, h.o.Endpoints[endpoint]+path, text)
	if err != nil {
		return nil, err
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	return h.http.Do(r)
}

// bounded reads an answer whole.
func bounded(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxAnswer+1))
	if err == nil && len(b) > maxAnswer {
		err = fmt.Errorf("an answer of over %d bytes", maxAnswer)
	}
	return b, err
}

// watchdog ends a context when no sign of life has come for so long.
func watchdog(ctx context.Context, silence time.Duration) (watched context.Context, sign func(), stop func()) {
	watched, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(silence, func() { cancel(errSilent) })
	return watched, func() { timer.Reset(silence) }, func() {
		timer.Stop()
		cancel(nil)
	}
}

// ended gives the reason for which a watched call ended, where the watchdog had one.
func ended(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errSilent) {
		return errSilent
	}
	return err
}

// Watcher carries out a course: it keeps a list current until its context ends.
type Watcher struct {
	Client    Client
	Scheduler *roster.Scheduler
	Position  func() (revision int64, told bool) // up to where the list is known
	// Told takes an update; Held comes with the milliseconds after which to ask again.
	Apply        func(roster.Update) (roster.Verdict, float64)
	OnDisconnect func(error)    // the registry can't be heard
	OnActivity   func()         // it spoke
	Now          func() float64 // milliseconds
}

// Run goes on until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		call := w.Scheduler.Next(w.Position())
		if !sleep(ctx, call.Delay) {
			return
		}
		began, verdict, again := false, roster.VerdictApplied, 0.0
		broken, stop := context.WithCancel(ctx)
		tell := func(u roster.Update) {
			if verdict != roster.VerdictApplied && verdict != roster.VerdictFragment && verdict != roster.VerdictStale {
				return // what follows a gap waits for the whole list
			}
			began = true
			if verdict, again = w.Apply(u); verdict == roster.VerdictGap || verdict == roster.VerdictUnconfirmed {
				stop()
			}
		}
		var err error
		if call.Kind == roster.CallRead {
			limited, done := context.WithTimeout(broken, callTime)
			err = w.Client.List(limited, call.Endpoint, call.Linearizable, tell)
			done()
		} else {
			limited, done := context.WithTimeout(broken, time.Duration(call.MaxDuration*float64(time.Millisecond)))
			err = w.Client.Watch(limited, call.Endpoint, call.Revision, func() { began = true; w.OnActivity() }, tell)
			if broken.Err() == nil && limited.Err() != nil {
				err = nil
			}
			done()
		}
		stop()
		if ctx.Err() != nil {
			return
		}
		switch {
		case verdict == roster.VerdictUnconfirmed:
			w.Scheduler.ResyncAfter(again)
		case verdict == roster.VerdictGap:
			w.Scheduler.Resync(w.Now())
		case verdict == roster.VerdictFragment && err == nil && call.Kind == roster.CallWatch:
			w.OnDisconnect(errCancelled) // its time was over in the middle of a revision: half of it is none
			w.Scheduler.CallEnded(w.Now(), call.Kind, roster.CallSucceeded, began)
		case verdict == roster.VerdictStale && call.Kind == roster.CallRead && err == nil:
			w.Scheduler.CallEnded(w.Now(), call.Kind, roster.CallStale, began)
		default:
			if err != nil && ResultOf(err) != roster.CallCompacted {
				w.OnDisconnect(err)
			}
			w.Scheduler.CallEnded(w.Now(), call.Kind, ResultOf(err), began)
		}
	}
}

func sleep(ctx context.Context, ms float64) bool {
	if ms <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(time.Duration(ms * float64(time.Millisecond)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

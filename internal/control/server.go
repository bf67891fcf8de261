package control

// This file has the server: its limits, the check of its token, and the encoding of requests and responses.

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	callTimeout    = 2 * time.Second
	compareTimeout = 20 * time.Second // for the answers of all peers
	idleTimeout    = 10 * time.Second

	maxRequestBytes  = 64 << 10
	maxHeaderBytes   = 8 << 10
	maxConnections   = 32
	maxNotifications = 256 // in one request
)

// Serve serves calls on a listener until the context ends. With a token it serves peers, which must send it; without
// one it serves hooks and operators.
func Serve(ctx context.Context, ln net.Listener, switcher Switcher, token string) error {
	server := &http.Server{
		Handler:        handler(switcher, token),
		ReadTimeout:    callTimeout,
		WriteTimeout:   callTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(&limitedListener{Listener: ln, slots: make(chan struct{}, maxConnections)})
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// handler returns the handler of all calls that are served with the given token. An empty token requires none.
func handler(switcher Switcher, token string) http.Handler {
	mux := http.NewServeMux()
	handleSwitch(mux, switcher)
	if token == "" {
		handleMembership(mux, switcher)
		handleZones(mux, switcher)
		return mux
	}
	return authenticated(mux, token)
}

// authenticated returns a handler that serves only requests with the token.
func authenticated(next http.Handler, token string) http.Handler {
	want := []byte("Bearer " + token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			http.Error(w, "the token is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// serve returns a handler for a call, and maps the call's error to a status.
func (s statuses) serve(call func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := call(w, r); err != nil {
			http.Error(w, err.Error(), s.statusFor(err))
		}
	}
}

// readJSON decodes a request's body. Unknown fields are errors.
func readJSON(w http.ResponseWriter, r *http.Request, value any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	return withPublishedTypes(decoder.Decode(value))
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the caller may have disconnected
}

// limitedListener limits the number of open connections to the capacity of slots; others wait in the kernel's backlog.
type limitedListener struct {
	net.Listener
	slots chan struct{} // has one value for each open connection
}

// Accept waits for a slot, then for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: func() { <-l.slots }}, nil
}

// limitedConn releases its slot when it is closed for the first time.
type limitedConn struct {
	net.Conn
	release func()
	once    sync.Once
}

// Close closes the connection and releases its slot.
func (c *limitedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}

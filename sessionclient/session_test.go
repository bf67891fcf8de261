package sessionclient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/coder/websocket"
)

// edge is a server that accepts connections one at a time; the test reads and writes their lines.
type edge struct {
	t     *testing.T
	conns chan *websocket.Conn
	query chan string
}

func newEdge(t *testing.T) (e *edge, addr string) {
	t.Helper()
	e = &edge{t, make(chan *websocket.Conn), make(chan string, 9)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.query <- r.URL.String()
		c, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{subprotocol}})
		if err != nil {
			t.Error(err)
			return
		}
		select {
		case e.conns <- c:
			<-r.Context().Done()
		case <-t.Context().Done():
		}
	}))
	t.Cleanup(server.CloseClientConnections)
	return e, "ws" + strings.TrimPrefix(server.URL, "http")
}

// accept returns the next connection, and checks its request.
func (e *edge) accept(want string) *websocket.Conn {
	e.t.Helper()
	if got := <-e.query; got != want {
		e.t.Errorf("the request is %q, want %q", got, want)
	}
	return <-e.conns
}

func (e *edge) send(c *websocket.Conn, text string) {
	e.t.Helper()
	if err := c.Write(e.t.Context(), websocket.MessageText, []byte(text)); err != nil {
		e.t.Fatal(err)
	}
}

func (e *edge) expect(c *websocket.Conn, want string) {
	e.t.Helper()
	if _, got, err := c.Read(e.t.Context()); err != nil || string(got) != want {
		e.t.Fatalf("the client sent %q, want %q: %v", got, want, err)
	}
}

// A session over two connections, line by line: an unacknowledged message is sent again, a duplicate is delivered only
// once, and Err reports that the server has ended the session.
func TestSessionTranscript(t *testing.T) {
	server, addr := newEdge(t)
	s := Open(t.Context(), []string{addr}, "", 0)
	first := server.accept("/session")
	server.send(first, "s id.secret 0")
	<-s.Opened()
	for _, body := range []string{"one", "two"} {
		if err := s.Send([]byte(body)); err != nil {
			t.Fatal(err)
		}
	}
	server.expect(first, "m 1 one")
	server.expect(first, "m 2 two")
	server.send(first, "m 1 hello there")
	if got := string(<-s.Messages()); got != "hello there" {
		t.Errorf("%q came", got)
	}
	server.expect(first, "a 1")
	server.send(first, "a 1")
	server.send(first, "m 2 more")
	if got := string(<-s.Messages()); got != "more" {
		t.Errorf("%q came", got)
	}
	server.expect(first, "a 2")
	if s.Pending() != 1 || s.Connections() != 1 {
		t.Errorf("%d pending, %d connections", s.Pending(), s.Connections())
	}
	_ = first.CloseNow()

	second := server.accept("/session?token=id.secret&got=2")
	server.send(second, "s id.secret 1")
	server.expect(second, "m 2 two")
	server.send(second, "m 2 more") // a duplicate
	server.expect(second, "a 2")
	server.send(second, "m 3 last")
	if got := string(<-s.Messages()); got != "last" {
		t.Errorf("%q came", got)
	}
	server.expect(second, "a 3")
	server.send(second, "a 2")
	go second.Close(websocket.StatusPolicyViolation, "unknown session")
	if _, open := <-s.Messages(); open {
		t.Error("Messages isn't closed after the end of the session")
	}
	token, lastReceived := s.Token()
	if err := s.Err(); err == nil || !strings.HasPrefix(err.Error(), "the server ended the session: ") ||
		websocket.CloseStatus(err) != websocket.StatusPolicyViolation {
		t.Errorf("the session ended with %v", err)
	}
	if token != "id.secret" || lastReceived != 3 || s.Pending() != 0 || s.Connections() != 2 {
		t.Errorf("%s %d, %d pending, %d connections", token, lastReceived, s.Pending(), s.Connections())
	}
}

// Another process resumes a session: it must number its messages after those that the previous process sent.
func TestResumedTranscript(t *testing.T) {
	e, addr := newEdge(t)
	s := Open(t.Context(), []string{addr}, "id.secret", 7)
	c := e.accept("/session?token=id.secret&got=7")
	e.send(c, "s id.secret 4")
	<-s.Opened()
	if err := s.Send([]byte("five")); err != nil {
		t.Fatal(err)
	}
	e.expect(c, "m 5 five")
	s.Close()
	if err := s.Send(nil); !errors.Is(err, context.Canceled) {
		t.Errorf("Send after Close: %v", err)
	}
}

// A producer tries one site after the other until one has queued the message or rejects it for good.
func TestQueueTranscript(t *testing.T) {
	var calls []string
	site := func(name string, statuses ...int) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			calls = append(calls, fmt.Sprint(name, " ", r.Method, " ", r.URL, " ", r.Header.Get("Weirwind-Key"), " ",
				string(body)))
			w.WriteHeader(statuses[0])
			statuses = statuses[1:]
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	sites := []string{site("a", 404, 202, 413), site("b", 503, 200)}
	at, err := Queue(t.Context(), sites, 1, "s/1", "k", []byte("body"))
	if at != 1 || err != nil {
		t.Errorf("%d %v", at, err)
	}
	at, err = Queue(t.Context(), sites, 0, "s", "k", []byte("body"))
	if at != 0 || err != nil {
		t.Errorf("%d %v", at, err)
	}
	at, err = Queue(t.Context(), sites, at, "s", "k", []byte("body"))
	if at != 0 || fmt.Sprint(err) != "session s: 413 Request Entity Too Large" {
		t.Errorf("%d %v", at, err)
	}
	want := []string{"b POST /sessions/s%2F1/messages k body", "a POST /sessions/s%2F1/messages k body",
		"b POST /sessions/s%2F1/messages k body"}
	if !slices.Equal(calls[:3], want) {
		t.Errorf("%q", calls)
	}
	ended, stop := context.WithCancel(t.Context())
	stop()
	if at, err = Queue(ended, sites, 3, "s", "k", nil); at != 1 || !errors.Is(err, context.Canceled) {
		t.Errorf("%d %v", at, err)
	}
}

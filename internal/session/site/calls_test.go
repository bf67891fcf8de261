package site

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"weirwind/internal/session/queue"
	"weirwind/internal/util/commandqueue"
	"weirwind/internal/util/settings"
)

// A caller that closes its sending half after its request still gets its answer, although net/http then cancels the
// request's context.
func TestCallersThatCloseTheirSendingHalfAreAnswered(t *testing.T) {
	r := &runner{settings: &settings.Settings{Hostname: "a"}, ctx: t.Context(), startedAt: time.Now(),
		commands: commandqueue.New(t.Context(), 16), limits: queue.DefaultLimits, edges: map[string]*link{},
		decider: queue.NewSite("a", queue.DefaultLimits)}
	server := httptest.NewServer(r.routes())
	defer server.Close()
	for call, want := range map[string]int{
		"GET /status":                   http.StatusOK,
		"GET /sessions/none":            http.StatusNotFound,
		"GET /sessions/none/inbox":      http.StatusNotFound,
		"POST /sessions/none/took?n=1":  http.StatusNotFound,
		"POST /sessions/none/messages?": http.StatusNotFound,
	} {
		t.Run(call, func(t *testing.T) {
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", call)
			conn.(*net.TCPConn).CloseWrite()
			statusCode := make(chan int, 1)
			go func() {
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					statusCode <- 0
					return
				}
				response.Body.Close()
				statusCode <- response.StatusCode
			}()
			for { // delay commands until the server has noticed the close
				select {
				case got := <-statusCode:
					if got != want {
						t.Errorf("status %d, want %d", got, want)
					}
					return
				case command := <-r.commands.Commands:
					time.Sleep(50 * time.Millisecond)
					command.Run()
				}
			}
		})
	}
}

package controlplane

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// If the platform accepts a call and closes the connection without a response, the client does not repeat the call,
// and it makes no call over an idle connection. The test fails with keep-alive connections, which may be closed
// unnoticed while they are idle.
func TestPlatformIsAskedOnce(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var conns, calls atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					req.Body.Close()
					if calls.Add(1)%2 == 0 {
						return // the call was carried out, but its response is lost
					}
					conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				}
			}()
		}
	}()
	failed := 0
	for range 10 {
		body := strings.NewReader(`{"svc":"s","id":"a"}`)
		resp, err := platformClient.Post("http://"+listener.Addr().String()+"/failover", "application/json", body)
		if err != nil {
			failed++
			continue
		}
		resp.Body.Close()
	}
	if calls.Load() != 10 || conns.Load() != 10 || failed != 5 {
		t.Errorf("10 calls, 5 of them without a response: %d arrived, over %d connections, %d failed",
			calls.Load(), conns.Load(), failed)
	}
}

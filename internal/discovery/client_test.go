package discovery

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

const sampleList = `{"revision":41,"complete":true,"members":[{"id":"s-1","host_port":"127.0.0.1:6432",` +
	`"locality":"a","flavor":"m2","cell":3,"phase":"up","size":1.0,"up_since_ms":5,"access":"writer"}]}`

// serveAnswers serves one connection after the other, each with its answers in turn, and reports the request lines.
func serveAnswers(t *testing.T, connections ...[]string) (address string, requests chan string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	requests = make(chan string, 100)
	go func() {
		for _, answers := range connections {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(conn)
			for _, answer := range answers {
				for line, isRequestLine := "x", true; line != "\r\n"; isRequestLine = false {
					if line, err = r.ReadString('\n'); err != nil {
						break
					}
					if isRequestLine {
						requests <- strings.TrimSpace(line)
					}
				}
				conn.Write([]byte(answer))
			}
			conn.Close()
		}
	}()
	return ln.Addr().String(), requests
}

func okResponse(body string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func TestCallsShareOneConnection(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n14;x=y\r\n" + sampleList[:20] + "\r\n" +
		strconv.FormatInt(int64(len(sampleList)-20), 16) + "\r\n" + sampleList[20:] + "\r\n0\r\nTrailer: x\r\n\r\n"
	address, requests := serveAnswers(t, []string{okResponse(sampleList), chunked,
		okResponse(`{"revision":42,"complete":false,"members":[]}`)})
	c := Client{Address: address, Timeout: 5 * time.Second}
	defer c.Close()
	for i := range 2 {
		response, err := c.List(context.Background())
		if err != nil || response.Revision != 41 || !response.Complete || len(response.Members) != 1 {
			t.Fatalf("call %d: %v %+v", i, err, response)
		}
		if entry := response.Members[0]; entry.ID != "s-1" || entry.Address != "127.0.0.1:6432" ||
			entry.Zone != "a" || entry.Group != 3 ||
			entry.Phase != PhaseUp || entry.Access != AccessWriter || entry.StartedAt != 5 {
			t.Errorf("%+v", entry)
		}
	}
	if a, err := c.Watch(context.Background(), 41, 1500*time.Millisecond); err != nil || a.Revision != 42 || a.Complete {
		t.Fatal(err, a)
	}
	for _, want := range []string{"GET /discovery/hosts HTTP/1.1", "GET /discovery/hosts HTTP/1.1",
		"GET /discovery/hosts?since=41&timeout_ms=1500 HTTP/1.1"} {
		if got := <-requests; got != want {
			t.Errorf("requested %q, want %q", got, want)
		}
	}
}

// A failed call returns an error, and the next call opens a new connection.
func TestFailedCallReturnsErrorAndReconnects(t *testing.T) {
	for name, answer := range map[string]string{
		"503":               "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"reset":             "",
		"truncated header":  "HTTP/1.1 200 OK\r\nConte",
		"truncated body":    "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n" + sampleList,
		"negative length":   "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n" + sampleList,
		"excessive length":  "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n" + sampleList,
		"bad chunk":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n" + sampleList,
		"chunk without end": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n" + sampleList,
		"incomplete list":   okResponse(`{"revision":41}`),
		"unknown phase":     okResponse(strings.Replace(sampleList, `"up"`, `"odd"`, 1)),
		"no address":        okResponse(strings.Replace(sampleList, "127.0.0.1:6432", "x", 1)),
		"truncated JSON":    okResponse(sampleList[:50]),
		"other protocol":    "SSH-2.0-x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serveAnswers(t, []string{answer}, []string{okResponse(sampleList)})
			c := Client{Address: address, Timeout: 5 * time.Second}
			defer c.Close()
			if a, err := c.List(context.Background()); err == nil {
				t.Errorf("%+v", a)
			}
			c.Close()
			if _, err := c.List(context.Background()); err != nil {
				t.Errorf("the next call: %v", err)
			}
		})
	}
}

// A call to a server that doesn't respond ends with its timeout, and at once when its context is cancelled.
func TestCallTimesOut(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c := Client{Address: ln.Addr().String(), Timeout: 20 * time.Millisecond}
	if _, err := c.Watch(context.Background(), 1, 10*time.Millisecond); err == nil {
		t.Error("a call without a response succeeded")
	}
	c.Timeout = time.Hour
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := c.List(ctx); err == nil {
		t.Error("a call with a cancelled context succeeded")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sampleList))
	f.Fuzz(func(t *testing.T, text []byte) {
		a, err := Parse(text)
		if err != nil {
			return
		}
		for _, e := range a.Members {
			if e.ID == "" || e.Phase != PhaseUp && e.Phase != PhaseDraining && e.Phase != PhaseRemoved {
				t.Fatalf("%+v", e)
			}
		}
	})
}

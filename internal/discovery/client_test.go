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

const aList = `{"revision":41,"complete":true,"members":[{"id":"s-1","host_port":"127.0.0.1:6432","locality":"a",` +
	`"flavor":"m2","cell":3,"phase":"up","size":1.0,"up_since_ms":5,"access":"writer"}]}`

// answers serves one connection after another, each with its answers in turn, and reports the requests.
func answers(t *testing.T, connections ...[]string) (address string, asked chan string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	asked = make(chan string, 100)
	go func() {
		for _, list := range connections {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(conn)
			for _, answer := range list {
				for line, first := "x", true; line != "\r\n"; first = false {
					if line, err = r.ReadString('\n'); err != nil {
						break
					}
					if first {
						asked <- strings.TrimSpace(line)
					}
				}
				conn.Write([]byte(answer))
			}
			conn.Close()
		}
	}()
	return ln.Addr().String(), asked
}

func ok(body string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func TestCallsShareOneConnection(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n14;x=y\r\n" + aList[:20] + "\r\n" +
		strconv.FormatInt(int64(len(aList)-20), 16) + "\r\n" + aList[20:] + "\r\n0\r\nTrailer: x\r\n\r\n"
	address, asked := answers(t, []string{ok(aList), chunked, ok(`{"revision":42,"complete":false,"members":[]}`)})
	c := Client{Address: address, Timeout: 5 * time.Second}
	defer c.Close()
	for i := range 2 {
		a, err := c.List(context.Background())
		if err != nil || a.Revision != 41 || !a.Complete || len(a.Members) != 1 {
			t.Fatalf("call %d: %v %+v", i, err, a)
		}
		if e := a.Members[0]; e.ID != "s-1" || e.Address != "127.0.0.1:6432" || e.Zone != "a" || e.Group != 3 ||
			e.Phase != PhaseUp || e.Access != AccessWriter || e.StartedAt != 5 {
			t.Errorf("%+v", e)
		}
	}
	if a, err := c.Watch(context.Background(), 41, 1500*time.Millisecond); err != nil || a.Revision != 42 || a.Complete {
		t.Fatal(err, a)
	}
	for _, want := range []string{"GET /discovery/hosts HTTP/1.1", "GET /discovery/hosts HTTP/1.1",
		"GET /discovery/hosts?since=41&timeout_ms=1500 HTTP/1.1"} {
		if got := <-asked; got != want {
			t.Errorf("asked %q, want %q", got, want)
		}
	}
}

// A call that fails returns one error, and the next one opens a new connection.
func TestFailedCallsAreTold(t *testing.T) {
	for name, bad := range map[string]string{
		"503":               "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"reset":             "",
		"cut in the head":   "HTTP/1.1 200 OK\r\nConte",
		"cut in the body":   "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n" + aList,
		"length that lies":  "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n" + aList,
		"endless length":    "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n" + aList,
		"bad chunk":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n" + aList,
		"chunk without end": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n" + aList,
		"no list":           ok(`{"revision":41}`),
		"unknown phase":     ok(strings.Replace(aList, `"up"`, `"odd"`, 1)),
		"no address":        ok(strings.Replace(aList, "127.0.0.1:6432", "x", 1)),
		"no JSON":           ok(aList[:50]),
		"other protocol":    "SSH-2.0-x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := answers(t, []string{bad}, []string{ok(aList)})
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

// Silence ends with the time that the call has, and a context ends it at once.
func TestSilentDiscoveryIsLeft(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c := Client{Address: ln.Addr().String(), Timeout: 20 * time.Millisecond}
	if _, err := c.Watch(context.Background(), 1, 10*time.Millisecond); err == nil {
		t.Error("an answer from nobody")
	}
	c.Timeout = time.Hour
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := c.List(ctx); err == nil {
		t.Error("an answer after the end")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(aList))
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

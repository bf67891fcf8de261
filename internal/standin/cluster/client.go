package cluster

// This file has the requests that tests send to a deployment: operators' calls and clients' sessions.

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"weirwind/internal/member/wire"
)

// Eventually waits for a condition and fails the test if it does not hold within 20 s.
func (d *Deployment) Eventually(description string, condition func() bool) {
	d.t.Helper()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for end := time.Now().Add(20 * time.Second); !condition(); <-tick.C {
		if time.Now().After(end) {
			d.t.Fatalf("condition did not hold in time: %s", description)
		}
	}
}

// Ready reports whether a proxy answers that it is ready.
func (d *Deployment) Ready(n int) bool {
	status, _ := d.Call("GET", d.ReadyAddr(n), "/ready", "", nil)
	return status == http.StatusOK
}

// Call makes an HTTP request and returns the status and the body, or status 0 and the error without an answer. base is
// the configuration version on which an operator's change is based, "" for none.
func (d *Deployment) Call(method, addr, path, base string, body []byte) (int, string) {
	req, _ := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if base != "" {
		req.Header.Set("Weirwind-Base-Version", base)
	}
	client := http.Client{Timeout: 4 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

// Config returns a configuration of the given version, with three routes to the service.
func Config(version int) []byte {
	return fmt.Appendf(
		nil,
		`{"gen":%d,"routes":[{"name":"p","host":"prim","prefix":"/","type":"primary","timeoutMs":3000,"svc":"svc"},`+
			`{"name":"s","host":"stale","prefix":"/","type":"stale_ok","timeoutMs":3000,"svc":"svc","maxStaleMs":1500},`+
			`{"name":"o","host":"self","prefix":"/","type":"self","timeoutMs":3000,"svc":"svc","maxStaleMs":2500}],`+
			`"svcs":[{"name":"svc","maxConns":80,"syncN":1}],"limits":{"txIdleMs":500}}`,
		version,
	)
}

// Configure sends the first configuration until it is accepted, and waits until the proxies are ready.
func (d *Deployment) Configure(fronts int) {
	d.t.Helper()
	d.Eventually("a configuration is accepted", func() bool {
		status, _ := d.Call("POST", d.Cores[0], "/config/replace", "0", Config(1))
		return status == http.StatusOK
	})
	for n := range fronts {
		d.Eventually("a proxy is ready", func() bool { return d.Ready(n) })
	}
}

// Client is a client with a session at a proxy.
type Client struct {
	conn      net.Conn
	reader    *wire.Reader
	lastQuery int // number in the last query's id
	t         *testing.T
}

// clients counts the clients of this process, so that their query ids differ.
var clients atomic.Int64

// Attach opens a session of a database at a proxy. It returns the client and the proxy's first line; the client is nil
// if the connection failed.
func (d *Deployment) Attach(front int, database string) (client *Client, first string) {
	d.t.Helper()
	conn, err := net.DialTimeout("tcp4", d.ProxyAddr(front), 2*time.Second)
	if err != nil {
		return nil, err.Error()
	}
	d.t.Cleanup(func() { conn.Close() })
	client = &Client{
		conn:      conn,
		reader:    wire.NewReader(conn),
		lastQuery: int(clients.Add(1)) * 10_000_000,
		t:         d.t,
	}
	fmt.Fprintf(conn, "ATTACH %s u1\r\n", database)
	return client, client.ReadLine()
}

// ReadLine reads one line. It returns "end: " and the error if the session has ended.
func (c *Client) ReadLine() string {
	c.conn.SetReadDeadline(time.Now().Add(8 * time.Second))
	line, err := c.reader.ReadMessage()
	if err != nil {
		return "end: " + err.Error()
	}
	return line
}

// Query sends a statement with a new id and returns the id and the answer's lines, joined by " | ".
func (c *Client) Query(statement string) (id, answer string) {
	c.lastQuery++
	id = fmt.Sprintf("q%d", c.lastQuery)
	fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, statement)
	var lines []string
	for {
		line := c.ReadLine()
		lines = append(lines, line)
		if strings.HasPrefix(line, wire.MsgReady) || strings.HasPrefix(line, "end") {
			return id, strings.Join(lines, " | ")
		}
	}
}

// Send sends raw bytes.
func (c *Client) Send(text string) { _, _ = io.WriteString(c.conn, text) }

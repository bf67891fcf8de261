package cluster

// This file owns what tests ask of a deployment: requests of operators, and sessions of clients.

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

// Eventually waits for a condition and fails the test where it does not hold within 20 s.
func (d *Deployment) Eventually(description string, condition func() bool) {
	d.t.Helper()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for end := time.Now().Add(20 * time.Second); !condition(); <-tick.C {
		if time.Now().After(end) {
			d.t.Fatalf("never came true: %s", description)
		}
	}
}

// Ready says whether a proxy calls itself ready.
func (d *Deployment) Ready(n int) bool {
	status, _ := d.Call("GET", d.ReadyAddr(n), "/ready", "", nil)
	return status == http.StatusOK
}

// Call makes an HTTP request and gives status and body; status 0: no answer. base is the configuration version that
// an operator's change is made to, "" for none.
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

// Config is the configuration of a version, with three routes to the service.
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

// Configure has the first configuration accepted, and waits until the proxies are ready with it.
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

// Client is a client's session with a proxy.
type Client struct {
	conn      net.Conn
	reader    *wire.Reader
	lastQuery int // number of the last query's id
	t         *testing.T
}

// clients counts those of this process, so that query ids differ between them.
var clients atomic.Int64

// Attach opens a session of a database at a proxy. It gives the proxy's first line too; the client is nil where there
// is no connection.
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

// ReadLine reads one line; "end: " and the error where the session has ended.
func (c *Client) ReadLine() string {
	c.conn.SetReadDeadline(time.Now().Add(8 * time.Second))
	line, err := c.reader.ReadMessage()
	if err != nil {
		return "end: " + err.Error()
	}
	return line
}

// Query sends a statement under an id of its own and gives the id and the answer's lines, joined by " | ".
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

package discovery

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"

	"weirwind/internal/standin/golden"
)

// cannedConn is a connection that records what is written to it.
type cannedConn struct {
	net.Conn
	written strings.Builder
}

func (conn *cannedConn) Write(b []byte) (int, error) { return conn.written.Write(b) }

// The request, and the result of each response, are the same as recorded.
func TestRecordedExchanges(t *testing.T) {
	var cases []golden.Case[string]
	statusLine := "HTTP/1.1 200 OK\r\n"
	for i, answer := range []string{
		okResponse(sampleList), "HTTP/1.0 200 OK\r\n\r\n" + sampleList, statusLine + "\r\n" + sampleList, statusLine + "Connection: close\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno", "HTTP/1.1 204\r\nContent-Length: 0\r\n\r\n", "", "HTTP/1.1",
		"SSH-2.0-x\r\n\r\n", statusLine + "Conte", statusLine + "odd\r\n\r\n", statusLine + strings.Repeat("A: b\r\n", 101) + "\r\n",
		statusLine + "Content-Length: -1\r\n\r\n", statusLine + "content-length: 99999999999\r\n\r\n", statusLine + "Content-Length: 9\r\n\r\n{}",
		statusLine + "X: " + strings.Repeat("y", 9000) + "\r\n\r\n",
		statusLine + "Transfer-Encoding: chunked\r\n\r\n1;x=y\r\n{\r\n1\r\n}\r\n0\r\nT: x\r\n\r\n",
		statusLine + "Transfer-Encoding: CHUNKED\r\n\r\nxyz\r\n", statusLine + "Transfer-Encoding: chunked\r\n\r\n1\r\n{}\r\n",
		statusLine + "Transfer-Encoding: chunked\r\n\r\n1\r\n{", statusLine + "Transfer-Encoding: chunked\r\n\r\n3\r\n{",
		statusLine + "Transfer-Encoding: chunked\r\n\r\n0\r\nT: x", statusLine + "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n",
	} {
		conn := &cannedConn{}
		c := Client{Address: "a:1", conn: conn, reader: bufio.NewReaderSize(strings.NewReader(answer), maxLine)}
		body, keep, err := c.exchange("/discovery/hosts?since=1&timeout_ms=2")
		cases = append(cases, golden.Of(fmt.Sprintf("exchange %02d", i), fmt.Sprintf("%s %v %v %q", body, keep, err,
			conn.written.String())))
	}
	for i, text := range []string{sampleList, "{", "[]", `{"revision":41}`, `{"revision":1,"complete":true,"members":[]}`,
		strings.Replace(sampleList, `"up"`, `"odd"`, 1), strings.Replace(sampleList, "127.0.0.1:6432", "x", 1),
		strings.Replace(sampleList, `"s-1"`, `""`, 1), strings.Replace(sampleList, `"127.0.0.1:6432"`, `""`, 1),
		strings.NewReplacer(`"127.0.0.1:6432"`, `""`, `"up"`, `"removed"`).Replace(sampleList)} {
		response, err := Parse([]byte(text))
		cases = append(cases, golden.Of(fmt.Sprintf("list %02d", i), fmt.Sprintf("%v %v", response, err)))
	}
	golden.Text(t, "testdata/exchanges.txt", cases)
}

// Operators read these errors, in which encoding/json quotes the names of types and fields.
func TestParseErrorsNameFields(t *testing.T) {
	for entry, want := range map[string]string{
		`{"cell":"x"}`:       "string into Go struct field Entry.Members.Cell of type int64",
		`{"locality":3}`:     "number into Go struct field Entry.Members.Locality of type string",
		`{"host_port":3}`:    "number into Go struct field Entry.Members.host_port of type string",
		`{"up_since_ms":""}`: "string into Go struct field Entry.Members.up_since_ms of type float64",
	} {
		t.Run(entry, func(t *testing.T) {
			_, err := Parse([]byte(`{"revision":1,"complete":true,"members":[` + entry + `]}`))
			if want := "list: json: cannot unmarshal " + want; err == nil || err.Error() != want {
				t.Errorf("%v; want %s", err, want)
			}
		})
	}
}

// Package discovery asks for the list of members, whole or as a watch on its changes, over one kept HTTP/1.1
// connection. It owns that connection and the form of the list. It must never have two calls out at once,
// repeat a call by itself, or keep a list: what an answer means for the driver is not its business.
package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

const (
	maxBody   = 8 << 20 // bytes of a list
	maxLine   = 8 << 10
	maxHeader = 100 // lines
)

// Answer is the list, or what has changed in it.
type Response struct {
	Revision int64
	Complete bool
	Members  []Entry
}

// Entry is one member as the list has it.
type Entry struct {
	ID        string
	Address   string `json:"host_port"`
	Zone      string `json:"locality"`
	Group     int64  `json:"cell"`
	Phase     string
	Access    string  // role, where the list shows it
	StartedAt float64 `json:"up_since_ms"` // Unix time, 0 for long ago
}

// The words that entries hold.
const (
	PhaseUp       = "up"
	PhaseDraining = "draining"
	PhaseRemoved  = "removed"
	AccessWriter  = "writer"
)

// Parse reads a list and refuses one that is not whole or holds what it may not.
func Parse(text []byte) (Response, error) {
	var a struct {
		Revision *int64
		Complete *bool
		Members  *[]Entry
	}
	if err := json.Unmarshal(text, &a); err != nil {
		return Response{}, fmt.Errorf("list: %w", err)
	}
	if a.Revision == nil || a.Complete == nil || a.Members == nil {
		return Response{}, errors.New("list: lacks revision, complete or members")
	}
	for i := range *a.Members {
		e := &(*a.Members)[i]
		switch e.Phase {
		case PhaseUp, PhaseDraining, PhaseRemoved:
		default:
			return Response{}, fmt.Errorf("list: %q has the unknown phase %q", e.ID, e.Phase)
		}
		if _, _, err := net.SplitHostPort(e.Address); e.ID == "" || err != nil && e.Phase != PhaseRemoved {
			return Response{}, fmt.Errorf("list: member %q at %q", e.ID, e.Address)
		}
	}
	return Response{*a.Revision, *a.Complete, *a.Members}, nil
}

// Client holds the connection. It serves one call at a time.
type Client struct {
	Address string
	Timeout time.Duration // of a call, beyond the time that it asks discovery to wait
	conn    net.Conn
	r       *bufio.Reader
}

// List asks for the whole list.
func (c *Client) List(ctx context.Context) (Response, error) {
	return c.call(ctx, "/discovery/hosts", 0)
}

// Watch waits for something newer than the revision since, up to wait.
func (c *Client) Watch(ctx context.Context, since int64, wait time.Duration) (Response, error) {
	return c.call(ctx, fmt.Sprintf("/discovery/hosts?since=%d&timeout_ms=%d", since, wait.Milliseconds()), wait)
}

// Close ends the connection.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

func (c *Client) call(ctx context.Context, path string, wait time.Duration) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.Timeout)
	defer cancel()
	if c.conn == nil {
		conn, err := (&net.Dialer{Timeout: c.Timeout}).DialContext(ctx, "tcp", c.Address)
		if err != nil {
			return Response{}, err
		}
		c.conn, c.r = conn, bufio.NewReaderSize(conn, maxLine)
	}
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	body, keep, err := c.exchange(path)
	if !stop() || !keep || err != nil {
		c.Close()
	}
	if err != nil {
		return Response{}, err
	}
	return Parse(body)
}

// exchange writes one GET and reads its answer. keep says that the connection can serve another.
func (c *Client) exchange(path string) (body []byte, keep bool, err error) {
	request := "GET " + path + " HTTP/1.1\r\nHost: " + c.Address + "\r\nAccept: application/json\r\n\r\n"
	if _, err := io.WriteString(c.conn, request); err != nil {
		return nil, false, err
	}
	status, err := c.line()
	if err != nil {
		return nil, false, err
	}
	version, rest, _ := strings.Cut(status, " ")
	code, _, _ := strings.Cut(rest, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return nil, false, fmt.Errorf("not an HTTP answer: %.40q", status)
	}
	length, chunked, keep := -1, false, version == "HTTP/1.1"
	for n := 0; ; n++ {
		line, err := c.line()
		if err != nil {
			return nil, false, err
		}
		if line == "" {
			break
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || n == maxHeader {
			return nil, false, fmt.Errorf("bad header line %.40q", line)
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			if length, err = strconv.Atoi(value); err != nil || length < 0 || length > maxBody {
				return nil, false, fmt.Errorf("bad length %.40q", value)
			}
		case "transfer-encoding":
			chunked = strings.EqualFold(value, "chunked")
		case "connection":
			keep = keep && !strings.EqualFold(value, "close")
		}
	}
	switch {
	case chunked:
		body, err = c.chunks()
	case length >= 0:
		body = make([]byte, length)
		_, err = io.ReadFull(c.r, body)
	default:
		keep = false
		body, err = io.ReadAll(io.LimitReader(c.r, maxBody))
	}
	if err == nil && code != "200" {
		err = fmt.Errorf("status %.10s", code)
	}
	return body, keep, err
}

func (c *Client) line() (string, error) {
	b, err := c.r.ReadSlice('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimRight(string(b), "\r\n"), nil
}

func (c *Client) chunks() (body []byte, err error) {
	for {
		line, err := c.line()
		if err != nil {
			return nil, err
		}
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil || len(body)+int(n) > maxBody {
			return nil, fmt.Errorf("bad chunk %.40q", line)
		}
		if n == 0 {
			for line != "" { // trailers, up to the line that ends them
				if line, err = c.line(); err != nil {
					return nil, err
				}
			}
			return body, nil
		}
		body = append(body, make([]byte, n)...)
		if _, err = io.ReadFull(c.r, body[len(body)-int(n):]); err != nil {
			return nil, err
		}
		line, err = c.line()
		switch {
		case err != nil:
			return nil, fmt.Errorf("chunk without its end: %w", err)
		case line != "":
			return nil, errors.New("chunk without its end: <nil>") // logs are searched for this text
		}
	}
}

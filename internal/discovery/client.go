package discovery

// This file manages the connection: when it is opened, reused and closed.

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"
)

// Client is a client of discovery. It makes one call at a time.
type Client struct {
	Address string
	Timeout time.Duration // of a call, in addition to the time that discovery is requested to wait

	conn   net.Conn // nil if none is open
	reader *bufio.Reader
}

// List returns the complete list.
func (c *Client) List(ctx context.Context) (Response, error) {
	return c.call(ctx, "/discovery/hosts", 0)
}

// Watch waits up to wait for a revision newer than since, and returns what has changed or the complete list.
func (c *Client) Watch(ctx context.Context, since int64, wait time.Duration) (Response, error) {
	return c.call(ctx, fmt.Sprintf("/discovery/hosts?since=%d&timeout_ms=%d", since, wait.Milliseconds()), wait)
}

// Close closes the connection; a later call opens another.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// call makes one call. The connection is reused only after a successful call.
func (c *Client) call(ctx context.Context, path string, wait time.Duration) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.Timeout)
	defer cancel()
	if err := c.connect(ctx); err != nil {
		return Response{}, err
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

// connect opens a connection if there is none.
func (c *Client) connect(ctx context.Context) error {
	if c.conn != nil {
		return nil
	}
	conn, err := (&net.Dialer{Timeout: c.Timeout}).DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReaderSize(conn, maxLine)
	return nil
}

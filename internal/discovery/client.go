package discovery

// This file owns the connection: when it is opened, kept and closed.

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"
)

// Client calls discovery. It makes one call at a time.
type Client struct {
	Address string
	Timeout time.Duration // of a call, beyond the time that it asks discovery to wait

	conn net.Conn // nil where none is open
	r    *bufio.Reader
}

// List returns the complete list.
func (c *Client) List(ctx context.Context) (Response, error) {
	return c.call(ctx, "/discovery/hosts", 0)
}

// Watch waits, no longer than wait, for a revision newer than since.
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

// call makes one call. The connection is kept only after a call that succeeded.
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

// connect opens a connection where there is none.
func (c *Client) connect(ctx context.Context) error {
	if c.conn != nil {
		return nil
	}
	conn, err := (&net.Dialer{Timeout: c.Timeout}).DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return err
	}
	c.conn, c.r = conn, bufio.NewReaderSize(conn, maxLine)
	return nil
}

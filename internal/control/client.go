package control

// This file has the client's HTTP transport.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	clientIdleTimeout = 5 * time.Second
	maxResponseBytes  = 64 << 20
)

// Client calls one driver. Address is the path of a Unix socket if it contains a slash, otherwise host:port.
type Client struct {
	Address, Token string
	http           http.Client
}

// NewClient returns a client that keeps a connection open between calls.
func NewClient(address, token string) *Client {
	network := "tcp"
	if strings.Contains(address, "/") {
		network = "unix"
	}
	transport := &http.Transport{
		MaxIdleConns:    1,
		IdleConnTimeout: clientIdleTimeout,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: callTimeout}).DialContext(ctx, network, address)
		},
	}
	return &Client{
		Address: address,
		Token:   token,
		http:    http.Client{Timeout: callTimeout, Transport: transport},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call makes one call, and decodes the response into result unless it is nil. A response with a status other than 200
// is returned as an error with the text of its body.
func (c *Client) call(ctx context.Context, method, path string, body, result any) error {
	var content bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&content).Encode(body); err != nil {
			return err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://driver"+path, &content)
	if err != nil {
		return err
	}
	if c.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.Token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	switch {
	case err != nil:
		return err
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(text)))
	case result == nil:
		return nil
	}
	return json.Unmarshal(text, result)
}

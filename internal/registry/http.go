package registry

// This file makes single HTTP calls, limited in time and size.

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	connectTimeout = 2 * time.Second
	listTimeout    = 10 * time.Second
	maxBody        = 64 << 20 // bytes of one response, or of one message of a watch
)

// caller makes the HTTP calls of both dialects.
type caller struct {
	options Options
	http    http.Client
}

// credentials reads the operators' credentials. It reads the file for each connection, as the file may change.
func (c *caller) credentials() (string, error) {
	if c.options.CredentialsFile == "" {
		return "", nil
	}
	text, err := os.ReadFile(c.options.CredentialsFile)
	if err != nil {
		return "", fmt.Errorf("%w: %w", errRejected, err)
	}
	return strings.TrimSpace(string(text)), nil
}

// call sends a request, with a JSON body if body isn't nil, and returns the response, whose body the caller closes.
func (c *caller) call(
	ctx context.Context,
	method string,
	endpoint int,
	path string,
	header map[string]string,
	body any,
) (*http.Response, error) {
	var content io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		content = bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.options.Endpoints[endpoint]+path, content)
	if err != nil {
		return nil, err
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	return c.http.Do(r)
}

// readBody reads a response's body, up to maxBody bytes.
func readBody(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxBody+1))
	if err == nil && len(b) > maxBody {
		err = fmt.Errorf("an answer of over %d bytes", maxBody)
	}
	return b, err
}

// watchdog derives a context that ends if active isn't called for the timeout.
func watchdog(ctx context.Context, timeout time.Duration) (watched context.Context, active func(), stop func()) {
	watched, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(errWatchSilent) })
	active = func() { timer.Reset(timeout) }
	stop = func() {
		timer.Stop()
		cancel(nil)
	}
	return watched, active, stop
}

// watchError returns errWatchSilent if the watchdog ended the call, and otherwise the call's own error.
func watchError(watched context.Context, err error) error {
	if errors.Is(context.Cause(watched), errWatchSilent) {
		return errWatchSilent
	}
	return err
}

package registry

// This file implements calls to etcd's v3 API through its JSON gateway, their errors, and authentication. The gateway
// encodes byte strings as base64 and 64-bit integers as strings. Field order is alphabetical, as in the recorded
// requests.

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
)

// etcd is a client of etcd.
type etcd struct {
	*caller
	mu     sync.Mutex     // guards tokens
	tokens map[int]string // by endpoint; empty without credentials
}

type etcdHeader struct {
	Cluster  string `json:"cluster_id"`
	Revision int64  `json:"revision,string"`
}

// etcdKey is a key with its value.
type etcdKey struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

// gRPC codes in error bodies.
const (
	codeInvalidArgument  = 3
	codePermissionDenied = 7
	codeUnauthenticated  = 16
)

// etcdError is the body of an error response.
type etcdError struct {
	Code    int
	Message string
}

// asError converts the status to one of the package's errors.
func (s *etcdError) asError() error {
	switch {
	case strings.Contains(s.Message, "compacted"):
		return fmt.Errorf("%w: %s", errCompacted, s.Message)
	case strings.Contains(s.Message, "future rev"): // the server's state is older than an earlier response
		return fmt.Errorf("%w: %s", errLagging, s.Message)
	case s.Code == codePermissionDenied || s.Code == codeUnauthenticated || s.Code == codeInvalidArgument:
		return fmt.Errorf("%w: %s", errRejected, s.Message)
	}
	return fmt.Errorf("code %d: %s", s.Code, s.Message)
}

// post makes a call, authenticated if credentials are configured, and retries once if the token has expired. The caller
// closes the response's body.
func (c *etcd) post(ctx context.Context, endpoint int, path string, body any) (*http.Response, error) {
	for retry := false; ; retry = true {
		token, err := c.token(ctx, endpoint, retry)
		if err != nil {
			return nil, err
		}
		header := map[string]string{"Content-Type": "application/json"}
		if token != "" {
			header["Authorization"] = token
		}
		response, err := c.call(ctx, http.MethodPost, endpoint, path, header, body)
		if err != nil || response.StatusCode == http.StatusOK {
			return response, err
		}
		text, err := readBody(response.Body)
		response.Body.Close()
		if err != nil {
			return nil, err
		}
		var status etcdError
		if json.Unmarshal(text, &status) != nil {
			return nil, fmt.Errorf("status %d: %.80q", response.StatusCode, text)
		}
		if status.Code == codeUnauthenticated && token != "" && !retry {
			continue
		}
		return nil, status.asError()
	}
}

// request makes a call and decodes its response.
func (c *etcd) request(ctx context.Context, endpoint int, path string, body, response any) error {
	r, err := c.post(ctx, endpoint, path, body)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	return json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBody)).Decode(response)
}

// token returns an endpoint's token, empty without credentials. It authenticates if there is no token yet, or if it has
// expired.
func (c *etcd) token(ctx context.Context, endpoint int, expired bool) (string, error) {
	c.mu.Lock()
	token := c.tokens[endpoint]
	c.mu.Unlock()
	if token != "" && !expired {
		return token, nil
	}
	credentials, err := c.credentials()
	if err != nil || credentials == "" {
		return "", err
	}
	token, err = c.authenticate(ctx, endpoint, credentials)
	if err != nil {
		return "", err
	}
	c.mu.Lock()
	c.tokens[endpoint] = token
	c.mu.Unlock()
	return token, nil
}

func (c *etcd) authenticate(ctx context.Context, endpoint int, credentials string) (token string, err error) {
	name, password, _ := strings.Cut(credentials, ":")
	header := map[string]string{"Content-Type": "application/json"}
	body := struct {
		Name     string `json:"name"`
		Password string `json:"password"`
	}{name, password}
	response, err := c.call(ctx, http.MethodPost, endpoint, "/v3/auth/authenticate", header, body)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := readBody(response.Body)
	if err != nil {
		return "", err
	}
	var granted struct{ Token string }
	if response.StatusCode != http.StatusOK || json.Unmarshal(text, &granted) != nil || granted.Token == "" {
		return "", fmt.Errorf("%w: no token for %s: %.80q", errRejected, name, text)
	}
	return granted.Token, nil
}

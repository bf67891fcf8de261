package registry

// This file implements leases with Consul's sessions.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

const consulMinTTL = 10 * time.Second // the minimum that Consul grants

type consulSessionRequest struct {
	Behavior  string
	LockDelay string
	Name      string
	TTL       string
}

// put makes a call. Responses with other statuses than OK and not found are errors.
func (c *consul) put(ctx context.Context, endpoint int, path string, body any) (consulResponse, error) {
	response, err := c.do(ctx, http.MethodPut, endpoint, path, body)
	if err == nil && response.status != http.StatusOK && response.status != http.StatusNotFound {
		err = fmt.Errorf("status %d: %.80q", response.status, response.body)
	}
	return response, err
}

// Grant creates a session and acquires the key for it. It fails if another session holds the key.
func (c *consul) Grant(
	ctx context.Context,
	endpoint int,
	key string,
	value []byte,
	ttl time.Duration,
) (string, time.Duration, error) {
	ttl = max(ttl.Round(time.Second), consulMinTTL)
	response, err := c.put(ctx, endpoint, "/v1/session/create", consulSessionRequest{
		Behavior:  "delete", // deletes the key when the session ends
		LockDelay: "0s",
		Name:      key,
		TTL:       ttl.String(),
	})
	if err != nil {
		return "", 0, err
	}
	var session struct{ ID string }
	if err := json.Unmarshal(response.body, &session); err != nil || session.ID == "" {
		return "", 0, fmt.Errorf("no session: %.80q", response.body)
	}
	if err := c.acquire(ctx, endpoint, key, value, session.ID); err != nil {
		_ = c.Revoke(ctx, endpoint, session.ID) // if this fails, the session expires
		return "", 0, err
	}
	return session.ID, ttl, nil
}

func (c *consul) acquire(ctx context.Context, endpoint int, key string, value []byte, session string) error {
	path := "/v1/kv/" + key + "?acquire=" + url.QueryEscape(session)
	response, err := c.put(ctx, endpoint, path, json.RawMessage(value))
	if err == nil && !bytes.HasPrefix(response.body, []byte("true")) {
		err = errNameTaken
	}
	return err
}

// Renew renews a session.
func (c *consul) Renew(ctx context.Context, endpoint int, lease string) (time.Duration, error) {
	response, err := c.put(ctx, endpoint, "/v1/session/renew/"+url.PathEscape(lease), nil)
	if err != nil {
		return 0, err
	}
	var sessions []struct{ TTL string }
	if response.status == http.StatusNotFound || json.Unmarshal(response.body, &sessions) != nil || len(sessions) == 0 {
		return 0, errLeaseLost
	}
	return time.ParseDuration(sessions[0].TTL)
}

// Revoke destroys a session and deletes its key.
func (c *consul) Revoke(ctx context.Context, endpoint int, lease string) error {
	_, err := c.put(ctx, endpoint, "/v1/session/destroy/"+url.PathEscape(lease), nil)
	return err
}

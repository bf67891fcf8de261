package registry

// This file owns the calls by which a driver announces itself: a key under a lease (etcd) or a session (Consul),
// written only where nobody has it. It must never take a key from another, or renew what has ended.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"weirwind/internal/roster"
)

// Announcer holds one key for a driver. Its methods take an endpoint as Client's do.
type LeaseClient interface {
	// Grant writes the key under a new lease and gives it, with the time for which it stands without a renewal.
	Grant(ctx context.Context, endpoint int, key string, value []byte, ttl time.Duration) (lease string,
		stands time.Duration, err error)
	// Renew makes a lease stand for its time from now on.
	Renew(ctx context.Context, endpoint int, lease string) (stands time.Duration, err error)
	// Revoke ends a lease, and its key with it.
	Revoke(ctx context.Context, endpoint int, lease string) error
}

// Errors of announcements.
var (
	errTaken = errors.New("another driver has the name")
	errGone  = errors.New("the lease is not there any more")
)

// PresenceEndOf gives the meaning of an announcement's error.
func PresenceResultOf(err error) roster.PresenceResult {
	switch {
	case err == nil:
		return roster.StepDone
	case errors.Is(err, errTaken):
		return roster.StepNameTaken
	case errors.Is(err, errGone):
		return roster.StepLeaseLost
	}
	return roster.StepFailed
}

// ask makes a call of etcd's and reads its answer whole.
func (x *etcd) ask(ctx context.Context, endpoint int, path string, body, answer any) error {
	a, err := x.post(ctx, endpoint, path, body)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	return json.NewDecoder(http.MaxBytesReader(nil, a.Body, maxAnswer)).Decode(answer)
}

func (x *etcd) Grant(
	ctx context.Context,
	endpoint int,
	key string,
	value []byte,
	ttl time.Duration,
) (string, time.Duration, error) {
	var granted struct {
		ID  string
		TTL int64 `json:"TTL,string"`
	}
	if err := x.ask(ctx, endpoint, "/v3/lease/grant", map[string]string{"TTL": fmt.Sprint(max(int64(ttl.Seconds()), 1))},
		&granted); err != nil {
		return "", 0, err
	}
	var put struct{ Succeeded bool }
	err := x.ask(ctx, endpoint, "/v3/kv/txn", map[string]any{
		"compare": []any{map[string]any{"key": []byte(key), "target": "CREATE", "result": "EQUAL", "create_revision": "0"}},
		"success": []any{map[string]any{"request_put": map[string]any{"key": []byte(key), "value": value,
			"lease": granted.ID}}}}, &put)
	if err == nil && !put.Succeeded {
		err = errTaken
	}
	if err != nil {
		_ = x.Revoke(ctx, endpoint, granted.ID) // else the lease lapses
		return "", 0, err
	}
	return granted.ID, time.Duration(granted.TTL) * time.Second, nil
}

func (x *etcd) Renew(ctx context.Context, endpoint int, lease string) (time.Duration, error) {
	var renewed struct {
		Result struct {
			TTL int64 `json:"TTL,string"`
		}
		Error *etcdError
	}
	if err := x.ask(ctx, endpoint, "/v3/lease/keepalive", map[string]string{"ID": lease}, &renewed); err != nil {
		return 0, err
	}
	if renewed.Error != nil {
		return 0, renewed.Error.failure()
	}
	if renewed.Result.TTL <= 0 {
		return 0, errGone
	}
	return time.Duration(renewed.Result.TTL) * time.Second, nil
}

func (x *etcd) Revoke(ctx context.Context, endpoint int, lease string) error {
	var none struct{}
	return x.ask(ctx, endpoint, "/v3/lease/revoke", map[string]string{"ID": lease}, &none)
}

// put makes a call of Consul's with a body.
func (x *consul) put(ctx context.Context, endpoint int, path string, body any) (status int, text []byte, err error) {
	header := map[string]string{}
	token, err := x.credentials()
	if err != nil {
		return 0, nil, err
	}
	if token != "" {
		header["X-Consul-Token"] = token
	}
	answer, err := x.call(ctx, http.MethodPut, endpoint, path, header, body)
	if err != nil {
		return 0, nil, err
	}
	defer answer.Body.Close()
	if text, err = bounded(answer.Body); err == nil && answer.StatusCode != http.StatusOK &&
		answer.StatusCode != http.StatusNotFound {
		err = fmt.Errorf("status %d: %.80q", answer.StatusCode, text)
	}
	return answer.StatusCode, text, err
}

func (x *consul) Grant(
	ctx context.Context,
	endpoint int,
	key string,
	value []byte,
	ttl time.Duration,
) (string, time.Duration, error) {
	ttl = max(ttl.Round(time.Second), 10*time.Second) // Consul grants no less
	_, text, err := x.put(ctx, endpoint, "/v1/session/create", map[string]string{"Name": key, "TTL": ttl.String(),
		"Behavior": "delete", "LockDelay": "0s"})
	if err != nil {
		return "", 0, err
	}
	var session struct{ ID string }
	if err := json.Unmarshal(text, &session); err != nil || session.ID == "" {
		return "", 0, fmt.Errorf("no session: %.80q", text)
	}
	_, text, err = x.put(ctx, endpoint, "/v1/kv/"+key+"?acquire="+url.QueryEscape(session.ID), json.RawMessage(value))
	if err == nil && string(text[:min(len(text), 4)]) != "true" {
		err = errTaken
	}
	if err != nil {
		_ = x.Revoke(ctx, endpoint, session.ID) // else the session lapses
		return "", 0, err
	}
	return session.ID, ttl, nil
}

func (x *consul) Renew(ctx context.Context, endpoint int, lease string) (time.Duration, error) {
	status, text, err := x.put(ctx, endpoint, "/v1/session/renew/"+url.PathEscape(lease), nil)
	if err != nil {
		return 0, err
	}
	var sessions []struct{ TTL string }
	if status == http.StatusNotFound || json.Unmarshal(text, &sessions) != nil || len(sessions) == 0 {
		return 0, errGone
	}
	return time.ParseDuration(sessions[0].TTL)
}

func (x *consul) Revoke(ctx context.Context, endpoint int, lease string) error {
	_, _, err := x.put(ctx, endpoint, "/v1/session/destroy/"+url.PathEscape(lease), nil)
	return err
}

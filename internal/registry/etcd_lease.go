package registry

// This file implements etcd's leases.

import (
	"context"
	"time"
)

type etcdLeaseID struct {
	ID string
}

type etcdGrantRequest struct {
	TTL int64 `json:",string"` // seconds
}

type etcdGrantResponse = struct {
	ID  string
	TTL int64 `json:"TTL,string"`
}

type etcdCompare struct {
	CreateRevision int64  `json:"create_revision,string"` // 0: the key does not exist
	Key            []byte `json:"key"`
	Result         string `json:"result"`
	Target         string `json:"target"`
}

type etcdPut struct {
	Key   []byte `json:"key"`
	Lease string `json:"lease"`
	Value []byte `json:"value"`
}

type etcdOperation struct {
	Put etcdPut `json:"request_put"`
}

type etcdTransaction struct {
	Compare []etcdCompare   `json:"compare"`
	Success []etcdOperation `json:"success"`
}

// Grant creates the key under a new lease, in a transaction that fails if the key exists.
func (c *etcd) Grant(
	ctx context.Context,
	endpoint int,
	key string,
	value []byte,
	ttl time.Duration,
) (string, time.Duration, error) {
	var granted etcdGrantResponse
	request := etcdGrantRequest{TTL: max(int64(ttl.Seconds()), 1)}
	if err := c.request(ctx, endpoint, "/v3/lease/grant", request, &granted); err != nil {
		return "", 0, err
	}
	if err := c.create(ctx, endpoint, []byte(key), value, granted.ID); err != nil {
		_ = c.Revoke(ctx, endpoint, granted.ID) // if this fails, the lease expires
		return "", 0, err
	}
	return granted.ID, time.Duration(granted.TTL) * time.Second, nil
}

func (c *etcd) create(ctx context.Context, endpoint int, key, value []byte, lease string) error {
	transaction := etcdTransaction{
		Compare: []etcdCompare{{Key: key, Target: "CREATE", Result: "EQUAL"}},
		Success: []etcdOperation{{etcdPut{Key: key, Lease: lease, Value: value}}},
	}
	var response struct{ Succeeded bool }
	err := c.request(ctx, endpoint, "/v3/kv/txn", transaction, &response)
	if err == nil && !response.Succeeded {
		err = errNameTaken
	}
	return err
}

// Renew sends one keep-alive. For an expired lease etcd responds with a TTL of zero.
func (c *etcd) Renew(ctx context.Context, endpoint int, lease string) (time.Duration, error) {
	var response struct {
		Result struct {
			TTL int64 `json:"TTL,string"`
		}
		Error *etcdError
	}
	if err := c.request(ctx, endpoint, "/v3/lease/keepalive", etcdLeaseID{lease}, &response); err != nil {
		return 0, err
	}
	if response.Error != nil {
		return 0, response.Error.asError()
	}
	if response.Result.TTL <= 0 {
		return 0, errLeaseLost
	}
	return time.Duration(response.Result.TTL) * time.Second, nil
}

// Revoke ends a lease and deletes its key.
func (c *etcd) Revoke(ctx context.Context, endpoint int, lease string) error {
	var response struct{}
	return c.request(ctx, endpoint, "/v3/lease/revoke", etcdLeaseID{lease}, &response)
}

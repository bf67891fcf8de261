package registry

// This file implements calls to Consul's HTTP API, and blocking queries on the keys under a prefix. Every response is a
// complete list, so a watch is a sequence of queries that each wait until an index has passed. An index that goes back
// indicates no newer state, only that the list must be read again.

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"weirwind/internal/roster"
)

// consul is a client of Consul.
type consul struct {
	*caller
}

// List queries once: the leader if linearizable, otherwise any server.
func (c *consul) List(ctx context.Context, endpoint int, linearizable bool, deliver func(roster.Update)) error {
	consistency := "stale"
	if linearizable {
		consistency = "consistent"
	}
	update, err := c.query(ctx, endpoint, url.Values{consistency: {""}})
	if err != nil {
		return err
	}
	update.Linearizable = linearizable
	deliver(update)
	return nil
}

// Watch queries repeatedly, each time until the index has passed the previous one or the wait time is over.
func (c *consul) Watch(
	ctx context.Context,
	endpoint int,
	from int64,
	active func(),
	deliver func(roster.Update),
) error {
	for reached := from - 1; ; {
		watched, _, stop := watchdog(ctx, c.options.WatchTimeout)
		update, err := c.query(watched, endpoint, url.Values{
			"index": {strconv.FormatInt(reached, 10)},
			"wait":  {fmt.Sprintf("%dms", c.randomWait().Milliseconds())},
		})
		err = watchError(watched, err)
		stop()
		if err != nil {
			return err
		}
		active()
		if update.Revision < reached {
			return fmt.Errorf("%w: index %d, not %d", errLagging, update.Revision, reached)
		}
		if update.Revision > reached {
			deliver(update)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		reached = update.Revision
	}
}

// randomWait returns a random wait time for a blocking query, from 0.4 to 0.5 of the watch timeout. Consul adds up to a
// sixteenth of it, so the response arrives in time. Random times keep many drivers from querying simultaneously.
func (c *consul) randomWait() time.Duration {
	return time.Duration(float64(c.options.WatchTimeout) / 2 * (0.8 + 0.2*rand.Float64()))
}

// query makes one query, blocking or not, and converts its response.
func (c *consul) query(ctx context.Context, endpoint int, parameters url.Values) (update roster.Update, err error) {
	path := "/v1/kv/" + c.options.Prefix
	if c.options.Service != "" {
		path = "/v1/health/service/" + url.PathEscape(c.options.Service)
	} else {
		parameters.Set("recurse", "")
	}
	response, err := c.do(ctx, http.MethodGet, endpoint, path+"?"+parameters.Encode(), nil)
	if err != nil {
		return update, err
	}
	if err := c.checkQuery(&response); err != nil {
		return update, err
	}
	update = roster.Update{Source: roster.SourceRegistry, Snapshot: true}
	index := response.header.Get("X-Consul-Index")
	if update.Revision, err = strconv.ParseInt(index, 10, 64); err != nil || update.Revision < 1 {
		return update, fmt.Errorf("index %.20q", index)
	}
	switch {
	case response.status == http.StatusNotFound: // no key has the prefix
		return update, nil
	case c.options.Service != "":
		return update, addInstances(&update, response.body)
	}
	return update, c.addKeys(&update, response.body)
}

// checkQuery returns the error that a response states. A missing prefix is not an error.
func (c *consul) checkQuery(response *consulResponse) error {
	switch status := response.status; {
	case status == http.StatusForbidden || status == http.StatusUnauthorized:
		return fmt.Errorf("%w: status %d: %.80q", errRejected, status, response.body)
	case status != http.StatusOK && (status != http.StatusNotFound || c.options.Service != ""):
		return fmt.Errorf("status %d: %.80q", status, response.body)
	case response.header.Get("X-Consul-KnownLeader") == "false":
		return fmt.Errorf("%w: the server knows no leader", errLagging)
	}
	return nil
}

func (c *consul) addKeys(update *roster.Update, text []byte) error {
	var keys []struct {
		Key         string
		Value       []byte
		ModifyIndex int64
	}
	if err := json.Unmarshal(text, &keys); err != nil {
		return err
	}
	for _, k := range keys {
		if k.Key != c.options.Prefix {
			addEntry(update, strings.TrimPrefix(k.Key, c.options.Prefix), k.Value, k.ModifyIndex)
		}
	}
	return nil
}

// consulResponse is a response whose body has been read.
type consulResponse struct {
	status int
	header http.Header
	body   []byte
}

// do makes a call, authenticated if credentials are configured.
func (c *consul) do(ctx context.Context, method string, endpoint int, path string, body any) (
	response consulResponse, err error) {
	header := map[string]string{}
	token, err := c.credentials()
	if err != nil {
		return response, err
	}
	if token != "" {
		header["X-Consul-Token"] = token
	}
	r, err := c.call(ctx, method, endpoint, path, header, body)
	if err != nil {
		return response, err
	}
	defer r.Body.Close()
	text, err := readBody(r.Body)
	return consulResponse{r.StatusCode, r.Header, text}, err
}

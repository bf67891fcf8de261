package site

// This file implements the calls to the core, the Raft group that stores the map of sites.

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/samber/oops"

	"weirwind/internal/session/sites"
)

const (
	coreTimeout    = 900 * time.Millisecond // of a call to one machine
	maxAnswerBytes = 4 << 20
	shutdownRate   = 5000 // sessions per second
)

// Errors of calls to the core.
var (
	errNoAnswer         = errors.New("no machine of the core answered")
	errIncarnationEnded = errors.New("the core has removed this incarnation")
)

// coreClient calls the machines of the core.
type coreClient struct{ machines []string }

// call calls the machines in turn until one answers with a status below 500.
func (c coreClient) call(ctx context.Context, method, path string, body []byte) (status int, answer []byte, err error) {
	client := http.Client{Timeout: coreTimeout}
	for _, machine := range c.machines {
		status, answer, err = callMachine(ctx, &client, method, "http://"+machine+path, body)
		if err == nil && status < http.StatusInternalServerError {
			return status, answer, nil
		}
	}
	return 0, nil, errNoAnswer
}

func callMachine(ctx context.Context, client *http.Client, method, url string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return response.StatusCode, answer, err
}

// renew renews a site's lease and returns the map. After errIncarnationEnded the site has to join with a new
// incarnation.
func (c coreClient) renew(ctx context.Context, site string, renewal sites.Renewal) (*sites.Map, error) {
	body, err := json.Marshal(renewal)
	if err != nil {
		return nil, err
	}
	status, answer, err := c.call(ctx, http.MethodPost, "/sites/"+site+"/renew", body)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusConflict:
		return nil, errIncarnationEnded
	case status != http.StatusOK:
		return nil, oops.In("renew").Errorf("the core answered with status %d", status)
	}
	var m sites.Map
	if err := json.Unmarshal(answer, &m); err != nil {
		return nil, oops.In("renew").Wrap(err)
	}
	return &m, nil
}

// drain requests that the site drains at the rate of a shutdown. The map shows whether the request has succeeded.
func (c coreClient) drain(ctx context.Context, site string) {
	_, _, _ = c.call(ctx, http.MethodPost, fmt.Sprintf("/sites/%s/drain?pace=%d", site, shutdownRate), nil)
}

// leave removes an epoch of the site from the map. If the call fails, the site's lease expires instead.
func (c coreClient) leave(ctx context.Context, site string, epoch uint64) {
	_, _, _ = c.call(ctx, http.MethodPost, fmt.Sprintf("/sites/%s/leave?epoch=%d", site, epoch), nil)
}

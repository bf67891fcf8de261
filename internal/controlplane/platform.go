package controlplane

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/samber/oops"
)

const (
	platformTimeout      = 2 * time.Second // of a call
	maxPlatformBodyBytes = 4 << 10         // of an answer, read and dropped
)

// platformClient puts each call over a connection of its own: one that was kept may have ended unseen, and whether a
// call over it arrived would not be known. A call without an answer is not retried here; package failover decides
// what follows.
var platformClient = &http.Client{Timeout: platformTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// platformCall asks the platform to make a member of a service the primary.
type platformCall struct {
	addr    string
	caller  string // name of this machine
	fence   uint64 // fencing token: the platform refuses a call with a lower one than it has seen
	service string
	member  string // id
}

// promotion is a call's body.
type promotion struct {
	Member  string `json:"id"`
	Service string `json:"svc"`
}

// do makes the call. status is the answer's, 0 where there was none: the call may have been carried out all the same.
func (p *platformCall) do(ctx context.Context) (status int, err error) {
	step := oops.In("failover").With("peer", p.addr)
	body, err := json.Marshal(promotion{Member: p.member, Service: p.service})
	if err != nil {
		return 0, step.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.addr+"/failover", bytes.NewReader(body))
	if err != nil {
		return 0, step.Wrap(err)
	}
	request.Header.Set(headerContentType, contentTypeJSON)
	request.Header.Set("Weirwind-Holder", p.caller)
	request.Header.Set("Weirwind-Fence", strconv.FormatUint(p.fence, 10))
	response, err := platformClient.Do(request)
	if err != nil {
		return 0, step.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxPlatformBodyBytes))
	return response.StatusCode, nil
}

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
	platformTimeout      = 2 * time.Second // for one call
	maxPlatformBodyBytes = 4 << 10         // of a response body that is read and discarded
)

// platformClient uses a new connection for each call: a kept connection may have been closed unnoticed, and whether a
// call over it arrived would be unknown. A call without a response is not retried here; package failover decides how to
// proceed.
var platformClient = &http.Client{Timeout: platformTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// platformCall asks the platform to make a member of a service the primary.
type platformCall struct {
	addr    string
	caller  string // name of this machine
	fence   uint64 // fencing token; the platform rejects a call with a lower token than it has seen
	service string
	member  string // id of the member
}

// promotionBody is the JSON body of a platform call.
type promotionBody struct {
	Member  string `json:"id"`
	Service string `json:"svc"`
}

// do makes the call. status is the HTTP status of the response, or 0 if there was none; the call may then still have
// been carried out.
func (p *platformCall) do(ctx context.Context) (status int, err error) {
	errorBuilder := oops.In("failover").With("peer", p.addr)
	body, err := json.Marshal(promotionBody{Member: p.member, Service: p.service})
	if err != nil {
		return 0, errorBuilder.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.addr+"/failover", bytes.NewReader(body))
	if err != nil {
		return 0, errorBuilder.Wrap(err)
	}
	request.Header.Set(headerContentType, contentTypeJSON)
	request.Header.Set("Weirwind-Holder", p.caller)
	request.Header.Set("Weirwind-Fence", strconv.FormatUint(p.fence, 10))
	response, err := platformClient.Do(request)
	if err != nil {
		return 0, errorBuilder.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxPlatformBodyBytes))
	return response.StatusCode, nil
}

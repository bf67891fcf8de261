package sessionclient

// This file owns a producer's side: a message queued for a session, at whichever site owns it.

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

const (
	queueInterval = 15 * time.Millisecond // between attempts
	queueTimeout  = 3 * time.Second       // of an attempt
)

var producer = http.Client{Timeout: queueTimeout}

// RejectedError is a site's answer that a message never will be queued.
type RejectedError struct {
	Session string
	Status  string // HTTP's
}

// Error gives the session and the status.
func (e *RejectedError) Error() string { return fmt.Sprintf("session %s: %s", e.Session, e.Status) }

// Queue queues a message for a session at one of the sites ("host:port"), trying first the one at index from, and
// again under the same key, which makes the attempts idempotent, until a site says that the session's owner and
// replicas have it, or that they never will (a *RejectedError), or ctx ends (its error: the message may be queued).
// It gives the index of the site that answered, to begin with next time.
func Queue(ctx context.Context, sites []string, firstSite int, session, key string, body []byte) (site int, err error) {
	for site = firstSite; ; site++ {
		request, err := newQueueRequest(ctx, sites[site%len(sites)], session, key, body)
		if err != nil {
			return site, err
		}
		if response, err := producer.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			switch response.StatusCode {
			case http.StatusOK, http.StatusAccepted:
				return site % len(sites), nil
			case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
				return site % len(sites), &RejectedError{session, response.Status}
			}
		}
		select {
		case <-time.After(queueInterval):
		case <-ctx.Done():
			return site % len(sites), ctx.Err()
		}
	}
}

func newQueueRequest(ctx context.Context, siteAddr, session, key string, body []byte) (*http.Request, error) {
	address := "http://" + siteAddr + "/sessions/" + url.PathEscape(session) + "/messages"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err == nil {
		request.Header.Set("Weirwind-Key", key)
	}
	return request, err
}

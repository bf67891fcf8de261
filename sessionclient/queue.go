package sessionclient

// This file implements the producer's side: it queues messages at the site that owns a session.

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
	queueTimeout  = 3 * time.Second       // of one attempt
)

var producer = http.Client{Timeout: queueTimeout}

// RejectedError is returned if a site has answered that a message will never be queued.
type RejectedError struct {
	Session string
	Status  string // status line of the HTTP response
}

// Error returns the session and the status.
func (e *RejectedError) Error() string { return fmt.Sprintf("session %s: %s", e.Session, e.Status) }

// Queue queues a message for a session at one of the sites ("host:port"). It tries the sites in turn, beginning at
// index firstSite, and uses the same key for all attempts, which makes them idempotent. It returns nil once the
// session's owner and replicas have the message, a *RejectedError if the message will never be queued, or ctx's error
// if ctx ends, in which case the message may be queued or not. site is the index of the last site tried, to begin with
// next time.
func Queue(ctx context.Context, sites []string, firstSite int, session, key string, body []byte) (
	siteIndex int, err error) {
	for siteIndex = firstSite; ; siteIndex++ {
		request, err := newQueueRequest(ctx, sites[siteIndex%len(sites)], session, key, body)
		if err != nil {
			return siteIndex, err
		}
		if response, err := producer.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			switch response.StatusCode {
			case http.StatusOK, http.StatusAccepted:
				return siteIndex % len(sites), nil
			case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
				return siteIndex % len(sites), &RejectedError{session, response.Status}
			}
		}
		select {
		case <-time.After(queueInterval):
		case <-ctx.Done():
			return siteIndex % len(sites), ctx.Err()
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

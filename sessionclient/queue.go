package sessionclient

// This file owns a producer's side: a message queued for a session, at whichever site is its home.

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

const askAgain = 15 * time.Millisecond

var producer = http.Client{Timeout: 3 * time.Second}

// Queue queues a message for a session at one of the sites ("host:port"), trying first the one at index from, and again
// under the same key until a site says that home and copies hold it, that they never will (an error), or ctx ends (an
// error: it may be queued). It gives the index of the site that answered, to begin with next time.
func Queue(ctx context.Context, sites []string, from int, session, key string, body []byte) (at int, err error) {
	for at = from; ; at++ {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost,
			"http://"+sites[at%len(sites)]+"/sessions/"+url.PathEscape(session)+"/messages", bytes.NewReader(body))
		if err != nil {
			return at, err
		}
		req.Header.Set("Weirwind-Key", key)
		if resp, err := producer.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			switch resp.StatusCode {
			case http.StatusOK, http.StatusAccepted:
				return at % len(sites), nil
			case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
				return at % len(sites), fmt.Errorf("session %s: %s", session, resp.Status)
			}
		}
		select {
		case <-time.After(askAgain):
		case <-ctx.Done():
			return at % len(sites), ctx.Err()
		}
	}
}

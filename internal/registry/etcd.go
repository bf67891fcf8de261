package registry

// This file owns etcd's v3 API in its plain HTTP form (JSON; byte strings in base64, whole numbers as strings): ranges
// by pages of one revision, watches with fragments and progress notices, and tokens. It must never tell a revision
// before all of it has come.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"

	"weirwind/internal/roster"
)

type etcd struct {
	*caller
	mu     sync.Mutex
	tokens map[int]string // by endpoint
}

type etcdHeader struct {
	Cluster  string `json:"cluster_id"`
	Revision int64  `json:"revision,string"`
}

type etcdKey struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Mod   int64  `json:"mod_revision,string"`
}

// codes of gRPC in an error's body.
const (
	codeInvalidArgument  = 3
	codePermissionDenied = 7
	codeUnauthenticated  = 16
)

type etcdError struct {
	Code    int
	Message string
}

// failure gives an error's meaning.
func (e *etcdError) failure() error {
	switch {
	case strings.Contains(e.Message, "compacted"):
		return fmt.Errorf("%w: %s", errCompacted, e.Message)
	case strings.Contains(e.Message, "future rev"): // it has less than was told before
		return fmt.Errorf("%w: %s", errLagging, e.Message)
	case e.Code == codePermissionDenied || e.Code == codeUnauthenticated || e.Code == codeInvalidArgument:
		return fmt.Errorf("%w: %s", errRefused, e.Message)
	}
	return fmt.Errorf("code %d: %s", e.Code, e.Message)
}

// post makes a call with a token where there are credentials, with another one where that has expired.
func (x *etcd) post(ctx context.Context, endpoint int, path string, body any) (*http.Response, error) {
	for again := false; ; again = true {
		header := map[string]string{"Content-Type": "application/json"}
		token, err := x.token(ctx, endpoint, again)
		if err != nil {
			return nil, err
		}
		if token != "" {
			header["Authorization"] = token
		}
		answer, err := x.call(ctx, http.MethodPost, endpoint, path, header, body)
		if err != nil || answer.StatusCode == http.StatusOK {
			return answer, err
		}
		text, err := bounded(answer.Body)
		answer.Body.Close()
		if err != nil {
			return nil, err
		}
		var e etcdError
		if json.Unmarshal(text, &e) != nil {
			return nil, fmt.Errorf("status %d: %.80q", answer.StatusCode, text)
		}
		if e.Code == codeUnauthenticated && token != "" && !again {
			continue
		}
		return nil, e.failure()
	}
}

// token gives an endpoint's token, a new one where that is wanted; empty without credentials.
func (x *etcd) token(ctx context.Context, endpoint int, another bool) (string, error) {
	x.mu.Lock()
	token := x.tokens[endpoint]
	x.mu.Unlock()
	if token != "" && !another {
		return token, nil
	}
	text, err := x.credentials()
	if err != nil || text == "" {
		return "", err
	}
	name, password, _ := strings.Cut(text, ":")
	answer, err := x.call(ctx, http.MethodPost, endpoint, "/v3/auth/authenticate",
		map[string]string{"Content-Type": "application/json"}, map[string]string{"name": name, "password": password})
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	b, err := bounded(answer.Body)
	if err != nil {
		return "", err
	}
	var a struct{ Token string }
	if answer.StatusCode != http.StatusOK || json.Unmarshal(b, &a) != nil || a.Token == "" {
		return "", fmt.Errorf("%w: no token for %s: %.80q", errRefused, name, b)
	}
	x.mu.Lock()
	x.tokens[endpoint] = a.Token
	x.mu.Unlock()
	return a.Token, nil
}

// after is the first key behind all that begin with a prefix.
func after(prefix string) []byte {
	b := []byte(prefix)
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] < 0xff {
			b[i]++
			return b[:i+1]
		}
	}
	return []byte{0}
}

// Read gives the list by pages, all of the first one's revision.
func (x *etcd) List(ctx context.Context, endpoint int, exact bool, tell func(roster.Update)) error {
	from, revision := []byte(x.o.Prefix), int64(0)
	for {
		answer, err := x.post(ctx, endpoint, "/v3/kv/range", map[string]any{"key": from, "range_end": after(x.o.Prefix),
			"limit": fmt.Sprint(pageSize), "revision": fmt.Sprint(revision), "serializable": !exact})
		if err != nil {
			return err
		}
		text, err := bounded(answer.Body)
		answer.Body.Close()
		if err != nil {
			return err
		}
		var page struct {
			Header etcdHeader
			KVs    []etcdKey
			More   bool
		}
		if err := json.Unmarshal(text, &page); err != nil {
			return err
		}
		if revision == 0 {
			if revision = page.Header.Revision; revision <= 0 {
				return errors.New("an answer without a revision")
			}
		}
		u := roster.Update{
			Source:       roster.SourceRegistry,
			Epoch:        page.Header.Cluster,
			Revision:     revision,
			Snapshot:     true,
			Linearizable: exact,
			Fragment:     page.More && len(page.KVs) > 0,
		}
		for _, k := range page.KVs {
			add(&u, x.o.Prefix, string(k.Key), k.Value, k.Mod, false)
		}
		if tell(u); !u.Fragment {
			return nil
		}
		from = slices.Concat(page.KVs[len(page.KVs)-1].Key, []byte{0})
	}
}

// Follow opens a watch. Its first message says that it stands, and how far the server is.
func (x *etcd) Watch(ctx context.Context, endpoint int, from int64, sign func(), tell func(roster.Update)) error {
	ctx, alive, stop := watchdog(ctx, x.o.WatchTimeout)
	defer stop()
	answer, err := x.post(ctx, endpoint, "/v3/watch",
		map[string]any{"create_request": map[string]any{"key": []byte(x.o.Prefix), "range_end": after(x.o.Prefix),
			"start_revision": fmt.Sprint(from), "progress_notify": true, "fragment": true}})
	if err != nil {
		return ended(ctx, err)
	}
	defer answer.Body.Close()
	limit := &io.LimitedReader{R: answer.Body, N: maxAnswer}
	stream := json.NewDecoder(limit)
	held := from - 1 // all up to there has been told
	for {
		var m struct {
			Result struct {
				Header    etcdHeader
				Created   bool
				Canceled  bool
				Compacted int64  `json:"compact_revision,string"`
				Reason    string `json:"cancel_reason"`
				Fragment  bool
				Events    []struct {
					Type string
					KV   etcdKey
				}
			}
			Error *etcdError
		}
		if err := stream.Decode(&m); err != nil {
			return ended(ctx, err)
		}
		limit.N = maxAnswer
		alive()
		sign()
		r := &m.Result
		switch {
		case m.Error != nil:
			return m.Error.failure()
		case r.Canceled && r.Compacted > 0:
			return errCompacted
		case r.Canceled:
			if strings.Contains(r.Reason, "permission") || strings.Contains(r.Reason, "auth") {
				return fmt.Errorf("%w: %s", errRefused, r.Reason)
			}
			return fmt.Errorf("%w: %s", errCancelled, r.Reason)
		case r.Created && r.Header.Revision < held:
			return fmt.Errorf("%w: %d, not %d", errLagging, r.Header.Revision, held)
		}
		u := roster.Update{
			Source:           roster.SourceRegistry,
			Epoch:            r.Header.Cluster,
			Revision:         held,
			PreviousRevision: held,
			Fragment:         r.Fragment,
		}
		for _, e := range r.Events {
			add(&u, x.o.Prefix, string(e.KV.Key), e.KV.Value, e.KV.Mod, e.Type == "DELETE")
			u.Revision = max(u.Revision, e.KV.Mod)
		}
		if len(r.Events) == 0 && !r.Created && !r.Fragment {
			u.Revision = max(held, r.Header.Revision) // a progress notice: there was nothing for this prefix up to there
		}
		if tell(u); !r.Fragment {
			held = u.Revision
		}
	}
}

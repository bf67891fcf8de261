package registry

// This file reads members from etcd: ranges in pages of one revision, and watches with fragments and progress
// notifications.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"weirwind/internal/roster"
)

const pageSize = 2000 // maximum number of entries of a range

type etcdRangeRequest struct {
	Key          []byte `json:"key"`
	Limit        int64  `json:"limit,string"`
	RangeEnd     []byte `json:"range_end"`
	Revision     int64  `json:"revision,string"` // 0 for the newest
	Serializable bool   `json:"serializable"`
}

// Responses are aliases like entryForm.
type etcdRangeResponse = struct {
	Header etcdHeader
	KVs    []etcdKey
	More   bool
}

type etcdWatchRequest struct {
	Create etcdWatchCreate `json:"create_request"`
}

type etcdWatchCreate struct {
	Fragment       bool   `json:"fragment"`
	Key            []byte `json:"key"`
	ProgressNotify bool   `json:"progress_notify"`
	RangeEnd       []byte `json:"range_end"`
	StartRevision  int64  `json:"start_revision,string"`
}

type etcdWatchResponse = struct {
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

// rangeEnd returns the first key after all keys with a prefix.
func rangeEnd(prefix string) []byte {
	b := []byte(prefix)
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] < 0xff {
			b[i]++
			return b[:i+1]
		}
	}
	return []byte{0} // the end of all keys
}

// List delivers the members page by page, as fragments of a snapshot at the first page's revision.
func (c *etcd) List(ctx context.Context, endpoint int, linearizable bool, deliver func(roster.Update)) error {
	next, revision := []byte(c.options.Prefix), int64(0)
	for {
		page, err := c.listPage(ctx, endpoint, linearizable, next, revision)
		if err != nil {
			return err
		}
		if revision == 0 {
			if revision = page.Header.Revision; revision <= 0 {
				return errors.New("an answer without a revision")
			}
		}
		update := roster.Update{
			Source:       roster.SourceRegistry,
			Epoch:        page.Header.Cluster,
			Revision:     revision,
			Snapshot:     true,
			Linearizable: linearizable,
			Fragment:     page.More && len(page.KVs) > 0,
		}
		for _, kv := range page.KVs {
			addEntry(&update, c.memberID(kv.Key), kv.Value, kv.ModRevision)
		}
		deliver(update)
		if !update.Fragment {
			return nil
		}
		next = slices.Concat(page.KVs[len(page.KVs)-1].Key, []byte{0})
	}
}

func (c *etcd) listPage(ctx context.Context, endpoint int, linearizable bool, key []byte, revision int64) (
	page etcdRangeResponse, err error) {
	response, err := c.post(ctx, endpoint, "/v3/kv/range", etcdRangeRequest{
		Key:          key,
		Limit:        pageSize,
		RangeEnd:     rangeEnd(c.options.Prefix),
		Revision:     revision,
		Serializable: !linearizable,
	})
	if err != nil {
		return page, err
	}
	defer response.Body.Close()
	text, err := readBody(response.Body)
	if err != nil {
		return page, err
	}
	err = json.Unmarshal(text, &page)
	return page, err
}

func (c *etcd) memberID(key []byte) string { return strings.TrimPrefix(string(key), c.options.Prefix) }

// Watch opens a watch. The first message confirms its creation and states the revision that the server has reached.
func (c *etcd) Watch(
	ctx context.Context,
	endpoint int,
	from int64,
	active func(),
	deliver func(roster.Update),
) error {
	ctx, alive, stop := watchdog(ctx, c.options.WatchTimeout)
	defer stop()
	response, err := c.post(ctx, endpoint, "/v3/watch", etcdWatchRequest{etcdWatchCreate{
		Fragment:       true,
		Key:            []byte(c.options.Prefix),
		ProgressNotify: true,
		RangeEnd:       rangeEnd(c.options.Prefix),
		StartRevision:  from,
	}})
	if err != nil {
		return watchError(ctx, err)
	}
	defer response.Body.Close()
	limit := &io.LimitedReader{R: response.Body, N: maxBody}
	stream := json.NewDecoder(limit)
	reached := from - 1 // everything up to this revision has been delivered
	for {
		var message struct {
			Result etcdWatchResponse
			Error  *etcdError
		}
		if err := stream.Decode(&message); err != nil {
			return watchError(ctx, err)
		}
		limit.N = maxBody
		alive()
		active()
		if message.Error != nil {
			return message.Error.asError()
		}
		if err := checkWatch(&message.Result, reached); err != nil {
			return err
		}
		update := c.watchUpdate(&message.Result, reached)
		deliver(update)
		if !update.Fragment {
			reached = update.Revision
		}
	}
}

// checkWatch returns an error if the server has ended the watch, or is behind the revision that was reached.
func checkWatch(r *etcdWatchResponse, reached int64) error {
	switch {
	case r.Canceled && r.Compacted > 0:
		return errCompacted
	case r.Canceled && (strings.Contains(r.Reason, "permission") || strings.Contains(r.Reason, "auth")):
		return fmt.Errorf("%w: %s", errRejected, r.Reason)
	case r.Canceled:
		return fmt.Errorf("%w: %s", errCancelled, r.Reason)
	case r.Created && r.Header.Revision < reached:
		return fmt.Errorf("%w: %d, not %d", errLagging, r.Header.Revision, reached)
	}
	return nil
}

// watchUpdate converts one message of a watch.
func (c *etcd) watchUpdate(r *etcdWatchResponse, reached int64) roster.Update {
	update := roster.Update{
		Source:           roster.SourceRegistry,
		Epoch:            r.Header.Cluster,
		Revision:         reached,
		PreviousRevision: reached,
		Fragment:         r.Fragment,
	}
	for _, e := range r.Events {
		if id := c.memberID(e.KV.Key); e.Type == "DELETE" {
			addRemoval(&update, id, e.KV.ModRevision)
		} else {
			addEntry(&update, id, e.KV.Value, e.KV.ModRevision)
		}
		update.Revision = max(update.Revision, e.KV.ModRevision)
	}
	if len(r.Events) == 0 && !r.Created && !r.Fragment {
		update.Revision = max(reached, r.Header.Revision) // progress notification: no changes up to there
	}
	return update
}

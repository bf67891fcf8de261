package mesh

// This file implements the storage of votes on disk.

import (
	"fmt"

	"weirwind/internal/durable"
	"weirwind/internal/fleet/membership"
)

const (
	votesTag      = "VOTE"
	maxVotesBytes = 8 << 20
)

// openVotes opens the store and returns the state that an earlier process last saved, or nil.
func openVotes(dir string) (*durable.Latest, *membership.SavedState, error) {
	store, last, err := durable.OpenLatest(dir, votesTag, maxVotesBytes)
	if err != nil || len(last) == 0 {
		return store, nil, err
	}
	saved := &membership.SavedState{}
	if err := decoder.Unmarshal(last, saved); err != nil {
		_ = store.Close() // err is the cause
		return nil, nil, fmt.Errorf("folder: %s: %w", dir, err)
	}
	return store, saved, nil
}

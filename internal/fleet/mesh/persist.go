package mesh

// This file owns the form in which votes outlive the process.

import (
	"fmt"

	"weirwind/internal/durable"
	"weirwind/internal/fleet/membership"
)

const (
	votesTag      = "VOTE"
	maxVotesBytes = 8 << 20 // bytes
)

// openKeeper recovers what an earlier process kept; nil for nothing.
func openVotes(folder string) (*durable.Latest, *membership.SavedState, error) {
	store, last, err := durable.OpenLatest(folder, votesTag, maxVotesBytes)
	if err != nil || len(last) == 0 {
		return store, nil, err
	}
	kept := &membership.SavedState{}
	if err := decoder.Unmarshal(last, kept); err != nil {
		_ = store.Close() // err is what went wrong
		return nil, nil, fmt.Errorf("folder: %s: %w", folder, err)
	}
	return store, kept, nil
}

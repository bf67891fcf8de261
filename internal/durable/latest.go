package durable

// This file implements a store that keeps only the newest value. It returns an error instead of a value that may be
// older than the newest synced one.

import "fmt"

// Latest keeps one value. Its methods must not be called concurrently.
type Latest struct{ store *Store }

// OpenLatest opens a folder and returns the newest value, nil if there is none. It fails if the folder has lost
// records, as the newest value may be among them; operators then move the folder away to start with an empty one.
func OpenLatest(folder, tag string, limit int64) (*Latest, []byte, error) {
	store, recovered, err := Open(OS{}, Options{Folder: folder, Tag: tag, Limit: limit})
	if err != nil {
		return nil, nil, fmt.Errorf("folder: %w", err)
	}
	value := recovered.Snapshot
	if n := len(recovered.Records); n > 0 {
		value = recovered.Records[n-1]
	}
	if recovered.RecordsLost {
		err = fmt.Errorf("folder: %s has lost records; move it away to start with an empty one", folder)
	} else {
		err = store.Compact(value)
	}
	if err != nil {
		_ = store.Close() // the first error is the relevant one
		return nil, nil, err
	}
	return &Latest{store}, value, nil
}

// Save stores a value and returns when it is synced.
func (l *Latest) Save(value []byte) error {
	err := l.store.Append(value)
	if err != nil || l.store.NeedsCompaction() { // after a failure, a new generation accepts records again
		return l.store.Compact(value)
	}
	return nil
}

// Close closes the store and unlocks its folder.
func (l *Latest) Close() error { return l.store.Close() }

package durable

// This file owns a store of which only the newest value counts. It must never return a value that may not be the
// newest that was safe.

import "fmt"

// Latest keeps one value. Its methods may not be called from several goroutines at a time.
type Latest struct{ store *Store }

// OpenLatest opens a folder and returns the newest value, nil for none. A folder that has lost records is an error: the
// newest value may have been among them. Operators move the folder away to begin anew.
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
		err = fmt.Errorf("folder: %s has lost records; move it away to begin anew", folder)
	} else {
		err = store.Compact(value)
	}
	if err != nil {
		_ = store.Close() // err is what went wrong
		return nil, nil, err
	}
	return &Latest{store}, value, nil
}

// Save takes a value and returns when it is safe.
func (l *Latest) Save(value []byte) error {
	err := l.store.Append(value)
	if err != nil || l.store.NeedsCompaction() { // a new generation takes records again
		return l.store.Compact(value)
	}
	return nil
}

// Close unlocks the folder.
func (l *Latest) Close() error { return l.store.Close() }

package durable

// This file owns the plainest use of a store: only the newest value of one thing counts. It must never give out a value
// that may not be the newest that was said to be safe.

import "fmt"

// Last keeps one value. Its methods are not for several goroutines at a time.
type Latest struct{ store *Store }

// OpenLast opens a folder and gives the newest value, nil for none. A folder that has lost records is an error: the
// newest may have been among them, and operators are to say that it is begun anew, by moving it away.
func OpenLatest(folder, tag string, limit int64) (*Latest, []byte, error) {
	store, found, err := Open(OS{}, Options{Folder: folder, Tag: tag, Limit: limit})
	if err != nil {
		return nil, nil, fmt.Errorf("folder: %w", err)
	}
	last := found.Snapshot
	if n := len(found.Records); n > 0 {
		last = found.Records[n-1]
	}
	if found.RecordsLost {
		err = fmt.Errorf("folder: %s has lost records; move it away to begin anew", folder)
	} else {
		err = store.Compact(last)
	}
	if err != nil {
		_ = store.Close() // err is what went wrong
		return nil, nil, err
	}
	return &Latest{store}, last, nil
}

// Save returns when a value is safe.
func (l *Latest) Save(value []byte) error {
	err := l.store.Append(value)
	if err != nil || l.store.NeedsCompaction() { // a generation begun anew takes records again
		return l.store.Compact(value)
	}
	return nil
}

// Close lets the folder go.
func (l *Latest) Close() error { return l.store.Close() }

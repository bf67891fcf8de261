package ledger

import (
	"fmt"
	"math"
)

// Limits bound the contents of a table.
type Limits struct {
	Retention   float64 // milliseconds for which a finished key is kept
	Keys        int     // maximum number of keys
	TotalBytes  int     // maximum size of keys and answers, including entryOverhead for each entry
	AnswerBytes int     // maximum size of one stored answer; longer answers are dropped
}

const (
	entryOverhead = 96  // approximate size of an entry without its key and answer, in bytes
	minKeyBytes   = 256 // minimum room for a key beside a maximum answer
)

// Check returns an error if the limits are invalid.
func (l Limits) Check() error {
	if !(l.Retention > 0) || math.IsInf(l.Retention, 0) || l.Keys < 1 || l.AnswerBytes < 0 ||
		l.TotalBytes < l.AnswerBytes+entryOverhead+minKeyBytes {
		return fmt.Errorf("ledger: {Keep:%v Keys:%d Bytes:%d Answer:%d} makes no sense", // the settings' names
			l.Retention, l.Keys, l.TotalBytes, l.AnswerBytes)
	}
	return nil
}

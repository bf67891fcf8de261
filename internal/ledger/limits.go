package ledger

import (
	"fmt"
	"math"
)

// Limits bound a table.
type Limits struct {
	Retention   float64 // milliseconds that a key is remembered after it was finished
	Keys        int     // at a time
	TotalBytes  int     // of keys and answers together, with entryOverhead for each
	AnswerBytes int     // of one answer that is kept; of a longer one only that it was given
}

const (
	entryOverhead = 96  // bytes that an entry takes beside its key and answer, about
	minKeyBytes   = 256 // room for a key beside an answer that there must be
)

// Check says what is wrong with limits.
func (l Limits) Check() error {
	if !(l.Retention > 0) || math.IsInf(l.Retention, 0) || l.Keys < 1 || l.AnswerBytes < 0 ||
		l.TotalBytes < l.AnswerBytes+entryOverhead+minKeyBytes {
		return fmt.Errorf("ledger: {Keep:%v Keys:%d Bytes:%d Answer:%d} makes no sense", // as the settings are named
			l.Retention, l.Keys, l.TotalBytes, l.AnswerBytes)
	}
	return nil
}

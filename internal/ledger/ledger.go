package ledger

import (
	"hash/fnv"
	"slices"
)

// State is the state of a key; the package documentation has a table.
type State uint8

// The states of a key. Their numbers are stored in records.
const (
	StateFree State = iota
	StateOpen
	StateAcked
	StateUnknown
)

// Verdict states how an op with a key is handled.
type Verdict uint8

// The verdicts.
const (
	Execute    Verdict = iota // the key is begun: execute the op after its record is on disk
	Replay                    // the op was acked: return the stored answer
	AnswerLost                // the op was acked, and its answer isn't stored
	InDoubt                   // the op may have taken effect: return an error that says so
	InProgress                // an op with this key is open: the client may retry
	TableFull                 // the table has no room for another key: the client may retry
	Conflict                  // the key was used with a different statement: reject the op
)

// Table holds the known keys.
type Table struct {
	limits  Limits
	entries map[string]*entry // by key; none is in StateFree
	bytes   int               // of all entries, by entrySize
	// expiries lists the finished keys with the time at which they finished, oldest first. A key that was begun again
	// may occur more than once; Expire skips the occurrences that are older than the key's entry.
	expiries []expiry
}

type expiry struct {
	since float64 // milliseconds
	key   string
}

// New returns an empty table.
func New(limits Limits) *Table { return &Table{limits: limits, entries: map[string]*entry{}} }

// Fingerprint returns a hash that distinguishes statements.
func Fingerprint(statement []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(statement) // hash.Hash never returns an error
	return h.Sum64()
}

// Begin decides how to handle an op; now is in milliseconds. With Execute it begins the key, and the returned record
// must be on disk before anything is sent.
func (t *Table) Begin(now float64, key string, fingerprint uint64) (verdict Verdict, answer, begun []byte) {
	t.Expire(now)
	if e := t.entries[key]; e != nil {
		verdict, answer = e.verdict(fingerprint)
		return verdict, answer, nil
	}
	e := entry{State: StateOpen, Fingerprint: fingerprint, ChangedAt: now}
	if len(t.entries) >= t.limits.Keys || t.bytes+entrySize(key, &e)+t.limits.AnswerBytes > t.limits.TotalBytes {
		return TableFull, nil, nil
	}
	t.put(key, e)
	return Execute, nil, encode(record{key, e})
}

// verdict returns the verdict on another op with a known key, and the stored answer.
func (e *entry) verdict(fingerprint uint64) (verdict Verdict, answer []byte) {
	switch {
	case e.Fingerprint != fingerprint:
		return Conflict, nil
	case e.State == StateOpen:
		return InProgress, nil
	case e.State == StateUnknown:
		return InDoubt, nil
	case e.TooLong:
		return AnswerLost, nil
	}
	return Replay, e.Answer
}

// Finish sets the final state of a key that was begun here: StateAcked with its answer, StateFree if the op is proved
// not to have run, or StateUnknown. It returns the record, or nil if the key isn't open.
func (t *Table) Finish(now float64, key string, state State, answer []byte) (finished []byte) {
	open := t.entries[key]
	if open == nil || open.State != StateOpen || state == StateOpen {
		return nil
	}
	e := entry{State: state, Fingerprint: open.Fingerprint, ChangedAt: now}
	if state == StateAcked {
		// Begin checked for room for one answer, but other keys may have begun since.
		if e.TooLong = len(answer) > t.limits.AnswerBytes || t.bytes+len(answer) > t.limits.TotalBytes; !e.TooLong {
			e.Answer = slices.Clone(answer)
		}
	}
	t.put(key, e)
	if state != StateFree {
		t.expiries = append(t.expiries, expiry{now, key})
	}
	return encode(record{key, e})
}

// Expire removes the keys whose retention is over. Open keys stay.
func (t *Table) Expire(now float64) {
	n := 0
	for ; n < len(t.expiries) && now-t.expiries[n].since >= t.limits.Retention; n++ {
		x := t.expiries[n]
		if e := t.entries[x.key]; e != nil && e.State != StateOpen && e.ChangedAt <= x.since {
			t.put(x.key, entry{State: StateFree})
		}
	}
	t.expiries = slices.Delete(t.expiries, 0, n)
}

// put replaces a key's entry, or removes it if the new entry is in StateFree.
func (t *Table) put(key string, e entry) {
	if old := t.entries[key]; old != nil {
		t.bytes -= entrySize(key, old)
		delete(t.entries, key)
	}
	if e.State != StateFree {
		t.entries[key] = &e
		t.bytes += entrySize(key, &e)
	}
}

func entrySize(key string, e *entry) int { return entryOverhead + len(key) + len(e.Answer) }

// Counts returns the number of keys by state, and their approximate size in bytes.
func (t *Table) Counts() (open, acked, unknown, bytes int) {
	for _, e := range t.entries {
		switch e.State {
		case StateOpen:
			open++
		case StateAcked:
			acked++
		case StateUnknown:
			unknown++
		}
	}
	return open, acked, unknown, t.bytes
}

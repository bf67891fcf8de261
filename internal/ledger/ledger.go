package ledger

import (
	"hash/fnv"
	"slices"
)

// State is how far a key has come; doc.go has a table.
type State uint8

// The states of a key. Their numbers are in stored records.
const (
	StateFree State = iota
	StateOpen
	StateAcked
	StateUnknown
)

// Verdict says what is to be done with an op that names a key.
type Verdict uint8

// The verdicts.
const (
	Execute    Verdict = iota // the key is begun: execute the op once its record is safe
	Replay                    // it was acked: give the answer that is kept
	AnswerLost                // it was acked, and its answer isn't kept
	InDoubt                   // it may have taken effect: an error that says so
	InProgress                // an op with this key is open: busy, retry
	TableFull                 // there is no room for another key: busy, retry
	Conflict                  // the key was used with another statement: bad input
)

// Table is the keys that are known.
type Table struct {
	limits  Limits
	entries map[string]*entry // by key; none is in StateFree
	bytes   int               // of all entries, by entrySize
	// expiries has each finished key with when it was finished, oldest first. A key that has been begun anew since
	// may stand in it more than once; Expire skips those whose entry is newer.
	expiries []expiry
}

type expiry struct {
	since float64 // milliseconds
	key   string
}

// New makes an empty table.
func New(limits Limits) *Table { return &Table{limits: limits, entries: map[string]*entry{}} }

// Fingerprint tells one statement from another.
func Fingerprint(statement []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(statement) // a hash takes all
	return h.Sum64()
}

// Begin says what is to be done with an op at a time in milliseconds. With Execute its key is begun, and the record
// has to be safe before anything is sent.
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

// verdict is what a known key means for another op.
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

// Finish sets what became of a key that was begun here: StateAcked with its answer, StateFree where it is proved that
// nothing ran, or StateUnknown. It returns nil where the key isn't open.
func (t *Table) Finish(now float64, key string, state State, answer []byte) (finished []byte) {
	open := t.entries[key]
	if open == nil || open.State != StateOpen || state == StateOpen {
		return nil
	}
	e := entry{State: state, Fingerprint: open.Fingerprint, ChangedAt: now}
	if state == StateAcked {
		// Begin made sure of room for an answer, but others may have begun since.
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

// Expire forgets the keys whose retention is over. Open keys stay.
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

// put replaces a key's entry; one in StateFree removes it.
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

// Counts says how many keys there are by state, and how many bytes they take, about.
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

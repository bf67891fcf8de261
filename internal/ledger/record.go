package ledger

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// ErrFormat reports a saved ledger that can't be read.
var ErrFormat = errors.New("ledger: not a book of this version")

const version = 1 // of the stored format

// entry is the stored state of a key.
type entry struct {
	State       State   `cbor:"1,keyasint"`
	Fingerprint uint64  `cbor:"2,keyasint"` // of the statement
	ChangedAt   float64 `cbor:"3,keyasint"` // when State was set, in milliseconds
	Answer      []byte  `cbor:"4,keyasint,omitempty"`
	TooLong     bool    `cbor:"5,keyasint,omitempty"` // acked, but its answer did not fit
}

// record is an entry in the log or in a snapshot. A record in StateFree removes the key.
type record struct {
	Key string `cbor:"6,keyasint"`
	entry
}

type snapshot struct {
	Version int      `cbor:"1,keyasint"`
	Entries []record `cbor:"2,keyasint"`
}

// decoder allows tables of any size that Limits permit, as the library's default limit on arrays is lower.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 16 << 20}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Load builds a table from a snapshot, nil if there is none, and the records that follow it. Keys that were open when
// they were written become unknown. It returns ErrFormat if any of them can't be read.
func Load(limits Limits, now float64, saved []byte, records [][]byte) (*Table, error) {
	t := New(limits)
	if saved != nil {
		var s snapshot
		if err := decoder.Unmarshal(saved, &s); err != nil || s.Version != version {
			return nil, errors.Join(ErrFormat, err)
		}
		for _, r := range s.Entries {
			t.put(r.Key, r.entry)
		}
	}
	for _, b := range records {
		var r record
		if err := decoder.Unmarshal(b, &r); err != nil || r.Key == "" || r.State > StateUnknown {
			return nil, errors.Join(ErrFormat, err)
		}
		t.put(r.Key, r.entry)
	}
	t.markOpenUnknown(now)
	t.Expire(now)
	return t, nil
}

// markOpenUnknown marks the keys that were open in the previous run as unknown, and orders all keys by expiry. It moves
// dates in the future to now: a clock that went back must not keep keys for longer than their retention.
func (t *Table) markOpenUnknown(now float64) {
	for _, key := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[key]
		if e.ChangedAt = min(e.ChangedAt, now); e.State == StateOpen {
			e.State, e.ChangedAt = StateUnknown, now
		}
		t.expiries = append(t.expiries, expiry{e.ChangedAt, key})
	}
	slices.SortFunc(t.expiries, func(x, y expiry) int {
		return cmp.Or(cmp.Compare(x.since, y.since), cmp.Compare(x.key, y.key))
	})
}

// Snapshot returns the whole table.
func (t *Table) Snapshot() []byte {
	s := snapshot{Version: version}
	for _, key := range slices.Sorted(maps.Keys(t.entries)) {
		s.Entries = append(s.Entries, record{key, *t.entries[key]})
	}
	return encode(s)
}

func encode(form any) []byte {
	b, err := cbor.Marshal(form)
	if err != nil {
		panic(err) // every type in records and snapshots can be encoded
	}
	return b
}

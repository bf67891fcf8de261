package ledger

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// ErrForm says that a saved ledger can't be read.
var ErrForm = errors.New("ledger: not a book of this version")

const version = 1 // of the stored forms

// entry is what is known of a key.
type entry struct {
	State       State   `cbor:"1,keyasint"`
	Fingerprint uint64  `cbor:"2,keyasint"` // of the statement
	ChangedAt   float64 `cbor:"3,keyasint"` // when State was set, in milliseconds
	Answer      []byte  `cbor:"4,keyasint,omitempty"`
	TooLong     bool    `cbor:"5,keyasint,omitempty"` // acked, but there was no room for its answer
}

// record is an entry in the log or a snapshot; one in StateFree removes the key.
type record struct {
	Key string `cbor:"6,keyasint"`
	entry
}

type snapshot struct {
	Version int      `cbor:"1,keyasint"`
	Entries []record `cbor:"2,keyasint"`
}

// decoder reads a table of any size that Limits may allow: the library's own limit on lists is lower.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 16 << 20}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Load makes a table of a snapshot, nil for none, and the records behind it. What was open when they were written is
// unknown now. Its error is ErrForm.
func Load(limits Limits, now float64, saved []byte, records [][]byte) (*Table, error) {
	t := New(limits)
	if saved != nil {
		var s snapshot
		if err := decoder.Unmarshal(saved, &s); err != nil || s.Version != version {
			return nil, errors.Join(ErrForm, err)
		}
		for _, r := range s.Entries {
			t.put(r.Key, r.entry)
		}
	}
	for _, b := range records {
		var r record
		if err := decoder.Unmarshal(b, &r); err != nil || r.Key == "" || r.State > StateUnknown {
			return nil, errors.Join(ErrForm, err)
		}
		t.put(r.Key, r.entry)
	}
	t.closeOpen(now)
	t.Expire(now)
	return t, nil
}

// closeOpen ends the keys whose ops were open in the run before, and orders all by when they expire. No date is left
// after the present: a clock that went back must not keep keys for longer than their retention.
func (t *Table) closeOpen(now float64) {
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

// Snapshot is the whole table.
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

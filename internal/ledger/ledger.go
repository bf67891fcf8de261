// Package ledger decides what a driver may do for an op whose client names it by a key of its own, so that a repeat
// behind a lost answer, a killed driver or a restart never has a second effect. It does no I/O and reads no clock.
//
// This file owns the book of keys, its records and its limits. It must never let an op go out of which it can't be said
// that no earlier one with its key may have run, forget a key before its time, or grow beyond its limits.
//
// A key is begun before the first byte for it goes to a member: its record is on disk by then. It ends as acked, with
// the answer, as not run, which frees it, or as unknown. A key that was begun when its driver died is unknown. Records
// go to a log in the order in which they were given out; a snapshot is the whole book.
package ledger

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// State is how far a key has come.
type State uint8

// The states of a key.
const (
	Free    State = iota // never begun, proved not to have run, or forgotten in its time
	Open                 // begun, and its op is open in this driver
	Acked                // done; the answer is known
	Unknown              // it may have run, and nothing tells whether
)

// Rules are a book's limits. Times are milliseconds.
type Rules struct {
	Keep   float64 // a key is remembered for so long behind its end
	Keys   int     // at a time
	Bytes  int     // of keys and answers together
	Answer int     // bytes of one answer that are kept; a longer one is known to have been given, and not what it was
}

// Verdict says what is to be done with an op that names a key.
type Verdict uint8

// The verdicts on an op that bears a key.
const (
	Go        Verdict = iota // it is begun: write its record, then let it go
	Known                    // it was acked: give the answer
	Told                     // it was acked, and the answer is not kept
	Doubt                    // it may have run: an error that says so
	Wait                     // an op with this key is open: busy, ask again
	Full                     // no room for another key: busy
	Different                // the key was another statement's: bad input
)

// ErrForm says that a kept ledger can't be read.
var ErrForm = errors.New("ledger: not a book of this version")

const version = 1

// decoder reads a book of any size that Rules may allow: the library's own limit on lists is lower.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 16 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

type entry struct {
	State  State   `cbor:"1,keyasint"`
	Print  uint64  `cbor:"2,keyasint"` // of the statement
	At     float64 `cbor:"3,keyasint"` // of the last change
	Answer []byte  `cbor:"4,keyasint,omitempty"`
	Long   bool    `cbor:"5,keyasint,omitempty"` // the answer was too long to be kept
}

type record struct {
	Key string `cbor:"6,keyasint"`
	entry
}

type snapshot struct {
	Version int      `cbor:"1,keyasint"`
	Entries []record `cbor:"2,keyasint"`
}

// Book is the keys that are known.
type Book struct {
	rules Rules
	keys  map[string]*entry
	bytes int
	order []turn // when entries may be forgotten, oldest first
}

type turn struct {
	at  float64
	key string
}

const entryBytes = 96 // about what an entry takes beside its key and answer

// New makes an empty book.
func New(r Rules) *Book { return &Book{rules: r, keys: map[string]*entry{}} }

// Load makes a book of a snapshot and the records behind it, as an earlier run left them. What was open then is unknown
// now. Records that can't be read end it with an error: a key that is missing could run twice.
func Load(r Rules, now float64, snap []byte, records [][]byte) (*Book, error) {
	b := New(r)
	if snap != nil {
		var s snapshot
		if err := decoder.Unmarshal(snap, &s); err != nil || s.Version != version {
			return nil, errors.Join(ErrForm, err)
		}
		for _, x := range s.Entries {
			b.put(x.Key, x.entry)
		}
	}
	for _, text := range records {
		var x record
		if err := decoder.Unmarshal(text, &x); err != nil || x.Key == "" || x.State > Unknown {
			return nil, errors.Join(ErrForm, err)
		}
		b.put(x.Key, x.entry)
	}
	for _, key := range slices.Sorted(maps.Keys(b.keys)) {
		e := b.keys[key]
		if e.At = min(e.At, now); e.State == Open {
			e.State, e.At = Unknown, now
		}
		b.order = append(b.order, turn{e.At, key})
	}
	slices.SortFunc(b.order, func(x, y turn) int { return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.key, y.key)) })
	b.Tick(now)
	return b, nil
}

func size(key string, e *entry) int { return entryBytes + len(key) + len(e.Answer) }

func (b *Book) put(key string, e entry) {
	if old := b.keys[key]; old != nil {
		b.bytes -= size(key, old)
		delete(b.keys, key)
	}
	if e.State != Free {
		b.keys[key] = &e
		b.bytes += size(key, &e)
	}
}

// Print is a statement's fingerprint.
func Print(statement []byte) uint64 {
	h := fnv.New64a()
	h.Write(statement)
	return h.Sum64()
}

// Ask says what is to be done with an op. With Go the key is begun, and the record is to be safe before anything goes
// out.
func (b *Book) Ask(now float64, key string, print uint64) (v Verdict, answer, rec []byte) {
	b.Tick(now)
	if e := b.keys[key]; e != nil {
		switch {
		case e.Print != print:
			return Different, nil, nil
		case e.State == Open:
			return Wait, nil, nil
		case e.State == Unknown:
			return Doubt, nil, nil
		case e.Long:
			return Told, nil, nil
		}
		return Known, e.Answer, nil
	}
	e := entry{State: Open, Print: print, At: now}
	if len(b.keys) >= b.rules.Keys || b.bytes+size(key, &e)+b.rules.Answer > b.rules.Bytes {
		return Full, nil, nil
	}
	b.put(key, e)
	return Go, nil, encode(key, e)
}

// End notes what became of a key that was begun here: Acked with its answer, Free where it is proved that nothing ran,
// or Unknown. The record need not be safe before the client is told: without it the key is unknown, which is true.
func (b *Book) End(now float64, key string, s State, answer []byte) (rec []byte) {
	e := b.keys[key]
	if e == nil || e.State != Open || s == Open {
		return nil
	}
	x := entry{State: s, Print: e.Print, At: now}
	if s == Acked {
		// Others may have begun since: what no longer fits is not kept, but that it was acked is.
		if x.Long = len(answer) > b.rules.Answer || b.bytes+len(answer) > b.rules.Bytes; !x.Long {
			x.Answer = slices.Clone(answer)
		}
	}
	b.put(key, x)
	if s != Free {
		b.order = append(b.order, turn{now, key})
	}
	return encode(key, x)
}

// Tick forgets what is past its time. Keys that are open stay.
func (b *Book) Tick(now float64) {
	n := 0
	for ; n < len(b.order) && now-b.order[n].at >= b.rules.Keep; n++ {
		t := b.order[n]
		if e := b.keys[t.key]; e != nil && e.State != Open && e.At <= t.at {
			b.put(t.key, entry{})
		}
	}
	b.order = slices.Delete(b.order, 0, n)
}

// Snapshot is the whole book.
func (b *Book) Snapshot() []byte {
	s := snapshot{Version: version}
	for _, key := range slices.Sorted(maps.Keys(b.keys)) {
		s.Entries = append(s.Entries, record{key, *b.keys[key]})
	}
	text, err := cbor.Marshal(s)
	if err != nil {
		panic(err)
	}
	return text
}

func encode(key string, e entry) []byte {
	text, err := cbor.Marshal(record{key, e})
	if err != nil {
		panic(err)
	}
	return text
}

// Counts says how many keys there are, by state, and about how many bytes.
func (b *Book) Counts() (open, acked, unknown, bytes int) {
	for _, e := range b.keys {
		switch e.State {
		case Open:
			open++
		case Acked:
			acked++
		case Unknown:
			unknown++
		}
	}
	return open, acked, unknown, b.bytes
}

// Check says what is wrong with rules.
func (r Rules) Check() error {
	if !(r.Keep > 0) || math.IsInf(r.Keep, 0) || r.Keys < 1 || r.Answer < 0 || r.Bytes < r.Answer+entryBytes+256 {
		return fmt.Errorf("ledger: %+v makes no sense", r)
	}
	return nil
}

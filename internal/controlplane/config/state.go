package config

// This file owns changes: which are known as taken, and what state follows when one is taken.

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"

	"weirwind/internal/session/sites"
	"weirwind/internal/shard/shardmap"
)

// Change is what an operator sends.
type Change struct {
	Amend       bool
	BaseVersion uint64 // the version that it is built on
	Body        []byte
}

// Digest tells exact repeats from other changes.
func (c *Change) Digest() [32]byte {
	h := sha256.New()
	fmt.Fprintf(h, "%v %d ", c.Amend, c.BaseVersion)
	h.Write(c.Body)
	return [32]byte(h.Sum(nil))
}

// AppliedChange is a change that was taken.
type AppliedChange struct {
	Version     uint64   `cbor:"1,keyasint" json:"Gen"`
	BaseVersion uint64   `cbor:"2,keyasint" json:"Base"`
	Digest      [32]byte `cbor:"3,keyasint" json:"Digest"`
	Origin      string   `cbor:"4,keyasint" json:"Node"` // machine of the core that was called
	AppliedAt   int64    `cbor:"5,keyasint" json:"At"`   // its time of day in milliseconds, for people; nothing decides by it
}

// mostPast is how many changes repeats are told by. Any number is safe, as what is older is left without a clear
// answer; each costs some eighty bytes of every entry, which goes over the wire whole. Callers send again within
// seconds: at 22,000 changes a day these are a quarter of an hour, at four a second a minute.
const mostPast = 256

// State is the operator's word: the newest configuration as it was sent, and which changes led to it.
type State struct {
	Version uint64          `cbor:"1,keyasint"`
	Raw     []byte          `cbor:"2,keyasint"`
	History []AppliedChange `cbor:"3,keyasint"`

	Shards *shardmap.Map `cbor:"4,keyasint,omitempty"` // who holds which; nil: none were founded
	Sites  *sites.Map    `cbor:"5,keyasint,omitempty"` // that hold open sessions; nil: there are none
	Roster Roster        `cbor:"9,keyasint,omitempty"` // members that may hold an acknowledged commit
}

// WithShards gives the book with a change of who holds which shard. The same book: it was taken before.
func (b *State) WithShards(c *shardmap.Change) (*State, error) {
	m, err := b.Shards.Apply(c)
	if err != nil {
		return nil, refuse(409, "shards", "%v", err)
	}
	if m == b.Shards {
		return b, nil
	}
	next := *b
	next.Shards = m
	return &next, nil
}

// UndecidedError is why neither yes nor no can be said of a change: its caller is to send it again.
type UndecidedError struct {
	Reason string
	Text   string
	Later  bool // a change that is under way may decide it
}

func (u *UndecidedError) Error() string { return u.Text }

// HasApplied says whether exactly this change was taken, among those that are remembered.
func (b *State) HasApplied(c *Change) bool {
	d := c.Digest()
	return slices.ContainsFunc(b.History, func(p AppliedChange) bool { return p.Digest == d })
}

// remembered is the oldest base of which it is known what was taken on it.
func (b *State) remembered() uint64 {
	if len(b.History) == 0 {
		return b.Version
	}
	return b.History[0].BaseVersion
}

// fits says whether a change that is not remembered may follow: each version has one successor. A base behind is
// refused for ever, but where that is so long ago that this very change may be the one that was taken on it.
func (b *State) fits(base uint64) error {
	switch {
	case base > b.Version:
		text := fmt.Sprintf("version %d, on which it builds, is not in place; version %d is", base, b.Version)
		return &UndecidedError{"base_ahead", text, true}
	case base < b.remembered():
		text := fmt.Sprintf("what was taken on version %d is no longer known; version %d is in place", base, b.Version)
		return &UndecidedError{"forgotten", text, false}
	case base < b.Version:
		return refuse(412, "other_base", "version %d is in place, not %d", b.Version, base)
	}
	return nil
}

// Apply makes of a state and a change that was not taken before the next state, or says why not: a Refusal holds in
// all states that can follow this one, too.
func (b *State) Apply(c *Change, node string, at int64) (*State, error) {
	gen, err := c.gen() // what is wrong by itself is so on any base
	if err != nil {
		return nil, err
	}
	if gen <= c.BaseVersion && c.BaseVersion > b.Version {
		return nil, refuse(400, "old_version", "its gen %d is not higher than %d, on which it builds", gen, c.BaseVersion)
	}
	if err := b.fits(c.BaseVersion); err != nil {
		return nil, err
	}
	if gen <= b.Version {
		return nil, refuse(400, "old_version", "its gen %d is not higher than %d, which is in place", gen, b.Version)
	}
	raw := c.Body
	if c.Amend {
		if raw, err = b.amended(c.Body); err != nil {
			return nil, err
		}
		if _, err := Parse(raw); err != nil {
			return nil, err
		}
	}
	past := append(slices.Clone(b.History), AppliedChange{gen, c.BaseVersion, c.Digest(), node, at})
	if len(past) > mostPast {
		past = past[len(past)-mostPast:]
	}
	next := *b
	next.Version, next.Raw, next.History = gen, bytes.Clone(raw), past
	return &next, nil
}

// gen reads which version a change makes.
func (c *Change) gen() (uint64, error) {
	if c.Amend {
		a, err := readAmendment(c.Body)
		if err != nil {
			return 0, err
		}
		return *a.Gen, nil
	}
	cfg, err := Parse(c.Body)
	if err != nil {
		return 0, err
	}
	return cfg.Version, nil
}

// WithSites gives the book with a change of the sites. The same book: it was so before.
func (b *State) WithSites(c *sites.Change) (*State, error) {
	m, err := b.Sites.Apply(c)
	if err != nil {
		return nil, refuse(409, "sites", "%v", err)
	}
	if m == b.Sites {
		return b, nil
	}
	next := *b
	next.Sites = m
	return &next, nil
}

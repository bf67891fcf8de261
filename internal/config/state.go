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
	Amend bool
	Base  uint64 // the version that it is built on
	Body  []byte
}

// Digest tells exact repeats from other changes.
func (c *Change) Digest() [32]byte {
	h := sha256.New()
	fmt.Fprintf(h, "%v %d ", c.Amend, c.Base)
	h.Write(c.Body)
	return [32]byte(h.Sum(nil))
}

// Past is a change that was taken.
type Past struct {
	Gen    uint64   `cbor:"1,keyasint"`
	Base   uint64   `cbor:"2,keyasint"`
	Digest [32]byte `cbor:"3,keyasint"`
	Node   string   `cbor:"4,keyasint"` // machine of the core that was called
	At     int64    `cbor:"5,keyasint"` // its time of day in milliseconds, for people; nothing decides by it
}

const mostPast = 512 // changes that repeats are told by

// State is the operator's word: the newest configuration as it was sent, and which changes led to it.
type State struct {
	Gen  uint64 `cbor:"1,keyasint"`
	Raw  []byte `cbor:"2,keyasint"`
	Past []Past `cbor:"3,keyasint"`

	Shards *shardmap.Map `cbor:"4,keyasint,omitempty"` // who holds which; nil: none were founded
	Sites  *sites.Map    `cbor:"5,keyasint,omitempty"` // that hold open sessions; nil: there are none
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

// Taken says whether exactly this change was taken.
func (b *State) Taken(c *Change) bool {
	d := c.Digest()
	return slices.ContainsFunc(b.Past, func(p Past) bool { return p.Digest == d })
}

// Apply makes of a book and a change the next book, or says why not.
func (b *State) Apply(c *Change, node string, at int64) (*State, error) {
	raw := c.Body
	if c.Amend {
		var err error
		if raw, err = b.amended(c.Body); err != nil {
			return nil, err
		}
	}
	cfg, err := Read(raw)
	if err != nil {
		return nil, err
	}
	if c.Base != b.Gen {
		return nil, refuse(412, "other_base", "version %d is in place, not %d", b.Gen, c.Base)
	}
	if cfg.Gen <= b.Gen {
		return nil, refuse(400, "old_version", "its gen %d is not higher than %d, which is in place", cfg.Gen, b.Gen)
	}
	past := append(slices.Clone(b.Past), Past{cfg.Gen, c.Base, c.Digest(), node, at})
	if len(past) > mostPast {
		past = past[len(past)-mostPast:]
	}
	return &State{cfg.Gen, bytes.Clone(raw), past, b.Shards, b.Sites}, nil
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

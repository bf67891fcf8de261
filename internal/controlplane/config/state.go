package config

import (
	"bytes"
	"slices"

	"weirwind/internal/session/sites"
	"weirwind/internal/shard/shardmap"
)

// State is what the control plane agrees on. It is replicated and stored whole, as CBOR by the keys of its tags. A
// State is never changed once it is made: each change makes another.
type State struct {
	Version uint64          `cbor:"1,keyasint"` // of the configuration in place; 0: there is none yet
	Raw     []byte          `cbor:"2,keyasint"` // the configuration as it was sent, or as amendments left it
	History []AppliedChange `cbor:"3,keyasint"` // newest last, at most maxHistory

	Shards *shardmap.Map `cbor:"4,keyasint,omitempty"` // who owns which shard; nil: none were founded
	Sites  *sites.Map    `cbor:"5,keyasint,omitempty"` // that hold open sessions; nil: there are none
	Roster Roster        `cbor:"9,keyasint,omitempty"` // members that may hold an acknowledged commit
}

// AppliedChange is an entry of the history. GET /config/log shows it as JSON.
type AppliedChange struct {
	Version     uint64   `cbor:"1,keyasint" json:"Gen"`  // that the change made
	BaseVersion uint64   `cbor:"2,keyasint" json:"Base"` // that it was built on
	Digest      [32]byte `cbor:"3,keyasint" json:"Digest"`
	Origin      string   `cbor:"4,keyasint" json:"Node"` // machine of the control plane that was called
	AppliedAt   int64    `cbor:"5,keyasint" json:"At"`   // time of day in milliseconds, for people; nothing decides by it
}

// maxHistory is how many changes a retry is recognized among. Any number is safe, as a change on an older base is
// left undecided; each costs some eighty bytes of every log entry, which is replicated whole. Callers retry within
// seconds: at 22,000 changes a day these are a quarter of an hour, at four a second a minute.
const maxHistory = 256

// HasApplied says whether exactly this change is in the history.
func (s *State) HasApplied(change *Change) bool {
	digest := change.Digest()
	return slices.ContainsFunc(s.History, func(applied AppliedChange) bool { return applied.Digest == digest })
}

// oldestKnownBase is the oldest version of which it is known which change followed it.
func (s *State) oldestKnownBase() uint64 {
	if len(s.History) == 0 {
		return s.Version
	}
	return s.History[0].BaseVersion
}

// checkBase says whether a change on a base may follow, given that it is not in the history.
func (s *State) checkBase(base uint64) error {
	switch {
	case base > s.Version:
		return undecided(ErrBaseVersionAhead, reasonBaseAhead,
			"version %d, on which it builds, is not in place; version %d is", base, s.Version)
	case base < s.oldestKnownBase():
		return undecided(ErrBaseVersionCompacted, reasonBaseCompacted,
			"what was taken on version %d is no longer known; version %d is in place", base, s.Version)
	case base < s.Version:
		return reject(ErrBaseVersionMismatch, reasonBaseMismatch, "version %d is in place, not %d", s.Version, base)
	}
	return nil
}

// Apply gives the state with a change that is not in the history. origin and at (milliseconds) are for people. The
// error is a RejectedError, which holds in every state that can follow this one, or an UndecidedError; any other is a
// fault of the stored document, and says as little as an UndecidedError.
func (s *State) Apply(change *Change, origin string, atMs int64) (*State, error) {
	version, err := change.newVersion() // first, as what is wrong by itself is so on any base
	if err != nil {
		return nil, err
	}
	if err := s.checkVersions(change.BaseVersion, version); err != nil {
		return nil, err
	}
	raw := change.Body
	if change.Amend {
		if raw, err = s.applyAmendment(change.Body); err != nil {
			return nil, err
		}
	}
	applied := AppliedChange{
		Version:     version,
		BaseVersion: change.BaseVersion,
		Digest:      change.Digest(),
		Origin:      origin,
		AppliedAt:   atMs,
	}
	next := *s
	next.Version, next.Raw, next.History = version, bytes.Clone(raw), appendHistory(s.History, applied)
	return &next, nil
}

// checkVersions says whether a change from base to version may follow. A version that doesn't exceed its own base is
// wrong even before that base is in place.
func (s *State) checkVersions(base, version uint64) error {
	if version <= base && base > s.Version {
		return reject(ErrVersionNotIncreasing, reasonVersion,
			"its gen %d is not higher than %d, on which it builds", version, base)
	}
	if err := s.checkBase(base); err != nil {
		return err
	}
	if version <= s.Version {
		return reject(ErrVersionNotIncreasing, reasonVersion,
			"its gen %d is not higher than %d, which is in place", version, s.Version)
	}
	return nil
}

func appendHistory(history []AppliedChange, applied AppliedChange) []AppliedChange {
	history = append(slices.Clone(history), applied)
	return history[max(len(history)-maxHistory, 0):]
}

// WithShards gives the state with a change of the shard map; the same state if the change was applied before.
func (s *State) WithShards(change *shardmap.Change) (*State, error) {
	shards, err := s.Shards.Apply(change)
	if err != nil {
		return nil, reject(ErrConflict, reasonShards, "%v", err)
	}
	if shards == s.Shards {
		return s, nil
	}
	next := *s
	next.Shards = shards
	return &next, nil
}

// WithSites gives the state with a change of the site map; the same state if the change makes no difference.
func (s *State) WithSites(change *sites.Change) (*State, error) {
	siteMap, err := s.Sites.Apply(change)
	if err != nil {
		return nil, reject(ErrConflict, reasonSites, "%v", err)
	}
	if siteMap == s.Sites {
		return s, nil
	}
	next := *s
	next.Sites = siteMap
	return &next, nil
}

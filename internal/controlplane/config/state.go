package config

import (
	"bytes"
	"slices"

	"weirwind/internal/session/sites"
	"weirwind/internal/shard/shardmap"
)

// State is the value that the control plane's machines agree on. It is replicated and stored as a whole, as CBOR with
// the integer keys of its tags. A State is immutable: each change creates a new one.
type State struct {
	Version uint64          `cbor:"1,keyasint"` // of the current configuration; 0 if there is none yet
	Raw     []byte          `cbor:"2,keyasint"` // the configuration as it was sent, with amendments applied
	History []AppliedChange `cbor:"3,keyasint"` // newest last, at most maxHistory entries

	Shards *shardmap.Map `cbor:"4,keyasint,omitempty"` // owners of the shards; nil if no shards were created
	Sites  *sites.Map    `cbor:"5,keyasint,omitempty"` // sites that hold open sessions; nil if there are none
	Roster Roster        `cbor:"9,keyasint,omitempty"` // members that may hold an acknowledged commit

	Promotes Promotes `cbor:"10,keyasint,omitempty"` // promotes that may take effect

	WriterLeases bool `cbor:"11,keyasint,omitempty"` // leaders grant writer leases, which proxies then need
}

// WithWriterLeases returns the state with WriterLeases set, or s itself if it is.
func (s *State) WithWriterLeases() *State {
	if s.WriterLeases {
		return s
	}
	next := *s
	next.WriterLeases = true
	return &next
}

// AppliedChange is an entry of the history. GET /config/log shows it as JSON.
type AppliedChange struct {
	Version     uint64   `cbor:"1,keyasint" json:"Gen"`  // version that the change created
	BaseVersion uint64   `cbor:"2,keyasint" json:"Base"` // version that the change was based on
	Digest      [32]byte `cbor:"3,keyasint" json:"Digest"`
	Origin      string   `cbor:"4,keyasint" json:"Node"` // machine of the control plane that received the change
	AppliedAt   int64    `cbor:"5,keyasint" json:"At"`   // Unix time in milliseconds, informational only
}

// maxHistory is the number of latest changes whose retries are recognized. Any number is safe, as a change on an older
// base is left undecided. Each change takes about 80 bytes of every log entry, which is replicated as a whole. Callers
// retry within seconds, while 256 changes span 15 minutes at 22,000 changes a day, and one minute at four changes a
// second.
const maxHistory = 256

// HasApplied reports whether exactly this change is in the history.
func (s *State) HasApplied(change *Change) bool {
	digest := change.Digest()
	return slices.ContainsFunc(s.History, func(applied AppliedChange) bool { return applied.Digest == digest })
}

// oldestKnownBase returns the oldest version whose successor is known.
func (s *State) oldestKnownBase() uint64 {
	if len(s.History) == 0 {
		return s.Version
	}
	return s.History[0].BaseVersion
}

// checkBase returns an error unless base is the current version. The change must not be in the history.
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

// Apply applies a change that is not in the history and returns the resulting state. origin and atMs (Unix time in
// milliseconds) are only recorded. The error is a *RejectedError, which holds in every state that can follow this one,
// or an *UndecidedError. Any other error means that the stored document is faulty; like an UndecidedError it does not
// decide the change.
func (s *State) Apply(change *Change, origin string, atMs int64) (*State, error) {
	version, err := change.newVersion() // first: a change that is invalid by itself is rejected on any base
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

// checkVersions returns an error unless a change from base to version may be applied. A version that doesn't exceed its
// own base is rejected even before that base exists.
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

// WithShards returns the state with a change of the shard map applied, or s itself if the change was already applied.
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

// WithSites returns the state with a change of the site map applied, or s itself if the change has no effect.
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

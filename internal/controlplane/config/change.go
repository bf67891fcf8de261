package config

import (
	"crypto/sha256"
	"fmt"
)

// Change is an operator's change: a whole configuration, or an amendment of the current one.
type Change struct {
	Amend       bool
	BaseVersion uint64 // the version that the change is based on
	Body        []byte // JSON
}

// Digest returns a hash that identifies exact repeats of a change. It is stored, so the same change must always have
// the same digest.
func (c *Change) Digest() [sha256.Size]byte {
	h := sha256.New()
	fmt.Fprintf(h, "%v %d ", c.Amend, c.BaseVersion)
	h.Write(c.Body)
	return [sha256.Size]byte(h.Sum(nil))
}

// newVersion returns the version that the change creates, after the checks that need no state.
func (c *Change) newVersion() (uint64, error) {
	if c.Amend {
		a, err := parseAmendment(c.Body)
		if err != nil {
			return 0, err
		}
		return *a.Version, nil
	}
	cfg, err := Parse(c.Body)
	if err != nil {
		return 0, err
	}
	return cfg.Version, nil
}

package config

import (
	"crypto/sha256"
	"fmt"
)

// Change is what an operator sends: a whole configuration, or an amendment of the one in place.
type Change struct {
	Amend       bool
	BaseVersion uint64 // the version that it is built on
	Body        []byte // JSON
}

// Digest tells exact repeats from other changes. It is stored: its value may not change.
func (c *Change) Digest() [sha256.Size]byte {
	h := sha256.New()
	fmt.Fprintf(h, "%v %d ", c.Amend, c.BaseVersion)
	h.Write(c.Body)
	return [sha256.Size]byte(h.Sum(nil))
}

// version reads which version the change makes, and checks what can be checked of it without a state.
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

// Package enum gives the values of small enumerations their names, in logs, JSON and CBOR alike.
package enum

import (
	"fmt"
	"slices"
)

// Names are those of an enumeration's values, in order from 0.
type Names []string

// Of is a value's name; one beyond the last has the last's.
func (n Names) Of(value uint8) string { return n[min(int(value), len(n)-1)] }

// Parse sets a value by its name. what is the enumeration's, for the error.
func Parse[T ~uint8](n Names, what string, text []byte, into *T) error {
	i := slices.Index(n, string(text))
	if i < 0 {
		return fmt.Errorf("%s %q is not known", what, text)
	}
	*into = T(i)
	return nil
}

// Package enum maps the values of small enumerations to names, which are the same in logs, JSON and CBOR.
package enum

import (
	"fmt"
	"slices"
)

// Names lists the names of an enumeration's values, in order from 0.
type Names []string

// Of returns a value's name. Values beyond the last one have the last name.
func (n Names) Of(value uint8) string { return n[min(int(value), len(n)-1)] }

// Parse sets a value by its name. what is the name of the enumeration, for the error message.
func Parse[T ~uint8](n Names, what string, text []byte, into *T) error {
	i := slices.Index(n, string(text))
	if i < 0 {
		return fmt.Errorf("%s %q is not known", what, text)
	}
	*into = T(i)
	return nil
}

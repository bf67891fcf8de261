package wire

import (
	"cmp"
	"strconv"
	"strings"
)

// noPosition is the text of the zero Position.
const noPosition = "-"

// Position is a position in a log: the term and the number of the last commit before it. Its text form is TERM.NUMBER.
// The zero value means that no position is known.
type Position struct {
	Term   uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// ParsePosition parses a text of the form TERM.NUMBER and reports whether it has that form. It does not accept "-".
func ParsePosition(text string) (Position, bool) {
	term, number, found := strings.Cut(text, ".")
	termValue, termOK := parseUint(term)
	numberValue, numberOK := parseUint(number)
	return Position{Term: termValue, Number: numberValue}, found && termOK && numberOK
}

// parseUint parses decimal digits. It rejects numbers above about 2^62, which the protocol never uses.
func parseUint(digits string) (uint64, bool) {
	n := uint64(0)
	for _, digit := range digits {
		if digit < '0' || digit > '9' || n > 1<<59 {
			return 0, false
		}
		n = n*10 + uint64(digit-'0')
	}
	return n, digits != ""
}

// Compare orders positions by term, then by number.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Term, other.Term), cmp.Compare(p.Number, other.Number))
}

// Less reports whether p is before other.
func (p Position) Less(other Position) bool { return p.Compare(other) < 0 }

// IsZero reports whether p is the zero value.
func (p Position) IsZero() bool { return p == Position{} }

// String returns TERM.NUMBER, or "-" for the zero value.
func (p Position) String() string {
	if p.IsZero() {
		return noPosition
	}
	return strconv.FormatUint(p.Term, 10) + "." + strconv.FormatUint(p.Number, 10)
}

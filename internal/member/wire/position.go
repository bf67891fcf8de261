package wire

import (
	"strconv"
	"strings"
)

// noPosition is the text of the zero Position.
const noPosition = "-"

// Position is the end of a log: the term of its last commit and that commit's number. Its text is TERM.NUMBER. The
// zero value is the position of no log.
type Position struct {
	Term   uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// ParsePosition parses TERM.NUMBER, and reports whether the text is that. "-" is not.
func ParsePosition(text string) (Position, bool) {
	term, number, found := strings.Cut(text, ".")
	t, termOK := parseUint(term)
	n, numberOK := parseUint(number)
	return Position{Term: t, Number: n}, found && termOK && numberOK
}

// parseUint parses decimal digits. Numbers from about 2^62 on are no numbers: the protocol has none as large.
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

// Less orders positions by term, then by number.
func (p Position) Less(other Position) bool {
	return p.Term < other.Term || p.Term == other.Term && p.Number < other.Number
}

// IsZero reports whether it is the position of no log.
func (p Position) IsZero() bool { return p == Position{} }

// String returns TERM.NUMBER, "-" for the zero value.
func (p Position) String() string {
	if p.IsZero() {
		return noPosition
	}
	return strconv.FormatUint(p.Term, 10) + "." + strconv.FormatUint(p.Number, 10)
}

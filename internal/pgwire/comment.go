package pgwire

// This file parses the comment of a statement: names and values. Unknown names are ignored.

import (
	"bytes"
	"errors"
	"strconv"
	"unicode/utf8"
)

var errComment = errors.New("the comment does not parse")

const (
	maxTimeout  = 24 * 3600 * 1000 // milliseconds: a day
	maxPosition = 1e15
	maxID       = 64 // bytes
)

// commentField is a field of the comment. All but fieldOther may occur only once.
type commentField uint8

const (
	fieldID commentField = iota
	fieldOpType
	fieldTimeout
	fieldGroup
	fieldMinPosition
	commentFieldCount
	fieldOther = commentFieldCount // may be repeated and empty
)

// parseComment parses the names and values b, which begin at an offset in the statement's text.
func (s *Statement) parseComment(b []byte, offset int) error {
	var seen [commentFieldCount]bool
	for len(b) > 0 {
		item, rest, _ := bytes.Cut(b, []byte(","))
		name, value, ok := bytes.Cut(item, []byte("="))
		if !ok || len(name) == 0 {
			return errComment
		}
		field, ok := s.setField(name, value, offset+len(name)+1)
		if !ok {
			return errComment
		}
		if field != fieldOther {
			if seen[field] || len(value) == 0 {
				return errComment
			}
			seen[field] = true
		}
		offset, b = offset+len(item)+1, rest
	}
	if !seen[fieldID] || !seen[fieldOpType] || !seen[fieldTimeout] || !seen[fieldGroup] {
		return errComment
	}
	return nil
}

// setField sets the field with the given name, and returns false if the value is invalid. The value begins at an offset
// in the statement's text.
func (s *Statement) setField(name, value []byte, offset int) (commentField, bool) {
	var err error
	switch string(name) {
	case "id":
		s.ID = value
		valid := len(value) <= maxID && utf8.Valid(value) && !bytes.ContainsAny(value, " '\"\x00\r\n")
		return fieldID, valid
	case "c":
		s.OpType = value
		return fieldOpType, true
	case "d":
		s.timeoutStart, s.timeoutEnd = offset, offset+len(value)
		s.Timeout, err = parseNumber(value)
		return fieldTimeout, err == nil && s.Timeout <= maxTimeout
	case "cluster":
		s.Group, err = strconv.ParseInt(string(value), 10, 64)
		return fieldGroup, err == nil
	case "key":
		if s.IdempotencyKey == nil {
			s.IdempotencyKey = value
		}
	case "after":
		s.MinPosition, err = parseNumber(value)
		return fieldMinPosition, err == nil && s.MinPosition <= maxPosition
	}
	return fieldOther, true
}

// parseNumber parses digits with at most one decimal point. Other forms that Go accepts, such as NaN, Inf or exponents,
// are invalid.
func parseNumber(b []byte) (float64, error) {
	for _, c := range b {
		if (c < '0' || c > '9') && c != '.' {
			return 0, errComment
		}
	}
	return strconv.ParseFloat(string(b), 64)
}

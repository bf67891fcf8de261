package pgwire

// This file owns the comment of a statement: names and values, of which those that are not known are ignored.

import (
	"bytes"
	"errors"
	"strconv"
	"unicode/utf8"
)

var errComment = errors.New("the comment does not parse")

const (
	maxTimeout  = 24 * 3600 * 1000 // milliseconds; nobody waits for longer than a day
	maxPosition = 1e15
	maxID       = 64 // bytes
)

// commentField is a field of the comment that may occur once.
type commentField uint8

const (
	fieldID commentField = iota
	fieldOpType
	fieldTimeout
	fieldGroup
	fieldMinPosition
	commentFields
	fieldOther = commentFields // any number of times, also empty
)

// parseComment parses the names and values, which begin at an offset in the text.
func (s *Statement) parseComment(b []byte, offset int) error {
	var seen [commentFields]bool
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

// setField sets the field of a name; false where the value is invalid. The value begins at an offset in the text.
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

// parseNumber parses digits with at most one point. What else Go takes for a number is invalid.
func parseNumber(b []byte) (float64, error) {
	for _, c := range b {
		if (c < '0' || c > '9') && c != '.' {
			return 0, errComment
		}
	}
	return strconv.ParseFloat(string(b), 64)
}

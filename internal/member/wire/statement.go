package wire

import "strings"

// Statement is the parsed text of a query.
type Statement struct {
	Verb         string // BEGIN, COMMIT, ABORT, FETCH, STORE, SET, PREP, EXEC, UNPREP or, if not valid, any other word
	Name         string // name of a key (FETCH, STORE), a session variable (SET) or a prepared statement
	Args         string // the text after the name, or for PREP the text after PreparedVerb
	PreparedVerb string // FETCH or STORE, for PREP only
	ReadOnly     bool   // the statement is BEGIN FETCH
	Valid        bool   // clients may send the statement
}

// ParseStatement parses the text of a query. For a text that clients may not send, Valid is false.
func ParseStatement(text string) Statement {
	verb, rest := CutField(text)
	s := Statement{Verb: verb}
	switch verb {
	case "BEGIN":
		s.ReadOnly = rest == "FETCH"
		s.Valid = rest == "" && !strings.HasSuffix(text, " ") || s.ReadOnly
	case "COMMIT", "ABORT":
		s.Valid = text == verb
	case "FETCH":
		s.Name, s.Args = CutField(rest)
		s.Valid = s.Name != "" && s.Args == ""
	case "STORE", "SET":
		s.Name, s.Args = CutField(rest)
		s.Valid = s.Name != ""
	case "PREP":
		s.Name, rest = CutField(rest)
		s.PreparedVerb, s.Args = CutField(rest)
		s.Valid = s.Name != "" && (s.PreparedVerb == "FETCH" || s.PreparedVerb == "STORE") && s.Args != ""
	case "EXEC":
		s.Name, s.Args = CutField(rest)
		s.Valid = s.Name != "" && s.Args != ""
	case "UNPREP":
		s.Name = rest
		s.Valid = rest != "" && !strings.Contains(rest, " ")
	}
	return s
}

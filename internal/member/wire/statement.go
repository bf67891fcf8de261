package wire

import "strings"

// Statement is the text of a query, taken apart.
type Statement struct {
	Verb         string // BEGIN, COMMIT, ABORT, FETCH, STORE, SET, PREP, EXEC, UNPREP or, if not valid, any other word
	Name         string // of a key (FETCH, STORE), a session variable (SET) or a prepared statement
	Args         string // what follows the name, or for PREP what follows PreparedVerb
	PreparedVerb string // of PREP: FETCH or STORE
	ReadOnly     bool   // BEGIN FETCH
	Valid        bool   // a client may send it
}

// ParseStatement takes a query's text apart. Texts that no client may send give a Statement that isn't Valid.
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

package wire

import "strings"

// MemberStatus is the row that a member answers to STAT, PAUSE, CONT and STEPDOWN with:
//
//	ROW primary|replica TERM RECEIVED PROMISED LAG BUSY CONNECTIONS
type MemberStatus struct {
	Primary      bool
	Term         uint64   // the newest that it knows
	Received     Position // the end of its log
	PromisedTerm uint64   // a paused replica's: the one that it was paused with. 0: it is not paused
	LagMillis    uint64
	Busy         uint64
	Conns        uint64
}

const (
	rolePrimary = "primary"
	roleReplica = "replica"
)

// ParseMemberStatus parses the fields of a status row, and reports whether they are that. Fields after the known
// ones are ignored.
func ParseMemberStatus(row string) (MemberStatus, bool) {
	fields := strings.Fields(row)
	if len(fields) < 7 || fields[0] != rolePrimary && fields[0] != roleReplica {
		return MemberStatus{}, false
	}
	valid := true
	number := func(field string) uint64 {
		n, ok := parseUint(field)
		valid = valid && ok
		return n
	}
	status := MemberStatus{
		Primary:      fields[0] == rolePrimary,
		Term:         number(fields[1]),
		PromisedTerm: number(fields[3]),
		LagMillis:    number(fields[4]),
		Busy:         number(fields[5]),
		Conns:        number(fields[6]),
	}
	received, ok := ParsePosition(fields[2])
	status.Received = received
	return status, valid && (ok || fields[2] == noPosition)
}

package wire

import "strings"

// MemberStatus is the row in a member's reply to STAT, PAUSE, CONT and STEPDOWN:
//
//	ROW primary|replica TERM RECEIVED PROMISED LAG BUSY CONNECTIONS
type MemberStatus struct {
	Primary      bool
	Term         uint64   // the newest term that the member knows
	Received     Position // the end of the member's log
	PromisedTerm uint64   // the term that a paused replica was paused with, 0 for other members
	LagMillis    uint64   // replication lag
	Busy         uint64   // as the member reports it; not used by this system
	Conns        uint64   // number of connections
}

const (
	rolePrimary = "primary"
	roleReplica = "replica"
)

// ParseMemberStatus parses the fields of a status row and reports whether they are valid. It ignores additional fields.
func ParseMemberStatus(row string) (MemberStatus, bool) {
	fields := strings.Fields(row)
	if len(fields) < 7 || fields[0] != rolePrimary && fields[0] != roleReplica {
		return MemberStatus{}, false
	}
	valid := true
	number := func(field string) uint64 {
		value, ok := parseUint(field)
		valid = valid && ok
		return value
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

package writerlease

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"

	"weirwind/internal/controlplane/controlmsg"
)

// Assignments holds the newest assignment of each service.
type Assignments map[string]controlmsg.WriterAssignment

// Merge adds assignments that are newer than the known ones, and returns them.
func (a Assignments) Merge(received []controlmsg.WriterAssignment) (added []controlmsg.WriterAssignment) {
	for _, assignment := range received {
		known, found := a[assignment.Service]
		if found && compare(assignment, known) <= 0 {
			continue
		}
		a[assignment.Service] = assignment
		added = append(added, assignment)
	}
	return added
}

// List returns the assignments, sorted by service.
func (a Assignments) List() []controlmsg.WriterAssignment {
	list := make([]controlmsg.WriterAssignment, 0, len(a))
	for _, assignment := range a {
		list = append(list, assignment)
	}
	slices.SortFunc(list, func(x, y controlmsg.WriterAssignment) int { return cmp.Compare(x.Service, y.Service) })
	return list
}

// newestTerm returns the newest term of any assignment, 0 for none.
func (a Assignments) newestTerm() (term uint64) {
	for _, assignment := range a {
		term = max(term, assignment.Term)
	}
	return term
}

// digest returns a hash of the assignments of a term. Processes compare it with each other: the value is part of the
// protocol.
func (a Assignments) digest(term uint64) uint64 {
	h := fnv.New64a()
	for _, assignment := range a.List() {
		if assignment.Term != term {
			continue
		}
		var number [8]byte
		binary.BigEndian.PutUint64(number[:], assignment.Number)
		h.Write([]byte(assignment.Service + "\x00"))
		h.Write(number[:])
	}
	return h.Sum64()
}

// compare orders the assignments of a service by time.
func compare(x, y controlmsg.WriterAssignment) int {
	return cmp.Or(cmp.Compare(x.Term, y.Term), cmp.Compare(x.Number, y.Number))
}

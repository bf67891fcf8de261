package soak

// This file owns the ledger: what clients sent and were answered, and what members ran of it.

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"weirwind/internal/member/wire"
	"weirwind/internal/standin/replicaset"
)

// Outcomes of a statement that commits.
type outcome int

const (
	outcomeUnknown  outcome = iota
	outcomeAcked            // it was answered with success
	outcomeRefused          // it was answered with a promise that nothing is kept
	outcomeRollback         // its client has not asked to commit it
)

// commit is an acknowledged one.
type commit struct {
	id            string
	number        uint64 // in the members' log
	at            time.Time
	greatestIndex int // index of the one of the greatest number so far
}

// ledger implements cluster.Observer.
type ledger struct {
	mu         sync.Mutex
	outcomes   map[string]outcome  // of all statements that commit, by id
	numbers    map[string]uint64   // of commits in members' logs, the last by id
	acked      []commit            // in order of their answers
	reads      map[string]*commit  // by the id of a read that is under way: what it must see; nil: nothing
	readRoutes map[string]string   // the route of such a read
	reached    map[string]bool     // ids of statements that came to members
	violations map[string][]string // by the invariant
	attempts   map[string]int      // of operations, by their outcome
}

func newLedger() *ledger {
	return &ledger{
		outcomes: map[string]outcome{}, numbers: map[string]uint64{}, reads: map[string]*commit{},
		readRoutes: map[string]string{}, reached: map[string]bool{}, violations: map[string][]string{},
		attempts: map[string]int{},
	}
}

// violate records that an invariant was broken.
func (l *ledger) violate(invariant, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violateLocked(invariant, format, args...)
}

func (l *ledger) violateLocked(invariant, format string, args ...any) {
	l.violations[invariant] = append(l.violations[invariant],
		time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// count counts an operation.
func (l *ledger) count(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[what]++
}

// sending notes a statement that commits before it is sent.
func (l *ledger) recordSent(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[id] = outcomeUnknown
}

// resolve notes the answer to a statement that commits. An acknowledged one is what later reads must see; it is
// returned so that the session may ask for it.
func (l *ledger) resolve(id string, result outcome) *commit {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[id] = result
	if result != outcomeAcked {
		return nil
	}
	c := commit{id: id, number: l.numbers[id], at: time.Now(), greatestIndex: len(l.acked)}
	if n := len(l.acked); n > 0 && l.acked[l.acked[n-1].greatestIndex].number > c.number {
		c.greatestIndex = l.acked[n-1].greatestIndex
	}
	l.acked = append(l.acked, c)
	return &c
}

// newest is the acknowledged commit of the greatest number among those that were acknowledged before a time.
func (l *ledger) newestBefore(before time.Time) *commit {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := sort.Search(len(l.acked), func(i int) bool { return !l.acked[i].at.Before(before) })
	if n == 0 {
		return nil
	}
	c := l.acked[l.acked[n-1].greatestIndex]
	return &c
}

// reading notes what a read must see before it is sent; done forgets it.
func (l *ledger) beginRead(id, route string, required *commit) (done func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads[id], l.readRoutes[id] = required, route
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.reads, id)
		delete(l.readRoutes, id)
	}
}

// Reached implements cluster.Observer.
func (l *ledger) Reached(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reached[id] = true
}

func (l *ledger) hasReached(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reached[id]
}

// Read implements cluster.Observer: it checks that the member's log has what the read must see.
func (l *ledger) Read(id string, log []replicaset.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	required := l.reads[id]
	if required == nil || uint64(len(log)) >= required.number && log[required.number-1].ID == required.id {
		return
	}
	l.violateLocked("stale", "read %s on route %s ran on a log of %d without commit %s (%d), acknowledged %v before",
		id, l.readRoutes[id], len(log), required.id, required.number, time.Since(required.at))
}

// Committed implements cluster.Observer.
func (l *ledger) Committed(id string, position wire.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.numbers[id] = position.Number
}

// auditLog compares the log of the last primary with what clients were answered.
func (l *ledger) auditLog(log []replicaset.Entry, lost []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := map[string]int{}
	for _, e := range log {
		found[e.ID]++
	}
	for id, n := range found {
		if _, sent := l.outcomes[id]; !sent {
			l.violateLocked("unasked", "%s is in the log; no client asked to commit it", id)
		}
		if n > 1 {
			l.violateLocked("twice", "%s is %d times in the log", id, n)
		}
	}
	for id, result := range l.outcomes {
		switch {
		case result == outcomeAcked && found[id] == 0:
			l.violateLocked("lost write", "%s was acknowledged and is not in the log", id)
		case result == outcomeRefused && found[id] > 0:
			l.violateLocked("refused", "%s was answered that nothing is kept, and is in the log", id)
		case result == outcomeRollback && found[id] > 0:
			l.violateLocked("unasked", "%s was rolled back, and is in the log", id)
		}
	}
	for _, id := range lost {
		l.violateLocked("lost write", "%s was acknowledged and missing from a promoted member's log", id)
	}
}

// summary is the violations, the first few of each invariant; "" for none.
func (l *ledger) summary() string {
	const maxPerInvariant = 5
	l.mu.Lock()
	defer l.mu.Unlock()
	var b strings.Builder
	for invariant, texts := range l.violations {
		fmt.Fprintf(&b, "%s, broken %d times:\n", invariant, len(texts))
		for _, text := range texts[:min(maxPerInvariant, len(texts))] {
			fmt.Fprintf(&b, "\t%s\n", text)
		}
	}
	return b.String()
}

// isCommitted says whether a statement's commit entered a member's log.
func (l *ledger) isCommitted(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.numbers[id] > 0
}

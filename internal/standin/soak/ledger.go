package soak

// This file has the ledger, which records clients' statements, their answers, and what members ran.

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"weirwind/internal/member/wire"
	"weirwind/internal/standin/replicaset"
)

// outcome is the outcome of a statement that commits, as its client knows it.
type outcome int

const (
	outcomeUnknown  outcome = iota
	outcomeAcked            // answered with success
	outcomeRefused          // answered with an error that guarantees no effect
	outcomeRollback         // the client rolled back instead of committing
)

// commit is an acknowledged commit.
type commit struct {
	id            string
	number        uint64 // position in the members' log
	at            time.Time
	greatestIndex int // index of the acknowledged commit with the highest number so far
}

// ledger records statements and violations. It implements cluster.Observer.
type ledger struct {
	mu         sync.Mutex
	outcomes   map[string]outcome  // by statement id, of all statements that commit
	numbers    map[string]uint64   // by statement id: the commit's latest number in members' logs
	acked      []commit            // in the order of their answers
	reads      map[string]*commit  // by the id of a read in progress: the commit that it must see; nil for none
	readRoutes map[string]string   // by the id of a read in progress: its route
	reached    map[string]bool     // ids of statements that reached members
	violations map[string][]string // by invariant
	attempts   map[string]int      // number of operations, by kind and outcome
}

func newLedger() *ledger {
	return &ledger{
		outcomes: map[string]outcome{}, numbers: map[string]uint64{}, reads: map[string]*commit{},
		readRoutes: map[string]string{}, reached: map[string]bool{}, violations: map[string][]string{},
		attempts: map[string]int{},
	}
}

// violate records a violation of an invariant.
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

// recordSent records a statement that commits, before it is sent.
func (l *ledger) recordSent(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[id] = outcomeUnknown
}

// resolve records the outcome of a statement that commits. Later reads must see an acknowledged commit; it is returned
// for the session's own reads.
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

// newestBefore returns the commit with the highest number among those acknowledged before a time; nil if there is none.
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

// beginRead records, before a read is sent, the commit that it must see; done removes the record.
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
			l.violateLocked("unasked", "%s is in the log, and no client sent it", id)
		}
		if n > 1 {
			l.violateLocked("twice", "%s is in the log %d times", id, n)
		}
	}
	for id, result := range l.outcomes {
		switch {
		case result == outcomeAcked && found[id] == 0:
			l.violateLocked("lost write", "%s was acknowledged and is not in the log", id)
		case result == outcomeRefused && found[id] > 0:
			l.violateLocked("refused", "%s was answered with a guarantee of no effect, and is in the log", id)
		case result == outcomeRollback && found[id] > 0:
			l.violateLocked("unasked", "%s was rolled back, and is in the log", id)
		}
	}
	for _, id := range lost { // a member's acknowledgement counts once it has reached the client
		if l.outcomes[id] == outcomeAcked {
			l.violateLocked("lost write", "%s was acknowledged and missing from a promoted member's log", id)
		}
	}
}

// summary returns the first few violations of each invariant; "" if there are none.
func (l *ledger) summary() string {
	const maxPerInvariant = 5
	l.mu.Lock()
	defer l.mu.Unlock()
	var b strings.Builder
	for invariant, texts := range l.violations {
		fmt.Fprintf(&b, "%s, violated %d times:\n", invariant, len(texts))
		for _, text := range texts[:min(maxPerInvariant, len(texts))] {
			fmt.Fprintf(&b, "\t%s\n", text)
		}
	}
	return b.String()
}

// isCommitted reports whether a statement's commit entered a member's log.
func (l *ledger) isCommitted(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.numbers[id] > 0
}

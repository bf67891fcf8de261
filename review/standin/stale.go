package standin

import (
	"fmt"
	"sync"
	"time"
)

// StaleJudge checks the rule STALE for reads on stale_ok routes: a read must not run on a log that lacks a commit which
// was acknowledged more than MaxStale before the read's first byte. Commits that a promote cut back don't count.
type StaleJudge struct {
	MaxStale time.Duration

	mu      sync.Mutex
	sent    map[string]time.Time // first byte of each read
	runs    map[string][]run     // by the read's id
	acked   []ack                // in order of time
	cutBack map[string]bool
}

type run struct {
	member string
	log    []Entry
}

type ack struct {
	id string
	at time.Time
}

// NewStaleJudge returns a judge that has seen nothing.
func NewStaleJudge(maxStale time.Duration) *StaleJudge {
	return &StaleJudge{MaxStale: maxStale, sent: map[string]time.Time{}, runs: map[string][]run{},
		cutBack: map[string]bool{}}
}

// Sent records that a client sends the first byte of a read now.
func (j *StaleJudge) Sent(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sent[id] = time.Now()
}

// Acked records that a client has just been told that a commit succeeded.
func (j *StaleJudge) Acked(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.acked = append(j.acked, ack{id, time.Now()})
}

// Ran implements Judge.
func (j *StaleJudge) Ran(id, member string, log []Entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[id] = append(j.runs[id], run{member, log})
}

// CutBack implements Judge.
func (j *StaleJudge) CutBack(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.cutBack[id] = true
}

// Stale describes the stale one of a read's runs, if there is one.
func (j *StaleJudge) Stale(id string) (text string, stale bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	bound := j.sent[id].Add(-j.MaxStale)
	for _, r := range j.runs[id] {
		has := make(map[string]bool, len(r.log))
		for _, entry := range r.log {
			has[entry.ID] = true
		}
		missing, oldest := 0, ""
		var age time.Duration
		for _, a := range j.acked {
			if a.at.Before(bound) && !has[a.id] && !j.cutBack[a.id] {
				if missing == 0 {
					oldest, age = a.id, j.sent[id].Sub(a.at)
				}
				missing++
			}
		}
		if missing > 0 {
			return fmt.Sprintf("read %s ran at member %s on a log that lacks %d commits; the oldest, %s, "+
				"was acknowledged %d ms before its first byte", id, r.member, missing, oldest, age.Milliseconds()), true
		}
	}
	return "", false
}

// Counts returns the number of acknowledged commits and of reads that ran.
func (j *StaleJudge) Counts() (commits, reads int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.acked), len(j.runs)
}

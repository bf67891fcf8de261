package soak

// This file tracks which processes run.

import (
	"slices"
	"sync"
	"time"
)

// processTracker counts the starts of each process, and tracks which processes run.
type processTracker struct {
	mu      sync.Mutex
	number  map[string]int
	started map[string]time.Time // start times of the running processes
	ending  map[string]bool      // processes that were told to end and have not ended yet
}

func newProcessTracker() *processTracker {
	return &processTracker{number: map[string]int{}, started: map[string]time.Time{}, ending: map[string]bool{}}
}

func (p *processTracker) recordStart(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number[name]++
	p.started[name] = time.Now()
}

// claimEnd marks a process as ending. It returns true for only one caller, which ends the process.
func (p *processTracker) claimEnd(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, runs := p.started[name]
	if runs {
		delete(p.started, name)
		p.ending[name] = true
	}
	return runs
}

// recordEnd records that a process that was told to end has ended.
func (p *processTracker) recordEnd(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.ending, name)
}

// isEnding reports whether a process was told to end and has not ended yet.
func (p *processTracker) isEnding(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ending[name]
}

// current returns how often a running process was started; 0 if it is not running.
func (p *processTracker) current(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, runs := p.started[name]; !runs {
		return 0
	}
	return p.number[name]
}

// age returns how long a process has run; 0 if it is not running.
func (p *processTracker) age(name string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if started, runs := p.started[name]; runs {
		return time.Since(started)
	}
	return 0
}

// running returns the sorted names of the processes that run and were not told to end.
func (p *processTracker) running() (names []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.started {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

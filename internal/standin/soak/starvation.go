package soak

// This file detects CPU starvation: time spans in which the machine that runs the soak didn't run a thread that was
// ready. The deployment's processes share processors with whatever else runs there, so a time bound that a process
// missed while it was starved is not counted.

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	starvationInterval   = 250 * time.Millisecond
	processesPerInterval = 50 // processes that are sampled in each interval
	// starvedFraction is the fraction of an interval above which a thread's wait for a processor counts as starvation.
	starvedFraction = 0.6
	// killTime is the time in which a process has ended after SIGKILL, unless one of its threads is starved.
	killTime    = 500 * time.Millisecond
	testProcess = "the test's process" // which also runs the clients, members and the platform
)

// thread has the kernel's scheduling statistics of a thread.
type thread struct {
	ran, waited time.Duration // in total
	timeslices  uint64
	ready       bool // running, or waiting for a processor
}

// starvation has the time spans in which processes were starved.
type starvation struct {
	mu    sync.Mutex
	spans map[string][]span // by process
}

type span struct{ from, to time.Time }

func (s *starvation) record(name string, from, to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spans[name] = append(s.spans[name], span{from, to})
}

// overlaps reports whether a process, or the test's own process, was starved during a time span.
func (s *starvation) overlaps(name string, from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, process := range []string{name, testProcess} {
		for _, starved := range s.spans[process] {
			if starved.from.Before(to) && starved.to.After(from) {
				return true
			}
		}
	}
	return false
}

// total returns how long a process was starved.
func (s *starvation) total(name string) (sum time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, starved := range s.spans[name] {
		sum += starved.to.Sub(starved.from)
	}
	return sum
}

// watchStarvation samples the threads of all processes until the context is done.
func (r *run) watchStarvation(ctx context.Context) {
	threads, sampled := map[string]map[string]thread{}, time.Now()
	interval := starvationInterval * time.Duration(1+2*r.shape.Fronts/processesPerInterval)
	bound := time.Duration(starvedFraction * float64(interval))
	for ; ctx.Err() == nil; pause(ctx, interval) {
		now, next := time.Now(), map[string]map[string]thread{}
		pids := r.deployment.PIDs() // a process may be starved in its grace period too
		pids[testProcess] = os.Getpid()
		for name, pid := range pids {
			next[name] = threadsOf(pid)
			if longest := longestWait(threads[name], next[name], now.Sub(sampled)); longest > bound {
				r.starved.record(name, sampled.Add(-max(0, longest-now.Sub(sampled))), now)
			}
		}
		threads, sampled = next, now
	}
}

// longestWait returns the longest time that a thread waited for a processor between two samples.
func longestWait(before, after map[string]thread, interval time.Duration) (longest time.Duration) {
	for id, now := range after {
		previous, known := before[id]
		switch {
		case !known:
		case previous.ready && now.ready && previous.timeslices == now.timeslices && previous.ran == now.ran:
			longest = max(longest, interval) // the kernel adds a wait only when it has ended
		default:
			longest = max(longest, now.waited-previous.waited)
		}
	}
	return longest
}

// threadsOf samples a process's threads; the result is empty if the process has ended.
func threadsOf(pid int) map[string]thread {
	folders, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid)) // the pattern is well formed
	threads := make(map[string]thread, len(folders))
	for _, folder := range folders {
		stat, err := os.ReadFile(filepath.Join(folder, "stat"))
		scheduling, schedulingErr := os.ReadFile(filepath.Join(folder, "schedstat"))
		fields := strings.Fields(string(scheduling))
		if err != nil || schedulingErr != nil || len(fields) < 3 {
			continue
		}
		threads[filepath.Base(folder)] = thread{ran: nanoseconds(fields[0]), waited: nanoseconds(fields[1]),
			timeslices: uint64(nanoseconds(fields[2])), ready: processState(string(stat)) == "R"}
	}
	return threads
}

func nanoseconds(text string) time.Duration {
	n, _ := strconv.ParseInt(text, 10, 64) // written by the kernel
	return time.Duration(n)
}

// processState returns the state in the text of a stat file.
func processState(stat string) string {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) == 0 {
		return ""
	}
	return fields[0]
}

package soak

// This file monitors a running soak: the configuration versions of proxies, processes that exit unexpectedly, and the
// resources that processes use.

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"
)

const (
	monitorInterval   = 250 * time.Millisecond
	frontsPerInterval = 10 // proxies that are polled in each interval
)

// watchVersions polls a proxy's configuration version until the context is done. The version must not decrease while
// the process runs, and on a machine in contact it must be at least the one that was acknowledged applyTime before.
func (r *run) watchVersions(ctx context.Context, front int) {
	name := proxyName(front)
	life, highest := 0, uint64(0)
	interval := monitorInterval * time.Duration(1+r.shape.Fronts/frontsPerInterval)
	for ; ctx.Err() == nil; pause(ctx, interval) {
		now, asked := r.processes.current(name), time.Now()
		version, ok := r.version(front)
		if !ok || now == 0 || r.processes.current(name) != now {
			continue
		}
		if now != life {
			life, highest = now, 0
		}
		if version < highest {
			r.ledger.violate("went back", "%s went from version %d to %d", name, highest, version)
		}
		highest = max(highest, version)
		newest := r.operators.ackedBefore(asked.Add(-applyTime))
		if version < newest && r.journal.inContact(machine(name), asked, time.Now()) {
			r.recordMissed(name, asked.Add(-applyTime), "not in force", "%s serves version %d %v after %d was acknowledged",
				name, version, applyTime, newest)
		}
	}
}

// version returns the version of the configuration that a proxy serves.
func (r *run) version(front int) (version uint64, ok bool) {
	code, body := r.deployment.Call("GET", r.deployment.ReadyAddr(front), "/status", "", nil)
	var status struct {
		Version uint64 `json:"gen"`
	}
	if code != http.StatusOK || json.Unmarshal([]byte(body), &status) != nil {
		return 0, false
	}
	return status.Version, true
}

// watchProcesses reports and restarts processes that exit unexpectedly, until the context is done.
func (r *run) watchProcesses(ctx context.Context) {
	for ; ctx.Err() == nil; pause(ctx, monitorInterval) {
		for _, name := range r.processes.running() {
			life := r.processes.current(name)
			if !hasEnded(r.deployment.PID(name)) || r.processes.current(name) != life || !r.processes.claimEnd(name) {
				continue
			}
			r.ledger.violate("own end", "%s exited unexpectedly", name)
			r.deployment.Kill(name)
			r.processes.recordEnd(name)
			r.deployment.Start(name, false)
			r.processes.recordStart(name)
		}
	}
}

// hasEnded reports whether a process has ended and was not waited for yet.
func hasEnded(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false // there is no such process: it was waited for
	}
	return processState(string(text)) == "Z"
}

// resources are the resources that a process uses.
type resources struct{ files, memoryKB int }

// resourceUse returns the resources of the running processes, by name.
func (r *run) resourceUse() map[string]resources {
	all := map[string]resources{}
	for _, name := range r.processes.running() {
		all[name] = resourcesOf(r.deployment.PID(name))
	}
	return all
}

var residentLine = regexp.MustCompile(`(?m)^VmRSS:\s+(\d+) kB$`)

func resourcesOf(pid int) (h resources) {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid)) // empty if the process has ended
	h.files = len(files)
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if found := residentLine.FindSubmatch(text); err == nil && found != nil {
		h.memoryKB, _ = strconv.Atoi(string(found[1]))
	}
	return h
}

// goroutineHeader matches the first line of each goroutine in a dump.
var goroutineHeader = regexp.MustCompile(`(?m)^goroutine \d+ .*\[`)

// lastState returns the last events in a log before the dump at its end, and the main goroutine's stack in that dump.
func lastState(log string) string {
	const maxEvents = 5
	events, dump := cutDump(log)
	_, stack, _ := strings.Cut(dump, "\ngoroutine 1 ")
	stack, _, _ = strings.Cut(stack, "\n\n")
	lines := strings.Split(strings.TrimSpace(events), "\n")
	return strings.Join(lines[max(0, len(lines)-maxEvents):], "\n") + "\ngoroutine 1 " + stack
}

// goroutinesOf returns the number of goroutines in a dump at the end of a log.
func goroutinesOf(log string) int {
	_, dump := cutDump(log)
	return len(goroutineHeader.FindAllString(dump, -1))
}

// cutDump cuts a log before the dump of goroutines at its end; dump is "" if there is none.
func cutDump(log string) (events, dump string) {
	begin := strings.LastIndex(log, "SIGQUIT: quit")
	if begin < 0 {
		return log, ""
	}
	return log[:begin], log[begin:]
}

package soak

// This file owns what is watched while a soak runs: the versions that proxies serve by, processes that end by
// themselves, and what processes hold.

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
	frontsPerInterval = 10 // that are asked in each interval
)

// watchVersions has a proxy tell its configuration's version until the context ends: in one life it never falls, and
// on a machine in touch it is what was acknowledged applyTime before.
func (r *run) watchVersions(ctx context.Context, front int) {
	name := proxyName(front)
	life, highest := 0, uint64(0)
	interval := monitorInterval * time.Duration(1+r.shape.Fronts/frontsPerInterval)
	for ; ctx.Err() == nil; pause(ctx, interval) {
		now, asked := r.lives.current(name), time.Now()
		version, ok := r.version(front)
		if !ok || now == 0 || r.lives.current(name) != now {
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
			r.recordMissed(name, asked.Add(-applyTime), "not in force", "%s serves by version %d %v after %d was acknowledged",
				name, version, applyTime, newest)
		}
	}
}

// version is the version of the configuration by which a proxy serves.
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

// watchProcesses finds processes that end by themselves until the context ends, and starts them again.
func (r *run) watchProcesses(ctx context.Context) {
	for ; ctx.Err() == nil; pause(ctx, monitorInterval) {
		for _, name := range r.lives.running() {
			life := r.lives.current(name)
			if !hasEnded(r.deployment.PID(name)) || r.lives.current(name) != life || !r.lives.claimEnd(name) {
				continue
			}
			r.ledger.violate("own end", "%s ended, and nobody asked it to", name)
			r.deployment.Kill(name)
			r.lives.recordEnd(name)
			r.deployment.Start(name, false)
			r.lives.recordStart(name)
		}
	}
}

// hasEnded says whether a process has ended that was not waited for yet.
func hasEnded(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false // it is gone, or there is none: somebody waited for it
	}
	return processState(string(text)) == "Z"
}

// holding is what a process holds.
type resources struct{ files, memoryKB int }

// holdings is what the processes hold that run, by name.
func (r *run) resourceUse() map[string]resources {
	all := map[string]resources{}
	for _, name := range r.lives.running() {
		all[name] = resourcesOf(r.deployment.PID(name))
	}
	return all
}

var residentLine = regexp.MustCompile(`(?m)^VmRSS:\s+(\d+) kB$`)

func resourcesOf(pid int) (h resources) {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid)) // none where the process is gone
	h.files = len(files)
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if found := residentLine.FindSubmatch(text); err == nil && found != nil {
		h.memoryKB, _ = strconv.Atoi(string(found[1]))
	}
	return h
}

// goroutineHeader begins each goroutine's part of a dump.
var goroutineHeader = regexp.MustCompile(`(?m)^goroutine \d+ .*\[`)

// goroutinesOf counts the goroutines of a dump at the end of a log.
func goroutinesOf(log string) int {
	begin := strings.LastIndex(log, "SIGQUIT: quit")
	if begin < 0 {
		return 0
	}
	return len(goroutineHeader.FindAllString(log[begin:], -1))
}

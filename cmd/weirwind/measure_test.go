package main

// Measurements of restarts and of idle memory, against simulated members and discovery: `make measure`. CI runs each
// once, to keep them working.

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"weirwind/internal/pgwire"
)

var (
	restartCount       = flag.Int("restarts", 1, "number of restarts of each kind")
	binaryPath         = flag.String("binary", "", "the program to measure; the tests' own by default")
	previousBinaryPath = flag.String("before", "", "another build, whose idle memory is measured for comparison")
)

// laggingReplica answers reads with a position 20 ms old, and rejects writes.
func laggingReplica(q string) []byte {
	if strings.HasPrefix(q, "INSERT") {
		return errorAnswer("25006", "reader")
	}
	return append(pgwire.AppendSingleRow(nil, "v"), roleStatusAt("reader", time.Now().Add(-20*time.Millisecond))...)
}

// firstAnswer is the time from the start of the program to the first acked op of a type, and the number of attempts
// that were rejected before.
type firstAnswer struct {
	duration time.Duration
	rejected int
}

func measureFirstAnswer(address string, startedAt time.Time, opType string) (answer firstAnswer) {
	for time.Since(startedAt) < testTimeout {
		c, err := connectTo(address)
		if err != nil {
			time.Sleep(200 * time.Microsecond)
			continue
		}
		for time.Since(startedAt) < testTimeout {
			kinds, _ := c.query(statement(opType, 1000))
			if kinds == ackedKinds {
				c.Close()
				answer.duration = time.Since(startedAt)
				return answer
			}
			if !strings.HasSuffix(kinds, "Z") {
				break
			}
			answer.rejected++
		}
		c.Close()
	}
	answer.duration = time.Since(startedAt)
	return answer
}

// TestMeasureRestarts measures the time from the start of the program to the first acked write and the first acked
// bounded read, with and without state, after SIGTERM, after SIGKILL, and with a state too old to be trusted. The
// configured list names a former primary.
func TestMeasureRestarts(t *testing.T) {
	type variant struct {
		name   string
		signal os.Signal
		state  string
	}
	variants := []variant{{"graceful, no state", syscall.SIGTERM, ""}, {"graceful, state", syscall.SIGTERM, `switch_least = "60s"`},
		{"killed, no state", syscall.SIGKILL, ""}, {"killed, state", syscall.SIGKILL, `switch_least = "60s"`},
		{"stale state", syscall.SIGKILL, `switch_least = "1ms"`}}
	write, bounded := map[string][]firstAnswer{}, map[string][]firstAnswer{}
	for _, v := range variants {
		members := []*member{newMember(t, "a", laggingReplica), newMember(t, "b", acceptsWrites), newMember(t, "c", laggingReplica), newMember(t, "d", laggingReplica)}
		for _, m := range members {
			m.startupDelay.Store(5) // approximate time of a TLS handshake
		}
		s := newPlatform(t, members...)
		address := freeAddress(t)
		s.config["listen"] = address
		folder := ""
		if v.state != "" {
			folder = s.persistState(t, v.state)
		}
		for range *restartCount {
			p := s.start(t)
			c := p.connect()
			for range 3 {
				c.query(statement("write", 1000))
				c.query(statement("recent", 1000))
			}
			if folder != "" {
				waitForState(t, folder, primaryIs("b"))
			}
			p.stop(v.signal)
			clearMembers(members)
			text, _ := json.Marshal(s.config)
			if v.name == "stale state" {
				time.Sleep(300 * time.Millisecond) // within the minimum time of a switchover no state is stale
			}
			startedAt := time.Now()
			restarted := launch(t, string(text), s.operator)
			read := make(chan firstAnswer, 1)
			go func() { read <- measureFirstAnswer(address, startedAt, "recent") }()
			write[v.name] = append(write[v.name], measureFirstAnswer(address, startedAt, "write"))
			bounded[v.name] = append(bounded[v.name], <-read)
			restarted.stop(syscall.SIGKILL)
			clearMembers(members)
		}
	}
	t.Logf("%d restarts each; milliseconds from the start of the program, and attempts rejected before", *restartCount)
	t.Logf("%-20s | first acked write: median, maximum, rejected | first acked bounded read: median, maximum, rejected", "")
	for _, v := range variants {
		t.Logf("%-20s | %s | %s", v.name, summary(write[v.name]), summary(bounded[v.name]))
		for _, f := range append(write[v.name], bounded[v.name]...) {
			if f.duration > testTimeout {
				t.Errorf("%s: no op acked in %v", v.name, testTimeout)
			}
		}
	}
}

func summary(all []firstAnswer) string {
	slices.SortFunc(all, func(a, b firstAnswer) int { return int(a.duration - b.duration) })
	rejected := 0
	for _, f := range all {
		rejected += f.rejected
	}
	ms := func(f firstAnswer) float64 { return float64(f.duration.Microseconds()) / 1000 }
	return fmt.Sprintf("%7.1f %7.1f %4d", ms(all[len(all)/2]), ms(all[len(all)-1]), rejected)
}

func clearMembers(members []*member) {
	for _, m := range members {
		countWrites(m)
		for len(m.closed) > 0 {
			<-m.closed
		}
	}
}

// TestMeasureIdleMemory measures the resident memory of the idle program: without an operators' file, with one, and of
// a previous build if one is named.
func TestMeasureIdleMemory(t *testing.T) {
	s := newPlatform(t, newMember(t, "m", acceptsWrites))
	text, _ := json.Marshal(s.config)
	measureIdle := func(path, operators string) [2]int {
		previous := *binaryPath
		*binaryPath = path
		p := launch(t, string(text), operators)
		*binaryPath = previous
		p.waitForLog("event=serving")
		p.counters()
		defer p.stop(syscall.SIGKILL)
		return residentMemory(t, p.cmd.Process.Pid)
	}
	plain := measureIdle(*binaryPath, "")
	s.persistState(t, "")
	withState := measureIdle(*binaryPath, s.operator)
	t.Logf("idle resident memory, total and anonymous: %v KiB, with state %v KiB", plain, withState)
	if *previousBinaryPath != "" {
		t.Logf("idle resident memory, previous build: %v KiB", measureIdle(*previousBinaryPath, ""))
	}
	if *binaryPath != "" && withState[0] > 32<<10 { // the tests' own program may have the race detector
		t.Errorf("%d KiB when idle", withState[0])
	}
}

// residentMemory returns the resident memory of a process in KiB: all of it, and the anonymous part.
func residentMemory(t *testing.T, pid int) (kib [2]int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Skip(err)
	}
	for i, name := range []string{"VmRSS:", "RssAnon:"} {
		_, rest, _ := strings.Cut(string(text), name)
		if kib[i], err = strconv.Atoi(strings.Fields(rest)[0]); err != nil {
			t.Fatal(err)
		}
	}
	return kib
}

// programCommand returns the command to measure: a build, or the tests' own program.
func programCommand() *exec.Cmd {
	if *binaryPath == "" {
		return exec.Command(os.Args[0])
	}
	path, err := filepath.Abs(*binaryPath)
	if err != nil {
		path = *binaryPath
	}
	return exec.Command(path)
}

package main

// Measurements of restarts and of idle memory, against the stand-ins: `make measure`. In CI they run once each, so
// that they go on working.

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
	restarts = flag.Int("restarts", 1, "restarts of each kind that are measured")
	build    = flag.String("binary", "", "the program that is measured; else the tests' own")
	before   = flag.String("before", "", "another build, whose idle memory is measured beside it")
)

// lagging is a replica that answers reads with a position 20 ms old.
func lagging(q string) []byte {
	if strings.HasPrefix(q, "INSERT") {
		return errorAnswer("25006", "reader")
	}
	return append(pgwire.AppendSingleRow(nil, "v"), roleStatusAt("reader", time.Now().Add(-20*time.Millisecond))...)
}

// first is how long it took from the start of the program to the first acked op of a type, and how many tries were
// rejected before.
type firstAnswer struct {
	took    time.Duration
	refused int
}

func measureFirstAnswer(address string, began time.Time, opType string) (f firstAnswer) {
	for time.Since(began) < patience {
		c, err := dialTo(address)
		if err != nil {
			time.Sleep(200 * time.Microsecond)
			continue
		}
		for time.Since(began) < patience {
			kinds, _ := c.query(statement(opType, 1000))
			if kinds == acked {
				c.Close()
				f.took = time.Since(began)
				return f
			}
			if !strings.HasSuffix(kinds, "Z") {
				break
			}
			f.refused++
		}
		c.Close()
	}
	f.took = time.Since(began)
	return f
}

// TestMeasureRestarts takes the time from the start of the program to the first acked write and the first acked
// bounded read, with state and without, in turn, after SIGTERM, after SIGKILL, and with a state too old to be
// trusted. The list names the primary of the day's start, which is another by now.
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
		members := []*member{newMember(t, "a", lagging), newMember(t, "b", acceptsWrites), newMember(t, "c", lagging), newMember(t, "d", lagging)}
		for _, m := range members {
			m.lateBy.Store(5) // what a handshake with TLS costs, about
		}
		s := newPlatform(t, members...)
		ln := freeAddress(t)
		s.config["listen"] = ln
		folder := ""
		if v.state != "" {
			folder = s.persistState(t, v.state)
		}
		for range *restarts {
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
			drainAll(members)
			text, _ := json.Marshal(s.config)
			if v.name == "stale state" {
				time.Sleep(300 * time.Millisecond) // in the time of a switch nothing is stale
			}
			began := time.Now()
			q := launch(t, string(text), s.operator)
			read := make(chan firstAnswer, 1)
			go func() { read <- measureFirstAnswer(ln, began, "recent") }()
			write[v.name] = append(write[v.name], measureFirstAnswer(ln, began, "write"))
			bounded[v.name] = append(bounded[v.name], <-read)
			q.stop(syscall.SIGKILL)
			drainAll(members)
		}
	}
	t.Logf("%d restarts each; milliseconds from the start of the program, and tries rejected before", *restarts)
	t.Logf("%-20s | first acked write: median, worst, turned away | first acked bounded read: median, worst, turned away", "")
	for _, v := range variants {
		t.Logf("%-20s | %s | %s", v.name, summary(write[v.name]), summary(bounded[v.name]))
		for _, f := range append(write[v.name], bounded[v.name]...) {
			if f.took > patience {
				t.Errorf("%s: no op acked in %v", v.name, patience)
			}
		}
	}
}

func summary(all []firstAnswer) string {
	slices.SortFunc(all, func(a, b firstAnswer) int { return int(a.took - b.took) })
	refused := 0
	for _, f := range all {
		refused += f.refused
	}
	ms := func(f firstAnswer) float64 { return float64(f.took.Microseconds()) / 1000 }
	return fmt.Sprintf("%7.1f %7.1f %4d", ms(all[len(all)/2]), ms(all[len(all)-1]), refused)
}

func drainAll(members []*member) {
	for _, m := range members {
		countWrites(m)
		for len(m.closed) > 0 {
			<-m.closed
		}
	}
}

// TestMeasureIdleMemory takes the resident memory of the program at rest: without an operators' file, with one, and
// of an earlier build where one is named.
func TestMeasureIdleMemory(t *testing.T) {
	s := newPlatform(t, newMember(t, "m", acceptsWrites))
	text, _ := json.Marshal(s.config)
	rest := func(path, operators string) [2]int {
		was := *build
		*build = path
		p := launch(t, string(text), operators)
		*build = was
		p.waitForLog("event=serving")
		p.counters()
		defer p.stop(syscall.SIGKILL)
		return resident(t, p.cmd.Process.Pid)
	}
	plain := rest(*build, "")
	s.persistState(t, "")
	with := rest(*build, s.operator)
	t.Logf("resident at rest, of it anonymous: %v KiB, with state %v KiB", plain, with)
	if *before != "" {
		t.Logf("resident at rest, build before: %v KiB", rest(*before, ""))
	}
	if *build != "" && with[0] > 32<<10 { // the tests' own program may be a race detector's
		t.Errorf("%d KiB at rest", with[0])
	}
}

// resident is the memory of a process, all of it and what is no file's, in KiB.
func resident(t *testing.T, pid int) (kib [2]int) {
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

// programCommand runs what is measured: a build, or the tests' own program.
func programCommand() *exec.Cmd {
	if *build == "" {
		return exec.Command(os.Args[0])
	}
	path, err := filepath.Abs(*build)
	if err != nil {
		path = *build
	}
	return exec.Command(path)
}

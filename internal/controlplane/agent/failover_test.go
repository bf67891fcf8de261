package agent

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"regexp"
	"testing"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/events"
)

// Runs an agent through failures of its near core machine (127.1.0.1) and its far one (127.2.0.1), and compares the
// transcript with testdata/failover.txt. Each step is followed by the links to the core, the backoff, and the agent's
// log lines. GOLDEN=write rewrites the file.
func TestFailoverBetweenCoreMachines(t *testing.T) {
	var out, log bytes.Buffer
	sim := newSimulation(t, 0, io.Discard)
	a := sim.agent
	a.log = events.New(&log, "agent")
	answer := func(core *coreLink, contactAgeMs float64) {
		a.handleCoreFrame(core, &controlmsg.Frame{Update: &controlmsg.StateUpdate{QuorumContactAgeMs: &contactAgeMs}})
	}
	for _, step := range []struct {
		name  string
		after float64 // milliseconds since the step before
		do    func()
	}{
		{"the agent starts and dials the near machine", 0, a.dialNextCore},
		{"the near machine is reached", 10, func() { a.coreUp(a.candidate, sim.link("near")) }},
		{"it answers that it has contact", 10, func() { answer(a.core, 20) }},
		{"a renewal", 1000, func() { a.renewLease(); a.checkCore() }},
		{"it answers", 10, func() { answer(a.core, 20) }},
		{"it answers without contact", 1000, func() { answer(a.core, 5000) }},
		{"the failover's timer", 300, a.dialNextCore},
		{"the far machine is reached, and asked", 10, func() { a.coreUp(a.candidate, sim.link("far")) }},
		{"it answers without contact, and is dropped", 10, func() { answer(a.candidate, 5000) }},
		{"its link has ended", 0, func() { a.coreDown(a.candidate) }},
		{"the retry's timer", 50, a.dialNextCore},
		{"the far machine can't be reached", 250, func() { a.coreDown(a.candidate) }},
		{"the retry's timer again", 60, a.dialNextCore},
		{"the far machine is reached again", 10, func() { a.coreUp(a.candidate, sim.link("far")) }},
		{"it answers with contact, and the agent moves", 10, func() { answer(a.candidate, 30) }},
		{"it answers for long enough that the backoff is reset", 6000, func() { answer(a.core, 30) }},
		{"the near machine is tried again", 1000, func() { a.nextNearAttempt = 0; a.checkCore() }},
		{"it is reached", 10, func() { a.coreUp(a.candidate, sim.link("near")) }},
		{"it has contact, and the agent returns", 10, func() { answer(a.candidate, 30) }},
		{"the machine freezes", 2600, a.checkCore},
		{"the failover's timer", 300, a.dialNextCore},
		{"the far machine is being dialled as the link ends", 10, func() { a.coreDown(a.core) }},
		{"the far machine is reached, and used at once", 10, func() { a.coreUp(a.candidate, sim.link("far")) }},
	} {
		sim.advance(step.after)
		step.do()
		fmt.Fprintf(&out, "%s\n  %s, %s, backoff %v ms, failover scheduled %v\n",
			step.name, describe("in use", a.core), describe("candidate", a.candidate), a.backoff, a.failoverScheduled)
		a.failoverScheduled = a.failoverScheduled && a.candidate != nil // a timer of the next step has run
		for _, line := range regexp.MustCompile(`(?m)^\d+ agent (.*)$`).FindAllStringSubmatch(log.String(), -1) {
			fmt.Fprintf(&out, "  %s\n", regexp.MustCompile(`"silentMs"=\d+`).ReplaceAllString(line[1], `"silentMs"=N`))
		}
		log.Reset()
	}
	const file = "testdata/failover.txt"
	if os.Getenv("GOLDEN") == "write" {
		if err := os.WriteFile(file, out.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if want, err := os.ReadFile(file); err != nil || !bytes.Equal(want, out.Bytes()) {
		t.Errorf("%v; got\n%s\nwant\n%s", err, out.Bytes(), want)
	}
}

func describe(label string, core *coreLink) string {
	switch {
	case core == nil:
		return label + " none"
	case core.link == nil:
		return fmt.Sprintf("%s %s (being dialled)", label, core.addr)
	case core.isolated:
		return fmt.Sprintf("%s %s (isolated)", label, core.addr)
	}
	return fmt.Sprintf("%s %s", label, core.addr)
}

package consensus

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// TestTranscripts runs the scripts in testdata/transcripts and compares the output with that in the files. Lines that
// begin with "> " are commands, see transcript.run; the lines after a command are its output. With -update the test
// rewrites the files, and the difference must be reviewed.
func TestTranscripts(t *testing.T) {
	files, err := filepath.Glob("testdata/transcripts/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no transcripts", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			recorded, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got := playScript(t, string(recorded))
			if *update {
				if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			} else if got != string(recorded) {
				t.Errorf("the transcript is\n%s\nwant\n%s", got, recorded)
			}
		})
	}
}

// playScript runs a script's commands and returns the script with their output.
func playScript(t *testing.T, script string) string {
	t.Helper()
	p := &transcript{t: t, minVoters: 3, nodes: map[string]*scriptedNode{}, isolated: map[string]bool{},
		shownResponses: map[string]bool{}}
	lines := bufio.NewScanner(strings.NewReader(script))
	for lines.Scan() {
		switch line := lines.Text(); {
		case strings.HasPrefix(line, "> "):
			fmt.Fprintln(&p.out, line)
			p.run(strings.Fields(line)[1:])
		case line == "" || strings.HasPrefix(line, "#"):
			fmt.Fprintln(&p.out, line)
		}
	}
	return p.out.String()
}

// transcript runs nodes in virtual time and records their output. Messages are delivered at once and in order.
// Heartbeats without an entry, and repeated answers, are not recorded.
type transcript struct {
	t              *testing.T
	minVoters      int
	out            strings.Builder
	now            float64
	nodes          map[string]*scriptedNode
	inTransit      []Envelope
	isolated       map[string]bool // machines that neither receive nor send
	shownResponses map[string]bool // texts of the recorded AppendEntriesResponses
}

type scriptedNode struct {
	*Node
	disk    HardState
	running bool
	state   string // as last recorded
}

// run runs a command:
//
//	minvoters 2         sets Options.MinVoters; the default is 3
//	found m0 m1 m2      bootstraps a cluster of these machines
//	start m0            restarts a machine that was killed
//	empty n0            starts a machine with an empty disk; its seed is m0
//	wait 300            advances time by this many milliseconds
//	propose m0 text     proposes a value
//	leave m0            begins a graceful shutdown
//	kill m0             ends the machine's process
//	isolate m0          blocks all messages from and to the machine
//	heal                ends the isolation of all machines
//	read m0             calls ReadIndex, and prints whether the read is confirmed
//	status              prints the state of each node
func (p *transcript) run(command []string) {
	p.t.Helper()
	addrs := command[1:]
	switch command[0] {
	case "minvoters":
		p.minVoters = p.number(command[1])
	case "found":
		for _, addr := range addrs {
			p.start(addr, Bootstrap(addr, addrs))
		}
	case "start":
		p.start(addrs[0], p.nodes[addrs[0]].disk)
	case "empty":
		p.start(addrs[0], Empty("1@"+addrs[0]))
	case "wait":
		p.wait(float64(p.number(command[1])))
	case "propose":
		e, ok := p.nodes[addrs[0]].Propose([]byte(command[2]), p.now)
		p.show("%s proposes entry %d/%d: %v", addrs[0], e.Term, e.Index, ok)
	case "leave":
		p.nodes[addrs[0]].Leave(p.now)
	case "kill":
		p.nodes[addrs[0]].running = false
	case "isolate":
		p.isolated[addrs[0]] = true
	case "heal":
		clear(p.isolated)
	case "read":
		n := p.nodes[addrs[0]]
		round := n.ReadIndex(p.now)
		p.flush(addrs[0])
		p.settle()
		p.show("%s read confirmed: %v", addrs[0], n.ReadConfirmed(round))
	case "status":
		p.status()
	default:
		p.t.Fatalf("unknown command %v", command)
	}
	for _, addr := range p.addrs() {
		p.flush(addr)
	}
	p.settle()
}

func (p *transcript) number(word string) int {
	p.t.Helper()
	n, err := strconv.Atoi(word)
	if err != nil {
		p.t.Fatal(err)
	}
	return n
}

func (p *transcript) show(format string, args ...any) {
	fmt.Fprintf(&p.out, "  "+format+"\n", args...)
}

func (p *transcript) addrs() (addrs []string) {
	for addr := range p.nodes {
		addrs = append(addrs, addr)
	}
	slices.Sort(addrs)
	return addrs
}

// start starts a machine. The digit in its address determines its election timeouts, so that they differ.
func (p *transcript) start(addr string, disk HardState) {
	spread := float64(addr[1]-'0') / 5
	n := New(Options{Addr: addr, Seeds: []string{"m0"}, MinVoters: p.minVoters,
		HeartbeatInterval: 200, ElectionTimeout: 900,
		RemoveAfter: 1575, Random: func() float64 { return spread }}, cloneState(disk), p.now)
	p.nodes[addr] = &scriptedNode{Node: n, disk: disk, running: true}
}

// wait advances time in steps of 50 ms.
func (p *transcript) wait(ms float64) {
	for end := p.now + ms; p.now < end; {
		p.now += 50
		for _, addr := range p.addrs() {
			if n := p.nodes[addr]; n.running {
				n.Tick(p.now)
				p.flush(addr)
			}
		}
		p.settle()
	}
}

// settle delivers messages until none is in transit.
func (p *transcript) settle() {
	for len(p.inTransit) > 0 {
		e := p.inTransit[0]
		p.inTransit = p.inTransit[1:]
		to := p.nodes[e.To]
		if to == nil || !to.running || p.isolated[e.To] || p.isolated[e.Message.From.Addr] {
			continue
		}
		to.Step(&e.Message, p.now)
		p.flush(e.To)
	}
}

// flush syncs and sends, and records both.
func (p *transcript) flush(addr string) {
	n := p.nodes[addr]
	for n.running {
		if n.Dirty() {
			n.disk = cloneState(n.HardState)
			h := &n.disk
			p.show("%s syncs term %d, vote %q, entry %d/%d", addr, h.Term, h.Vote, h.Last.Term, h.Last.Index)
			n.Synced(p.now)
		}
		p.showState(addr, n)
		for _, e := range n.Messages() {
			p.showMessage(addr, e)
			if entry := e.Message.Entry; entry != nil {
				copied := *entry
				e.Message.Entry = &copied
			}
			p.inTransit = append(p.inTransit, e)
		}
		if !n.Dirty() {
			return
		}
	}
}

// showState records a node's role and its committed entry if they changed.
func (p *transcript) showState(addr string, n *scriptedNode) {
	role := [...]string{Follower: "follower", Candidate: "candidate", Leader: "leader",
		preCandidate: "pre-candidate"}[n.role]
	if n.Established() {
		role = "established leader"
	}
	state := fmt.Sprintf("%s of term %d", role, n.HardState.Term)
	if e, ok := n.Committed(); ok {
		state += fmt.Sprintf(", committed %d/%d %q by %d voters", e.Term, e.Index, e.Value, len(e.Voters))
	}
	if state != n.state {
		n.state = state
		p.show("%s is %s", addr, state)
	}
}

func (p *transcript) showMessage(addr string, e Envelope) {
	m := &e.Message
	text := fmt.Sprintf("%s -> %s %s", addr, e.To, m.Kind)
	if m.Term > 0 {
		text += fmt.Sprintf(" of term %d", m.Term)
	}
	switch m.Kind {
	case RequestVote, RequestPreVote:
		text += fmt.Sprintf(", last entry %d/%d", m.LastTerm, m.LastIndex)
	case VoteResponse, PreVoteResponse:
		text += fmt.Sprintf(", granted: %v", m.Granted)
	case AppendEntries:
		if m.Entry == nil {
			return
		}
		text += fmt.Sprintf(", entry %d/%d %q for %d voters", m.Entry.Term, m.Entry.Index, m.Entry.Value, len(m.Entry.Voters))
	case AppendEntriesResponse:
		text += fmt.Sprintf(", holds %d/%d", m.LastTerm, m.LastIndex)
		if p.shownResponses[text] {
			return
		}
		p.shownResponses[text] = true
	case Join, Leave, TimeoutNow:
	}
	p.show("%s", text)
}

func (p *transcript) status() {
	for _, addr := range p.addrs() {
		n := p.nodes[addr]
		contact := "none"
		if n.ContactAge(p.now) <= ContactLease {
			contact = "held"
		}
		leader, _ := n.Leader()
		p.show("%s running %v: leader %q, contact %s, %d voters, leave done: %v", addr, n.running, leader.Addr, contact,
			len(n.HardState.Last.Voters), n.LeaveDone(p.now))
	}
}

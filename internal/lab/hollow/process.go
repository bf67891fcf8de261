package hollow

// This file owns the processes of a run: this binary started again as a core machine, as many agents, or as many
// members.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"weirwind/internal/controlplane"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/process"
	"weirwind/internal/util/settings"
)

const (
	roleVariable    = "WEIRLAB_HOLLOW_ROLE"
	planVariable    = "WEIRLAB_HOLLOW_PLAN"
	heartbeatPeriod = 1200 * time.Millisecond
	membersPerGroup = 3
	heartbeatConns  = 32 // connections over which all members send
)

// The commands that processes of agents and members take.
const (
	verbSample  = "sample"
	verbRestart = "restart" // the first n agents
	verbChange  = "change"  // the records of the first n members
)

// childPlan is what a process of agents or members has to run; it is passed as JSON in the environment.
type childPlan struct {
	Net   int // the second byte of the first core machine's address
	Port  int
	Cores []string // control addresses
	First int      // agent or member
	Count int
}

// Sample is what a process has used and sent since it started.
type Sample struct {
	CPU        float64                       `json:"cpu"` // seconds
	Memory     float64                       `json:"memory"`
	Traffic    map[string]controlmsg.Traffic `json:"traffic"` // by link
	Heartbeats int64                         `json:"beats"`   // that were acknowledged
	Missed     int64                         `json:"missed"`
	Sent       int64                         `json:"sent"` // bytes of heartbeats, HTTP included
	Received   int64                         `json:"back"` // bytes of their answers, about
}

// Role runs a process of a run where this one was started as such, and gives its exit code; ok is false where it was
// not.
func Role() (code int, ok bool) {
	var p childPlan
	_ = json.Unmarshal([]byte(os.Getenv(planVariable)), &p)
	switch os.Getenv(roleVariable) {
	case "core":
		return process.Main(process.Role{Name: "controlplane", Run: controlplane.Run}, nil, os.Stdout), true
	case "drivers":
		d := &driverProcess{childPlan: p}
		for i := range p.Count {
			d.start(i)
		}
		serveCommands(d.command)
		return 0, true
	case "members":
		m := &memberProcess{childPlan: p, generation: make([]atomic.Int32, p.Count)}
		m.start()
		serveCommands(m.command)
		return 0, true
	}
	return 0, false
}

// serveCommands carries out each line of standard input, a verb and a number, and answers with a sample.
func serveCommands(command func(verb string, n int) Sample) {
	out := json.NewEncoder(os.Stdout)
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		verb, number, _ := strings.Cut(in.Text(), " ")
		n, _ := strconv.Atoi(number)
		s := command(verb, n)
		s.CPU, s.Memory = usage(os.Getpid())
		_ = out.Encode(s) // a parent that is gone reads nothing
	}
}

// usage gives a process's processor time in seconds and its resident memory in bytes.
func usage(pid int) (cpu, memory float64) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) < 22 {
		return 0, 0
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	return (user + system) / 100, pages * float64(os.Getpagesize())
}

// coreIP and driverIP put machine n into the region of core machine n modulo cores: a /16 of its own.
func (p *childPlan) coreIP(n int) string { return fmt.Sprintf("127.%d.0.1", p.Net+n) }

func (p *childPlan) driverIP(n int) string {
	nth := n / len(p.Cores)
	return fmt.Sprintf("127.%d.%d.%d", p.Net+n%len(p.Cores), 1+nth/250, 1+nth%250)
}

// child is a process that a run has started.
type child struct {
	role string
	cmd  *exec.Cmd
	in   io.WriteCloser
	out  *json.Decoder
}

// startChild starts a process of a role; core machines read the settings file.
func startChild(role, settingsFile string, plan *childPlan, log io.Writer) (*child, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(plan)
	if err != nil {
		return nil, err
	}
	c := &child{role: role, cmd: exec.Command(self)}
	c.cmd.Env = append(os.Environ(), roleVariable+"="+role, planVariable+"="+string(text),
		settings.EnvVariable+"="+settingsFile, "GOMAXPROCS=1")
	c.cmd.Stderr = log
	if role != "core" {
		c.in, _ = c.cmd.StdinPipe()
		out, _ := c.cmd.StdoutPipe()
		c.out = json.NewDecoder(out)
	}
	return c, c.cmd.Start()
}

// command sends a command and reads the sample that answers it.
func (c *child) command(line string) (sample Sample, err error) {
	if _, err = io.WriteString(c.in, line+"\n"); err == nil {
		err = c.out.Decode(&sample)
	}
	return sample, err
}

// kill ends the process and waits for its end.
func (c *child) kill() {
	_ = c.cmd.Process.Kill() // it may have ended
	_ = c.cmd.Wait()         // it was killed
}

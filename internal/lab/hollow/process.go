package hollow

// This file owns the processes of a run. This binary is started again as a core machine, a process with many agents, or
// a process with many members.

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
	heartbeatConns  = 32 // number of connections that all members share
)

// The commands of processes of agents and members.
const (
	verbSample  = "sample"
	verbRestart = "restart" // restarts the first n agents
	verbChange  = "change"  // changes the records of the first n members
)

// childPlan is the configuration of a process of agents or members; it is passed as JSON in the environment.
type childPlan struct {
	Net   int // second byte of the first core machine's address
	Port  int
	Cores []string // control addresses of the core machines
	First int      // index of the process's first agent or member
	Count int      // number of agents or members
}

// Sample is a process's resource usage and traffic since its start.
type Sample struct {
	CPU        float64                       `json:"cpu"`     // seconds
	Memory     float64                       `json:"memory"`  // bytes
	Traffic    map[string]controlmsg.Traffic `json:"traffic"` // by link
	Heartbeats int64                         `json:"beats"`   // acknowledged heartbeats
	Missed     int64                         `json:"missed"`  // failed heartbeats
	Sent       int64                         `json:"sent"`    // bytes of heartbeats with their HTTP headers
	Received   int64                         `json:"back"`    // bytes of the answers, approximately
}

// Role runs this process in its role if it was started as a process of a run, and returns its exit code; otherwise ok
// is false.
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

// serveCommands executes each line of standard input, a verb and a number, and answers with a sample.
func serveCommands(command func(verb string, n int) Sample) {
	out := json.NewEncoder(os.Stdout)
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		verb, number, _ := strings.Cut(in.Text(), " ")
		n, _ := strconv.Atoi(number)
		s := command(verb, n)
		s.CPU, s.Memory = usage(os.Getpid())
		_ = out.Encode(s) // fails only if the parent process has ended
	}
}

// usage returns a process's processor time in seconds and its resident memory in bytes.
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

// coreIP and driverIP return the address of core machine n and driver n. Each core machine has a /16 of its own, which
// contains the drivers whose index modulo the number of core machines is its index.
func (p *childPlan) coreIP(n int) string { return fmt.Sprintf("127.%d.0.1", p.Net+n) }

func (p *childPlan) driverIP(n int) string {
	nth := n / len(p.Cores)
	return fmt.Sprintf("127.%d.%d.%d", p.Net+n%len(p.Cores), 1+nth/250, 1+nth%250)
}

// child is a process that a run started.
type child struct {
	role string
	cmd  *exec.Cmd
	in   io.WriteCloser
	out  *json.Decoder
}

// startChild starts a process in a role; core machines read the settings file.
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

// kill kills the process and waits for its end.
func (c *child) kill() {
	_ = c.cmd.Process.Kill() // fails if the process has ended
	_ = c.cmd.Wait()         // always returns an error for a killed process
}

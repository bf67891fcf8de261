package hollow

// This file owns the processes: this binary started again as a core machine, as many agents, or as many members. A
// process of agents or members answers each line on its standard input with a sample of what it has used and sent.

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"weirwind/internal/controlplane"
	"weirwind/internal/controlplane/agent"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/dataplane/wire"
	"weirwind/internal/util/events"
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

// plan is what a process of agents or members is told.
type childPlan struct {
	Net, Port    int
	Cores        []string // control addresses
	First, Count int      // agents or members
}

// Sample is what a process has used and sent since it started.
type Sample struct {
	CPU        float64                       `json:"cpu"` // seconds
	Memory     float64                       `json:"memory"`
	Traffic    map[string]controlmsg.Traffic `json:"traffic"` // by link
	Heartbeats int64                         `json:"beats"`   // heartbeats that were acknowledged
	Missed     int64                         `json:"missed"`
	Sent       int64                         `json:"sent"` // bytes of heartbeats, HTTP included
	Received   int64                         `json:"back"`
}

// Role runs a process of the play where this one was started as such; ok is false where it wasn't.
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

func serveCommands(command func(word string, n int) Sample) {
	out := json.NewEncoder(os.Stdout)
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		word, number, _ := strings.Cut(in.Text(), " ")
		n, _ := strconv.Atoi(number)
		s := command(word, n)
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

// drivers are agents without proxies.
type driverProcess struct {
	childPlan
	cancels []context.CancelFunc
	done    []chan struct{}
}

func (d *driverProcess) start(i int) {
	n := d.First + i
	ip := d.driverIP(n)
	set := &settings.Settings{
		Hostname:    fmt.Sprintf("front-region%d-%04d", n%len(d.Cores), n),
		IP:          ip,
		Zone:        fmt.Sprintf("zone-%d", n%10),
		PortRange:   [2]int{d.Port, d.Port + 2},
		Peers:       d.Cores[:min(3, len(d.Cores))],
		FeedAddr:    net.JoinHostPort(ip, strconv.Itoa(d.Port+1)),
		GracePeriod: 2 * time.Second,
	}
	ctx, end := context.WithCancel(context.Background())
	done := make(chan struct{})
	if i < len(d.cancels) {
		d.cancels[i], d.done[i] = end, done
	} else {
		d.cancels, d.done = append(d.cancels, end), append(d.done, done)
	}
	go func() {
		defer close(done)
		if err := agent.Run(ctx, set, events.Discard()); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
}

// command restarts the first n agents; other words only sample.
func (d *driverProcess) command(verb string, n int) Sample {
	if verb == "restart" {
		n = min(n, len(d.cancels))
		for i := range n {
			d.cancels[i]()
		}
		for i := range n {
			<-d.done[i]
			d.start(i)
		}
	}
	return Sample{
		Traffic: map[string]controlmsg.Traffic{
			"core":  controlmsg.ReadTraffic(&agent.CoreTraffic),
			"peers": controlmsg.ReadTraffic(&agent.PeerTraffic),
		},
	}
}

// members send heartbeats by the pages' wire and answer the leader's STAT; they run no statement.
type memberProcess struct {
	childPlan
	addr                               string
	generation                         []atomic.Int32
	heartbeats, missed, sent, received atomic.Int64
}

func (m *memberProcess) start() {
	ln, err := net.Listen("tcp4", net.JoinHostPort(m.coreIP(0), "0"))
	if err != nil {
		panic(err)
	}
	m.addr = ln.Addr().String()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveStatus(c)
		}
	}()
	for k := range heartbeatConns {
		go m.sendHeartbeats(k)
	}
}

// answerStat is a member's side of the leader's questions: each primary leads in term 1, with an empty log.
func serveStatus(c net.Conn) {
	defer c.Close()
	r := wire.NewReader(c)
	if _, err := r.ReadMessage(); err != nil {
		return
	}
	answer := "READY I 1.0\r\n"
	for {
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if _, err := r.ReadMessage(); err != nil {
			return
		}
		answer = "ROW primary 1 1.0 1 0 0 1\r\nDONE -\r\nREADY I 1.0\r\n"
	}
}

// beat sends for each member of its share once in a period, evenly, over one connection.
func (m *memberProcess) sendHeartbeats(k int) {
	var mine []int
	for i := k; i < m.Count; i += heartbeatConns {
		mine = append(mine, i)
	}
	if len(mine) == 0 {
		return
	}
	tick := time.NewTicker(heartbeatPeriod / time.Duration(len(mine)))
	core := m.Cores[k%len(m.Cores)]
	var conn net.Conn
	var answers *bufio.Reader
	for seq := uint64(1); ; seq++ {
		for _, i := range mine {
			<-tick.C
			if conn == nil {
				c, err := net.DialTimeout("tcp4", core, time.Second)
				if err != nil {
					m.missed.Add(1)
					continue
				}
				conn, answers = c, bufio.NewReader(c)
			}
			if err := m.send(conn, answers, core, i, seq); err != nil {
				m.missed.Add(1)
				conn.Close()
				conn = nil
			}
		}
	}
}

func (m *memberProcess) send(c net.Conn, answers *bufio.Reader, core string, i int, seq uint64) error {
	role := "replica"
	if i%membersPerGroup == 0 {
		role = "primary"
	}
	body := fmt.Sprintf(
		`{"svc":"%s","addr":"%s","zone":"zone-%d","gen":"v%d","slots":10,"state":"up","warmupMs":0,"dbRole":"%s","seq":%d}`,
		groupName(i/membersPerGroup),
		m.addr,
		i%10,
		1+m.generation[i].Load(),
		role,
		seq,
	)
	request := fmt.Sprintf(
		"POST /members/i-%08x/heartbeat HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"+
			"Content-Length: %d\r\n\r\n%s",
		i,
		core,
		len(body),
		body,
	)
	c.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(c, request); err != nil {
		return err
	}
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		return err
	}
	n, _ := io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	m.heartbeats.Add(1)
	m.sent.Add(int64(len(request)))
	m.received.Add(n + 110) // status line and headers, about
	return nil
}

// command gives n members another generation, which changes their records; other words only sample.
func (m *memberProcess) command(verb string, n int) Sample {
	if verb == "change" {
		for i := range min(n, m.Count) {
			m.generation[i].Add(1)
		}
	}
	return Sample{Heartbeats: m.heartbeats.Load(), Missed: m.missed.Load(), Sent: m.sent.Load(), Received: m.received.Load()}
}

// child is a process of the play.
type child struct {
	role string
	cmd  *exec.Cmd
	in   io.WriteCloser
	out  *json.Decoder
}

func startChild(role, settingsFile string, p *childPlan, log io.Writer) (*child, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(p)
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

func (c *child) command(line string) (s Sample, err error) {
	if _, err = io.WriteString(c.in, line+"\n"); err == nil {
		err = c.out.Decode(&s)
	}
	return s, err
}

func (c *child) kill() {
	_ = c.cmd.Process.Kill() // it may have ended
	_ = c.cmd.Wait()         // it was killed
}

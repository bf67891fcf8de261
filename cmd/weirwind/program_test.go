package main

// This file runs the program as a separate process, and reads its log.

import (
	"bufio"
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// program is the driver as a process.
type program struct {
	t       *testing.T
	cmd     *exec.Cmd
	address string
	path    string // path of its configuration
	lines   chan string
	exited  chan error

	operator     string // path of the operators' file
	earlierLines []string
}

// findInLog returns a log line with the text, also one that an earlier wait has skipped.
func (p *program) findInLog(text string) string {
	p.t.Helper()
	for _, line := range p.earlierLines {
		if strings.Contains(line, text) {
			return line
		}
	}
	return p.waitForLog(text)
}

// stop signals the program and waits until it has exited.
func (p *program) stop(signal os.Signal) {
	p.t.Helper()
	p.cmd.Process.Signal(signal)
	for l := range p.lines {
		p.earlierLines = append(p.earlierLines, l)
	}
	select {
	case <-p.exited:
	case <-time.After(testTimeout):
		p.t.Fatal("the program does not exit")
	}
}

func (s *platform) start(t *testing.T) *program {
	t.Helper()
	text, err := json.Marshal(s.config)
	if err != nil {
		t.Fatal(err)
	}
	p := launch(t, string(text), s.operator)
	p.address = field(p.waitForLog("event=serving"), "listen")
	return p
}

// launch starts the program with a configuration, and with an operators' file if operators isn't empty.
func launch(t *testing.T, config, operators string) *program {
	t.Helper()
	folder := t.TempDir()
	path := filepath.Join(folder, "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &program{t: t, path: path, cmd: programCommand(), lines: make(chan string, 100000), exited: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+path)
	if operators != "" {
		p.operator = filepath.Join(folder, "operator.hcl")
		if err := os.WriteFile(p.operator, []byte(operators), 0o600); err != nil {
			t.Fatal(err)
		}
		p.cmd.Env = append(p.cmd.Env, "WEIRWIND_OPERATOR="+p.operator)
	}
	out, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		for in := bufio.NewScanner(out); in.Scan(); {
			p.lines <- in.Text()
		}
		close(p.lines)
		p.exited <- p.cmd.Wait()
	}()
	t.Cleanup(func() { p.cmd.Process.Kill() })
	return p
}

// waitForLog returns the next log line with the text.
func (p *program) waitForLog(text string) string {
	p.t.Helper()
	limit := time.After(testTimeout)
	for {
		select {
		case line, ok := <-p.lines:
			if strings.Contains(line, "DATA RACE") || !ok {
				p.t.Fatalf("no line with %q: %s", text, line)
			}
			if strings.Contains(line, text) {
				return line
			}
			p.earlierLines = append(p.earlierLines, line)
		case <-limit:
			p.t.Fatalf("no line with %q", text)
		}
	}
}

// reload replaces the configuration, or removes it if the text is empty, and returns the log line of the reload.
func (p *program) reload(text string) string {
	p.t.Helper()
	os.Remove(p.path)
	if text != "" {
		os.WriteFile(p.path, []byte(text), 0o600)
	}
	p.cmd.Process.Signal(syscall.SIGHUP)
	return p.waitForLog("event=reload")
}

// counters returns the log line with the counters.
func (p *program) counters() string {
	p.cmd.Process.Signal(syscall.SIGUSR1)
	return p.waitForLog("event=counters")
}

func field(line, name string) string {
	_, rest, _ := strings.Cut(line, " "+name+"=")
	value, _, _ := strings.Cut(rest, " ")
	return value
}

// freeAddress returns an address at which nothing listens, for a program that is restarted at the same address.
func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

package main

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"weirwind/internal/control"
	"weirwind/internal/switchover"
)

type fakeSwitcher struct {
	mu      sync.Mutex
	tracker *switchover.Tracker
}

func (s *fakeSwitcher) HandleHook(notification switchover.Notification) (switchover.Notification, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	notification, _, err := s.tracker.HandleHook(1000, notification, "m1")
	return notification, err
}

func (s *fakeSwitcher) HandlePeer(notification switchover.Notification) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.tracker.HandleNotification(1000, notification)
	return err
}

func (s *fakeSwitcher) Status() []switchover.ChangeStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Status(1000)
}

// The commands notify the driver over its control socket; a rejected notification results in exit code 1.
func TestSwitchCommands(t *testing.T) {
	dir := t.TempDir()
	socket := filepath.Join(dir, "w.sock")
	s := &fakeSwitcher{tracker: switchover.New(switchover.Config{DefaultLease: 100, MaxHold: 1000, ReleaseTimeout: 100, Retention: 1000, MaxGroups: 8})}
	serve := func(network, address, token string) net.Listener {
		ln, err := net.Listen(network, address)
		if err != nil {
			t.Fatal(err)
		}
		ctx, end := context.WithCancel(context.Background())
		ended := make(chan error)
		go func() { ended <- control.Serve(ctx, ln, s, token) }()
		t.Cleanup(func() {
			end()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
		return ln
	}
	serve("unix", socket, "")
	run := func(code int, want string, args ...string) {
		t.Helper()
		var out, problems bytes.Buffer
		got := run(append([]string{"switch"}, args...), &out, &problems)
		if text := out.String() + problems.String(); got != code || !strings.Contains(text, want) {
			t.Errorf("%q: exit code %d, want %d with %q: %s", args, got, code, want, text)
		}
	}
	run(1, "404", "release", "--socket", socket, "--group", "3")
	run(0, "stage=announced from=m1 to=m2", "announce", "--socket", socket, "--group", "3", "--to", "m2")
	run(0, "stage=held from=m1 to=m2 lease=400ms", "hold", "--socket", socket, "--group", "3", "--lease", "400ms")
	run(0, "marked=m1", "status", "--socket", socket)
	run(0, "stage=aborted", "abort", "--socket", socket, "--group", "3")
	run(0, "over=true", "status", "--socket", socket)
	run(1, "409", "hold", "--socket", socket, "--group", "3", "--epoch", "1")
	run(1, "", "status", "--socket", filepath.Join(dir, "nobody.sock"))
	run(2, "", "hold", "--socket", socket)

	// Peers authenticate with a secret; a call without it is rejected and changes nothing.
	ln := serve("tcp", "127.0.0.1:0", "open sesame")
	notification := switchover.Notification{Group: 5, Epoch: 9, Stage: switchover.StageAnnounced}
	for token, accepted := range map[string]bool{"": false, "open sesam": false, "open sesame": true} {
		c := control.NewClient(ln.Addr().String(), token)
		if err := c.NotifyPeer(context.Background(), []switchover.Notification{notification}); (err == nil) != accepted {
			t.Errorf("token %q: %v", token, err)
		}
		c.Close()
	}
	c := control.NewClient(socket, "")
	defer c.Close()
	if err := c.NotifyPeer(context.Background(), make([]switchover.Notification, 300)); err == nil || !strings.Contains(err.Error(), "at most") {
		t.Error(err)
	}

	file := filepath.Join(dir, "p.hcl")
	planText := "member \"a\" {\n group = 1\n capacity = 10\n primary = true\n}\nmember \"b\" {\n group = 1\n capacity = 10\n}\nreplace = [\"b\"]\nswitch = [\"a\"]\n" +
		"limits {\n away = \"5s\"\n warm = \"10s\"\n gap = \"1s\"\n lost = \"2s\"\n group \"1\" {\n  capacity = 10\n }\n}\n"
	os.WriteFile(file, []byte(planText), 0o600)
	run(0, "its primary changes, 1.0 s without writes", "plan", file)
	os.WriteFile(file, []byte(strings.Replace(planText, "capacity = 10\n }", "capacity = 15\n }", 1)), 0o600)
	run(1, "no plan: replace of b: capacity: group 1 would have 10 of the 15", "plan", file)
	os.WriteFile(file, []byte(strings.Replace(planText, "away =", "way =", 1)), 0o600)
	run(1, "Unsupported argument", "plan", file)
	os.WriteFile(file, []byte(strings.Replace(planText, "\"5s\"", "\"soon\"", 1)), 0o600)
	run(1, "invalid duration", "plan", file)
}

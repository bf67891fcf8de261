// Package fleet runs the built program as several processes on loopback, each behind links of its own, before the
// laboratory's cluster.
//
// This file owns the processes: their files, their start, and what is done to them. It must never stop a process that
// it did not start.
package fleet

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"weirwind/internal/control"
	"weirwind/internal/fleet/membership"
	"weirwind/internal/lab"
	"weirwind/internal/standin/links"
)

// Options describe a fleet.
type Options struct {
	Program         string // the built one
	Drivers         int
	Spare           int           // places more, for drivers that come later
	Period          time.Duration // of membership; 200 ms without
	TakeoverAfter   time.Duration
	Seeds           func(i int) []int // whom driver i is told to look for; nil: the first three
	ExpectedDrivers int               // 0: as many as Drivers
	Seed            uint64
	Cluster         *lab.Cluster

	Webhook   string   // of the topology manager, for moves of primaries
	Zones     []string // of the drivers, in turn, which decide on zones in common; nil: they do not
	KeepVotes bool     // each place has a folder in which its drivers keep their votes

	Secret    func(i int) string // its own secret; nil: the same for all
	Discovery func(i int) string // its own address of discovery; nil: the cluster's
}

// Fleet is one that runs.
type Fleet struct {
	Links   *links.Network
	Drivers []*Driver
	options Options
	folder  string
}

// Driver is one place: a name, addresses, and the process that runs there now.
type Driver struct {
	Name    string
	Address string // for clients
	Control *control.Client

	fleet  *Fleet
	index  int
	socket string
	mu     sync.Mutex
	log    bytes.Buffer
	cmd    *exec.Cmd
	ended  chan struct{}
}

// Write takes the process's log.
func (d *Driver) Write(b []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log.Write(b)
}

// Log is what all runs of it have said.
func (d *Driver) Log() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log.String()
}

// Build builds the program into a folder, with further flags, and gives its path.
func Build(folder string, flags ...string) (string, error) {
	path := filepath.Join(folder, "weirwind")
	cmd := exec.Command("go", append(append([]string{"build", "-o", path}, flags...), "weirwind/cmd/weirwind")...)
	if text, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, text)
	}
	return path, nil
}

// New makes the places; no process runs yet.
func New(o Options) (*Fleet, error) {
	if o.Period == 0 {
		o.Period = 200 * time.Millisecond
	}
	if o.TakeoverAfter == 0 {
		o.TakeoverAfter = 5 * time.Second
	}
	if o.ExpectedDrivers == 0 {
		o.ExpectedDrivers = o.Drivers
	}
	if o.Seeds == nil {
		o.Seeds = func(i int) []int {
			var all []int
			for k := range min(3, o.Drivers) {
				all = append(all, k)
			}
			return all
		}
	}
	folder, err := os.MkdirTemp("", "ww") // short: paths of Unix sockets are
	if err != nil {
		return nil, err
	}
	f := &Fleet{options: o, folder: folder}
	if f.Links, err = links.New(o.Drivers+o.Spare, o.Seed); err != nil {
		_ = os.RemoveAll(folder)
		return nil, err
	}
	for i := range o.Drivers + o.Spare {
		d := &Driver{Name: fmt.Sprintf("n%d", i), fleet: f, index: i, socket: filepath.Join(folder, fmt.Sprintf("%d.sock", i))}
		d.Control = control.NewClient(d.socket, "")
		d.Address = f.Links.ServeAddr(i)
		f.Drivers = append(f.Drivers, d)
	}
	return f, nil
}

// Close kills what still runs and removes the files.
func (f *Fleet) Close() {
	for _, d := range f.Drivers {
		d.Kill()
		d.Control.Close()
	}
	f.Links.Close()
	_ = os.RemoveAll(f.folder)
}

// StartAll starts every driver but the spare ones.
func (f *Fleet) StartAll() error {
	var all []int
	for i := range f.options.Drivers {
		all = append(all, i)
	}
	return f.StartDrivers(all...)
}

// StartThese starts some.
func (f *Fleet) StartDrivers(of ...int) error {
	for _, i := range of {
		if err := f.Drivers[i].Start(); err != nil {
			return err
		}
	}
	return nil
}

// write writes the files that a process at this place reads.
func (d *Driver) writeFiles() error {
	o := &d.fleet.options
	secret := "a secret of drivers"
	if o.Secret != nil {
		secret = o.Secret(d.index)
	}
	config := o.Cluster.Configuration(d.Name, d.Address, o.ExpectedDrivers, d.index)
	if len(o.Zones) > 0 {
		config = bytes.ReplaceAll(config, []byte(`"zone": "a"`), fmt.Appendf(nil, `"zone": %q`, o.Zones[d.index%len(o.Zones)]))
	}
	if o.Discovery != nil {
		config = bytes.ReplaceAll(config, []byte(o.Cluster.Discovery()), []byte(o.Discovery(d.index)))
	}
	var seeds []string
	for _, s := range o.Seeds(d.index) {
		if s != d.index {
			seeds = append(seeds, fmt.Sprintf("%q", d.fleet.Links.AdvertisedAddr(s)))
		}
	}
	file := d.file
	operators := fmt.Sprintf(
		"control {\n  socket     = %q\n  token_file = %q\n  lease      = \"3s\"\n  most       = \"1m\"\n"+
			"  opening    = \"3s\"\n}\n"+
			"membership {\n  listen    = %q\n  advertise = %q\n  seeds     = [%s]\n  period    = %q\n"+
			"  expect    = %d\n  yield     = %q\n}\n",
		d.socket,
		file("token"),
		d.fleet.Links.ListenAddr(d.index),
		d.fleet.Links.AdvertisedAddr(d.index),
		strings.Join(seeds, ", "),
		o.Period,
		o.ExpectedDrivers,
		o.TakeoverAfter,
	)
	if o.KeepVotes {
		operators = strings.Replace(operators, "  period ", fmt.Sprintf("  folder    = %q\n  period ", file("votes")), 1)
	}
	if len(o.Zones) > 0 {
		operators = strings.Replace(operators, "  period ", fmt.Sprintf("  zone      = %q\n  period ",
			o.Zones[d.index%len(o.Zones)]), 1)
		operators += "zones {\n  region \"r\" {\n    zones = [\"a\", \"b\", \"c\"]\n  }\n  beat  = \"200ms\"\n" +
			"  lease = \"3s\"\n  doubt = \"400ms\"\n  away  = \"1s\"\n  webhook = " +
			fmt.Sprintf("%q", o.Webhook) + "\n}\n"
	}
	for kind, text := range map[string][]byte{"json": config, "hcl": []byte(operators), "token": []byte(secret)} {
		if err := os.WriteFile(file(kind), text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (d *Driver) file(kind string) string {
	return filepath.Join(d.fleet.folder, fmt.Sprintf("%d.%s", d.index, kind))
}

// Start begins a process at this place, with no memory of an earlier one.
func (d *Driver) Start() error {
	if err := d.writeFiles(); err != nil {
		return err
	}
	cmd := exec.Command(d.fleet.options.Program, "run", "--config", d.file("json"), "--operator", d.file("hcl"))
	cmd.Stderr, cmd.Stdout = d, d
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.ended = cmd, ended
	d.mu.Unlock()
	go func() {
		_ = cmd.Wait() // how it ended is for the page
		close(ended)
	}()
	return nil
}

// Signal sends one to the process that runs here, if any.
func (d *Driver) Signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s) // it may have ended
	}
}

// Kill ends the process without a word, and waits until it is gone.
func (d *Driver) Kill() { d.terminate(syscall.SIGKILL) }

// Stop asks it to end, and waits until it has.
func (d *Driver) Stop() { d.terminate(syscall.SIGTERM) }

func (d *Driver) terminate(s syscall.Signal) {
	d.mu.Lock()
	cmd, ended := d.cmd, d.ended
	d.cmd = nil
	d.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(s) // it may have ended
		<-ended
	}
}

// Freeze lets the process stand still, Thaw go on.
func (d *Driver) Freeze() { d.Signal(syscall.SIGSTOP) }

// Thaw lets it go on.
func (d *Driver) Thaw() { d.Signal(syscall.SIGCONT) }

// Status is its view; an error while it does not answer.
func (d *Driver) Status() (membership.Status, error) {
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	return d.Control.Membership(ctx)
}

// Stands says whether all of these drivers have a standing now.
func (f *Fleet) HavePartitionStatus(want membership.PartitionStatus, of ...int) bool {
	for _, i := range of {
		if s, err := f.Drivers[i].Status(); err != nil || s.Partition != want {
			return false
		}
	}
	return true
}

// View is what driver at sees of driver of; ok is false where it does not know it.
func (f *Fleet) View(at, of int) (v membership.View, ok bool) {
	s, err := f.Drivers[at].Status()
	if err != nil {
		return v, false
	}
	for _, v := range s.Drivers {
		if v.Name == f.Drivers[of].Name {
			return v, true
		}
	}
	return v, false
}

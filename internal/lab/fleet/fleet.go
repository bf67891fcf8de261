package fleet

// This file owns fleets: places for drivers, and the links between them.

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"weirwind/internal/control"
	"weirwind/internal/fleet/membership"
	"weirwind/internal/lab"
	"weirwind/internal/standin/links"
)

// Options of a fleet. Functions take a driver's index.
type Options struct {
	Program         string // path of the built one
	Drivers         int
	ExtraDrivers    int                // places for drivers that start later
	Period          time.Duration      // of membership; 0: 200 ms
	TakeoverAfter   time.Duration      // 0: 5 s
	Seeds           func(i int) []int  // drivers that one is configured with; nil: the first three
	ExpectedDrivers int                // 0: Drivers
	Seed            uint64             // of the links
	Cluster         *lab.Cluster       // of members
	Webhook         string             // of the topology manager, for moves of primaries
	Zones           []string           // of the drivers, in turn, which decide on zones in common; nil: they don't
	KeepVotes       bool               // in a folder of each place
	Secret          func(i int) string // of a driver; nil: one of all
	Discovery       func(i int) string // address of a driver's discovery; nil: the cluster's
}

// Fleet is drivers' places and the links between them.
type Fleet struct {
	Links   *links.Network
	Drivers []*Driver
	options Options
	folder  string
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

func (o *Options) applyDefaults() {
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
		o.Seeds = func(int) []int {
			return indexes(min(3, o.Drivers))
		}
	}
}

// indexes is those of the first n drivers.
func indexes(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}

// New opens the links; no process runs yet.
func New(options Options) (*Fleet, error) {
	options.applyDefaults()
	folder, err := os.MkdirTemp("", "ww") // short: paths of Unix sockets are
	if err != nil {
		return nil, err
	}
	f := &Fleet{options: options, folder: folder}
	if f.Links, err = links.New(options.Drivers+options.ExtraDrivers, options.Seed); err != nil {
		_ = os.RemoveAll(folder)
		return nil, err
	}
	for i := range options.Drivers + options.ExtraDrivers {
		d := &Driver{
			Name:   fmt.Sprintf("n%d", i),
			fleet:  f,
			index:  i,
			socket: filepath.Join(folder, fmt.Sprintf("%d.sock", i)),
		}
		d.Control = control.NewClient(d.socket, "")
		d.Address = f.Links.ServeAddr(i)
		f.Drivers = append(f.Drivers, d)
	}
	return f, nil
}

// Close kills all processes and removes the files.
func (f *Fleet) Close() {
	for _, d := range f.Drivers {
		d.Kill()
		d.Control.Close()
	}
	f.Links.Close()
	_ = os.RemoveAll(f.folder)
}

// StartAll starts all drivers but the spare ones.
func (f *Fleet) StartAll() error {
	return f.StartDrivers(indexes(f.options.Drivers)...)
}

// StartDrivers starts some drivers.
func (f *Fleet) StartDrivers(drivers ...int) error {
	for _, i := range drivers {
		if err := f.Drivers[i].Start(); err != nil {
			return err
		}
	}
	return nil
}

// HavePartitionStatus says whether all of these drivers have a partition status now.
func (f *Fleet) HavePartitionStatus(want membership.PartitionStatus, drivers ...int) bool {
	for _, i := range drivers {
		if s, err := f.Drivers[i].Status(); err != nil || s.Partition != want {
			return false
		}
	}
	return true
}

// View is what a driver knows of another; ok is false where it does not know it.
func (f *Fleet) View(observer, subject int) (view membership.View, ok bool) {
	s, err := f.Drivers[observer].Status()
	if err != nil {
		return view, false
	}
	for _, v := range s.Drivers {
		if v.Name == f.Drivers[subject].Name {
			return v, true
		}
	}
	return view, false
}

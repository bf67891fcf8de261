package fleet

// This file owns fleets: drivers and the links between them.

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

// Options are the options of a fleet. Functions take a driver's index.
type Options struct {
	Program         string // path of the built program
	Drivers         int
	ExtraDrivers    int                // additional drivers that StartAll does not start
	Period          time.Duration      // probe period of the membership protocol; 0: 200 ms
	TakeoverAfter   time.Duration      // delay until failed drivers' shares are taken over; 0: 5 s
	Seeds           func(i int) []int  // seed drivers in a driver's configuration; nil: the first three
	ExpectedDrivers int                // 0: Drivers
	Seed            uint64             // random seed of the links
	Cluster         *lab.Cluster       // members behind the drivers
	Webhook         string             // URL of the topology manager for moves of primaries
	Zones           []string           // zones of the drivers, round-robin; nil: no zone decisions
	KeepVotes       bool               // persist consensus votes in a folder of each driver
	Secret          func(i int) string // a driver's shared secret; nil: the same for all
	Discovery       func(i int) string // address of a driver's discovery; nil: the cluster's
}

// Fleet is a number of drivers and the links between them.
type Fleet struct {
	Links   *links.Network
	Drivers []*Driver
	options Options
	folder  string
}

// Build builds the program into a folder, with additional flags of go build, and returns its path.
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

// indexes returns the indexes of the first n drivers.
func indexes(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}

// New returns a fleet with open links and without running processes.
func New(options Options) (*Fleet, error) {
	options.applyDefaults()
	folder, err := os.MkdirTemp("", "ww") // a short path, as the length of Unix socket paths is limited
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

// StartAll starts all drivers except the extra ones.
func (f *Fleet) StartAll() error {
	return f.StartDrivers(indexes(f.options.Drivers)...)
}

// StartDrivers starts the given drivers.
func (f *Fleet) StartDrivers(drivers ...int) error {
	for _, i := range drivers {
		if err := f.Drivers[i].Start(); err != nil {
			return err
		}
	}
	return nil
}

// HavePartitionStatus reports whether all given drivers have a partition status.
func (f *Fleet) HavePartitionStatus(want membership.PartitionStatus, drivers ...int) bool {
	for _, i := range drivers {
		if s, err := f.Drivers[i].Status(); err != nil || s.Partition != want {
			return false
		}
	}
	return true
}

// View returns a driver's view of another one; ok is false if the observer does not know the subject.
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

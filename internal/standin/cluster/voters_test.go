package cluster

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// catchUpTime is the time in which a new core machine must become a voter, after which another one may be lost (the
// platform's catchupS).
const catchUpTime = 4 * time.Second

// The leading core machine is replaced, by a planned shutdown or after a crash. The new machine becomes a voter in its
// place within catchUpTime, and then the new leader crashes. The two remaining machines acknowledge the next change.
func TestLeaderCrashAfterReplacement(t *testing.T) {
	for _, mode := range []string{"planned", "gone"} {
		Convey("The leader is replaced by a machine with an empty disk at another address, "+mode, t, func() {
			d := New(t, 3, 1)
			Reset(d.Stop)
			d.Configure(1)
			d.Eventually("all three are voters", func() bool { return votersAre(d, 0, d.Cores...) })
			old := leader(d)
			oldAddr := d.Cores[old[4]-'0']
			if mode == "gone" {
				d.Kill(old)
			}
			d.Cores = append(d.Cores, net.JoinHostPort(d.ip(1, 3), fmt.Sprint(d.basePort+3)))
			began := time.Now()
			d.Start("core3", false)
			if mode == "planned" {
				d.Eventually("the new machine is a voter", func() bool { return votersAre(d, 3, d.Cores...) })
				d.Signal(old, syscall.SIGTERM)
				d.processes[old].Wait()
				delete(d.processes, old)
			}
			remaining := slices.DeleteFunc(slices.Clone(d.Cores), func(a string) bool { return a == oldAddr })
			d.Eventually("the new machine is a voter in place of the old one", func() bool { return votersAre(d, 3, remaining...) })
			So(time.Since(began), ShouldBeLessThan, catchUpTime)
			second := leader(d)
			d.Kill(second)
			began = time.Now()
			d.Eventually("the next change is accepted", func() bool {
				for i, a := range d.Cores {
					if name := fmt.Sprint("core", i); name != old && name != second {
						if code, _ := d.Call("POST", a, "/config/replace", "1", Config(2)); code == 200 {
							return true
						}
					}
				}
				return false
			})
			So(time.Since(began), ShouldBeLessThan, 5*time.Second) // the platform's ackMs
		})
	}
}

// votersAre reports whether a machine knows exactly the machines at these addresses as voters.
func votersAre(d *Deployment, core int, addrs ...string) bool {
	_, all := voters(d, core)
	for _, a := range addrs {
		if !strings.Contains(all, a) {
			return false
		}
	}
	return strings.Count(all, "@") == len(addrs)
}

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

// catchUpTime is how long a new core machine has until another may be lost (the sites' catchupS).
const catchUpTime = 4 * time.Second

// The leading core machine is replaced, by a planned shutdown or a crash. The new one votes in its place within
// catchUpTime, and then the leader crashes. The next change is acknowledged by the two that are left.
func TestSecondLossBehindAReplacement(t *testing.T) {
	for _, how := range []string{"planned", "gone"} {
		Convey("The machine that leads is replaced by an empty one at another address, "+how, t, func() {
			d := New(t, 3, 1)
			Reset(d.Stop)
			d.Configure(1)
			d.Eventually("all three vote", func() bool { return votersAre(d, 0, d.Cores...) })
			old := leader(d)
			oldAddr := d.Cores[old[4]-'0']
			if how == "gone" {
				d.Kill(old)
			}
			d.Cores = append(d.Cores, net.JoinHostPort(d.ip(1, 3), fmt.Sprint(d.basePort+3)))
			began := time.Now()
			d.Start("core3", false)
			if how == "planned" {
				d.Eventually("the new one votes", func() bool { return votersAre(d, 3, d.Cores...) })
				d.Signal(old, syscall.SIGTERM)
				d.processes[old].Wait()
				delete(d.processes, old)
			}
			left := slices.DeleteFunc(slices.Clone(d.Cores), func(a string) bool { return a == oldAddr })
			d.Eventually("the new one votes in place of the old one", func() bool { return votersAre(d, 3, left...) })
			So(time.Since(began), ShouldBeLessThan, catchUpTime)
			second := leader(d)
			d.Kill(second)
			began = time.Now()
			d.Eventually("the next change is taken", func() bool {
				for i, a := range d.Cores {
					if name := fmt.Sprint("core", i); name != old && name != second {
						if code, _ := d.Call("POST", a, "/config/replace", "1", Config(2)); code == 200 {
							return true
						}
					}
				}
				return false
			})
			So(time.Since(began), ShouldBeLessThan, 5*time.Second) // the sites' ackMs
		})
	}
}

// votersAre says whether a machine knows exactly these as voters.
func votersAre(d *Deployment, at int, addrs ...string) bool {
	_, all := voters(d, at)
	for _, a := range addrs {
		if !strings.Contains(all, a) {
			return false
		}
	}
	return strings.Count(all, "@") == len(addrs)
}

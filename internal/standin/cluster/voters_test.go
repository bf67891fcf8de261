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

// catchUp is how long a new machine of the core has until another may be lost (the sites' catchupS).
const catchUp = 4 * time.Second

// An operator replaces the machine of the core that leads, in order or by pulling its plug. The new one votes in its place inside
// catchUp, and then the machine that leads goes down. The next change is acknowledged by the two that are left.
func TestSecondLossBehindAReplacement(t *testing.T) {
	for _, how := range []string{"planned", "gone"} {
		Convey("The machine that leads is replaced by an empty one at another address, "+how, t, func() {
			w := New(t, 3, 1)
			Reset(w.Stop)
			w.Configure(1)
			w.Eventually("all three vote", func() bool { return votes(w, 0, w.Cores...) })
			old := leader(w)
			oldAddr := w.Cores[old[4]-'0']
			if how == "gone" {
				w.Kill(old)
			}
			w.Cores = append(w.Cores, net.JoinHostPort(w.ip(1, 3), fmt.Sprint(w.basePort+3)))
			began := time.Now()
			w.Start("core3", false)
			if how == "planned" {
				w.Eventually("the new one votes", func() bool { return votes(w, 3, w.Cores...) })
				w.Signal(old, syscall.SIGTERM)
				w.processes[old].Wait()
				delete(w.processes, old)
			}
			left := slices.DeleteFunc(slices.Clone(w.Cores), func(a string) bool { return a == oldAddr })
			w.Eventually("the new one votes in place of the old one", func() bool { return votes(w, 3, left...) })
			So(time.Since(began), ShouldBeLessThan, catchUp)
			second := leader(w)
			w.Kill(second)
			began = time.Now()
			w.Eventually("the next change is taken", func() bool {
				for i, a := range w.Cores {
					if name := fmt.Sprint("core", i); name != old && name != second {
						if code, _ := w.Call("POST", a, "/config/replace", "1", Config(2)); code == 200 {
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

// votes says whether a machine knows these, and no others, to vote.
func votes(w *Deployment, at int, addrs ...string) bool {
	_, all := voters(w, at)
	for _, a := range addrs {
		if !strings.Contains(all, a) {
			return false
		}
	}
	return strings.Count(all, "@") == len(addrs)
}

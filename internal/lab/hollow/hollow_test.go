package hollow

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/parquet-go/parquet-go"
	. "github.com/smartystreets/goconvey/convey"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/lab/experiment"
)

func TestMain(m *testing.M) {
	if code, ok := Role(); ok {
		os.Exit(code)
	}
	os.Exit(m.Run())
}

// perMachine returns the mean bytes that a machine of a role sent and received in a phase, for purposes with a prefix,
// and the duration of the phase.
func perMachine(rows []Row, phase, role, purpose string) (bytes, seconds float64) {
	for _, r := range rows {
		if r.Phase == phase && r.Role == role {
			seconds = r.Seconds
			if strings.HasPrefix(r.Purpose, purpose) {
				bytes += r.Bytes / float64(r.Machines)
			}
		}
	}
	return bytes, seconds
}

// With real core machines and agents, whose traffic is counted by purpose: in steady state no cost of a core machine
// grows with the product of drivers and members, and an agent's cost does not grow at all. docs/CAPACITY.md has the
// figures of larger sizes.
func TestCostsBySizeWithRealProcesses(t *testing.T) {
	runs := map[int][]Row{}
	for i, n := range []int{30, 100} {
		rows, err := Run(t.Context(), Options{Drivers: n, Databases: n * 145 / 100, Cores: 5, Renewals: 2,
			Timeout: time.Minute, Net: 70 + os.Getpid()%80, Port: 23000 + 4*(os.Getpid()%2000) + 4*i}, os.Stdout)
		if err != nil {
			t.Fatal(err)
		}
		runs[n] = rows
	}
	Convey("30 and 100 drivers before databases in proportion", t, func() {
		perDriver := func(n int, phase, role, purpose string) float64 {
			bytes, seconds := perMachine(runs[n], phase, role, purpose)
			return bytes / seconds / float64(n)
		}
		Convey("a core machine's steady bytes per driver don't grow, in sum and by purpose", func() {
			for _, purpose := range []string{"", "lease", "member heartbeats", "digests"} {
				So(perDriver(30, "steady", "core", purpose), ShouldBeGreaterThan, 0)
				So(perDriver(100, "steady", "core", purpose), ShouldBeLessThan, 1.2*perDriver(30, "steady", "core", purpose))
			}
		})
		Convey("an agent's steady bytes don't grow", func() {
			small, smallSeconds := perMachine(runs[30], "steady", "drivers", "")
			large, largeSeconds := perMachine(runs[100], "steady", "drivers", "")
			So(large/largeSeconds, ShouldBeLessThan, 1.2*small/smallSeconds)
		})
		Convey("members' heartbeats, consensus and configurations are counted", func() {
			beats, _ := perMachine(runs[100], "steady", "members", "heartbeats")
			So(beats, ShouldBeGreaterThan, 0)
			for phase, purpose := range map[string]controlmsg.Purpose{
				"steady": controlmsg.ConsensusHeartbeats, "configuration": controlmsg.Configuration,
				"member changes": controlmsg.MemberRecords, "driver restarts": controlmsg.DriverLists} {
				bytes, _ := perMachine(runs[100], phase, "core", purpose.String())
				So(bytes, ShouldBeGreaterThan, 0)
			}
		})
		Convey("rows are read back as they were saved", func() {
			file := filepath.Join(t.TempDir(), "hollow.parquet")
			So(experiment.Save(file, runs[30]), ShouldBeNil)
			back, err := parquet.ReadFile[Row](file)
			So(err, ShouldBeNil)
			So(back, ShouldResemble, runs[30])
			So(Draw(filepath.Join(filepath.Dir(file), "steady.png"), "steady", append(runs[30], runs[100]...)), ShouldBeNil)
		})
	})
}

package cluster

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"weirwind/internal/standin/disk"
	"weirwind/internal/weirctl"
)

// The leader's disk is full for a while: its process keeps running, another machine leads, and it grants and
// acknowledges nothing, but still exchanges members with the others, even after more calls than its command queue can
// hold. Once the disk has room again, it learns what the others decided. The test fails with store.Open in the loop,
// as the process then exits, and if commands block on a full queue, as the readers of its links then block with them.
func TestFullDiskKeepsProcessRunning(t *testing.T) {
	Convey("The leader's disk is full", t, func() {
		const moreThanQueueCapacity = 400
		d := New(t, 3, 1)
		Reset(d.Stop)
		d.Configure(1)
		name := leader(d)
		core := int(name[4] - '0')
		process := d.processes[name].Process.Pid
		d.SetDiskFaults(name, disk.Full)
		replaceConfig(d, 1, 2, name)
		var status struct {
			DiskFull   bool
			DiskWaitMs float64
			Members    []struct{ ID string }
		}
		readStatus := func(n int) {
			code, body := d.Call("GET", d.Cores[n], "/status", "", nil)
			So(code, ShouldEqual, 200)
			So(json.Unmarshal([]byte(body), &status), ShouldBeNil)
		}
		d.Eventually("its status shows the full disk", func() bool {
			readStatus(core)
			return status.DiskFull && status.DiskWaitMs > 0
		})
		var out strings.Builder
		weirctl.Main([]string{"status", d.Cores[core]}, &out, &out)
		So(out.String(), ShouldContainSubstring, "the disk is full")

		var calls sync.WaitGroup
		for range moreThanQueueCapacity {
			calls.Go(func() { d.Call("GET", d.Cores[core], "/status?brief=1", "", nil) })
		}
		calls.Wait()
		code, _ := d.Call("GET", d.Cores[core], "/config/show", "", nil)
		So(code, ShouldEqual, 503)
		heartbeat := []byte(`{"svc":"svc","addr":"127.0.0.1:1","zone":"z1","state":"up","dbRole":"replica","seq":1}`)
		code, _ = d.Call("POST", d.Cores[core], "/members/late/heartbeat", "", heartbeat)
		So(code, ShouldEqual, 503) // another machine has to acknowledge it
		d.Eventually("another machine knows the member", func() bool {
			readStatus((core + 1) % 3)
			return strings.Contains(fmt.Sprint(status.Members), "late")
		})
		code, _ = d.Call("POST", d.Cores[(core+1)%3], "/members/elsewhere/heartbeat", "", heartbeat)
		So(code, ShouldEqual, 200)
		d.Eventually("it knows a member that another machine knows", func() bool {
			readStatus(core)
			return strings.Contains(fmt.Sprint(status.Members), "elsewhere")
		})

		d.SetDiskFaults(name)
		d.Eventually("it has the configuration that the others accepted", func() bool {
			code, body := d.Call("GET", d.Cores[core], "/config/show", "", nil)
			return code == 200 && strings.HasPrefix(body, `{"gen":2,`)
		})
		So(d.processes[name].Process.Pid, ShouldEqual, process)
		So(d.processes[name].ProcessState, ShouldBeNil)
		d.Kill(name) // so that its log is complete
		So(d.logs[name].String(), ShouldNotContainSubstring, `"E103"`)
	})
}

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

// The leader's disk has no room for a while: its process stays, another machine leads, and it grants and acknowledges
// nothing, but goes on exchanging members with the others, also when more calls than its loop has room for have come to
// it. With room again it knows what the others decided. It fails with store.Open in the loop, as the process ends, and
// where commands to the loop wait for room, as its links' readers then wait with them.
func TestCoreMachineWithAFullDiskStays(t *testing.T) {
	Convey("The leader's disk is full", t, func() {
		const moreThanTheLoopsRoom = 400
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
		get := func(n int) {
			code, body := d.Call("GET", d.Cores[n], "/status", "", nil)
			So(code, ShouldEqual, 200)
			So(json.Unmarshal([]byte(body), &status), ShouldBeNil)
		}
		d.Eventually("its status says so", func() bool {
			get(core)
			return status.DiskFull && status.DiskWaitMs > 0
		})
		var out strings.Builder
		weirctl.Main([]string{"status", d.Cores[core]}, &out, &out)
		So(out.String(), ShouldContainSubstring, "the disk is full")

		var calls sync.WaitGroup
		for range moreThanTheLoopsRoom {
			calls.Go(func() { d.Call("GET", d.Cores[core], "/status?brief=1", "", nil) })
		}
		calls.Wait()
		code, _ := d.Call("GET", d.Cores[core], "/config/show", "", nil)
		So(code, ShouldEqual, 503)
		beat := []byte(`{"svc":"svc","addr":"127.0.0.1:1","zone":"z1","state":"up","dbRole":"replica","seq":1}`)
		code, _ = d.Call("POST", d.Cores[core], "/members/late/heartbeat", "", beat)
		So(code, ShouldEqual, 503) // another machine is to acknowledge it
		d.Eventually("another machine knows the member", func() bool {
			get((core + 1) % 3)
			return strings.Contains(fmt.Sprint(status.Members), "late")
		})
		code, _ = d.Call("POST", d.Cores[(core+1)%3], "/members/elsewhere/heartbeat", "", beat)
		So(code, ShouldEqual, 200)
		d.Eventually("it knows a member that another machine knows", func() bool {
			get(core)
			return strings.Contains(fmt.Sprint(status.Members), "elsewhere")
		})

		d.SetDiskFaults(name)
		d.Eventually("it knows what the others decided", func() bool {
			code, body := d.Call("GET", d.Cores[core], "/config/show", "", nil)
			return code == 200 && strings.HasPrefix(body, `{"gen":2,`)
		})
		So(d.processes[name].Process.Pid, ShouldEqual, process)
		So(d.processes[name].ProcessState, ShouldBeNil)
		d.Kill(name) // its log is whole then
		So(d.logs[name].String(), ShouldNotContainSubstring, `"E103"`)
	})
}

package cluster

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"weirwind/internal/weirctl"
)

// weirctlCommand runs a weirctl command, and returns its exit code and output.
func weirctlCommand(args ...string) (int, string) {
	var out, errs bytes.Buffer
	code := weirctl.Main(args, &out, &errs)
	return code, out.String() + errs.String()
}

func TestOperatorsCommand(t *testing.T) {
	Convey("With a running system", t, func() {
		d := New(t, 3, 1)
		Reset(d.Stop)
		d.Configure(1)
		file := filepath.Join(d.dir, "next.json")
		So(
			os.WriteFile(file, []byte(strings.Replace(string(Config(2)), `"maxStaleMs":1500`, `"maxStaleMs":900`, 1)), 0o600),
			ShouldBeNil,
		)
		Convey("status, versions and the difference of a file are printed", func() {
			code, s := weirctlCommand("status", d.Cores[0], d.ReadyAddr(0))
			So(code, ShouldEqual, 0)
			So(s, ShouldContainSubstring, "voter 0@"+d.Cores[2])
			So(s, ShouldContainSubstring, "proxy, configuration 1")
			So(s, ShouldContainSubstring, "svc: slot a (a by beat)")
			code, s = weirctlCommand("config", "log", d.Cores[1])
			So(code, ShouldEqual, 0)
			So(s, ShouldContainSubstring, "version 1 on 0, taken at core0")
			code, s = weirctlCommand("config", "diff", d.Cores[1], file)
			So(code, ShouldEqual, 0)
			So(strings.Count(s, "\n"), ShouldEqual, 2)
			So(s, ShouldContainSubstring, "~ gen: 1 -> 2")
			So(s, ShouldContainSubstring, `~ routes s: `)
			code, s = weirctlCommand("config", "check", file)
			So(code, ShouldEqual, 0)
			So(s, ShouldContainSubstring, "version 2 can be served")
			code, s = weirctlCommand("explain", "svc", d.ReadyAddr(0))
			So(code, ShouldEqual, 0)
			So(s, ShouldContainSubstring, `"E501" "svc"="svc"`)
			code, _ = weirctlCommand("status")
			So(code, ShouldEqual, 2)
			code, _ = weirctlCommand("config", "check", d.dir+"/none")
			So(code, ShouldEqual, 1)
		})
		Convey("and two of three disks lost, the state is restored from the last one, and its machine joins", func() {
			for i := range 3 {
				d.Kill(fmt.Sprint("core", i))
			}
			d.EraseDisk("core0")
			d.EraseDisk("core1")
			backup, lastDisk := filepath.Join(d.dir, "saved"), filepath.Join(d.dir, "core2")
			code, s := weirctlCommand("state", "check", lastDisk)
			So(code, ShouldEqual, 0)
			So(s, ShouldContainSubstring, "configuration 1")
			code, _ = weirctlCommand("state", "export", lastDisk, backup)
			So(code, ShouldEqual, 0)
			code, s = weirctlCommand("state", "import", backup, lastDisk, d.Cores[2], d.Cores[0], d.Cores[1], d.Cores[2])
			So(code, ShouldEqual, 1)
			So(s, ShouldContainSubstring, "not empty")
			for i := range 2 { // the third machine restarts unchanged
				code, s = weirctlCommand(
					append(
						[]string{"state", "import", backup, filepath.Join(d.dir, fmt.Sprint("core", i)), d.Cores[i]},
						d.Cores[:2]...)...)
				So(s, ShouldContainSubstring, "begins as voter r")
				So(code, ShouldEqual, 0)
			}
			for i := range 3 {
				d.Start(fmt.Sprint("core", i), false)
			}
			d.Eventually("the restored core accepts the next version", func() bool {
				code, _ := d.Call("POST", d.Cores[0], "/config/replace", "1", Config(2))
				return code == 200
			})
			d.Eventually("the third machine is a voter", func() bool {
				_, s := weirctlCommand("status", d.Cores[2])
				return strings.Contains(s, "configuration 2") && strings.Count(s, "voter") == 3 &&
					strings.Contains(s, "voter 0@"+d.Cores[2])
			})
		})
	})
}

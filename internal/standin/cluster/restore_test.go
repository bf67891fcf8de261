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

// order carries out an operators' command.
func order(args ...string) (int, string) {
	var out, errs bytes.Buffer
	code := weirctl.Main(args, &out, &errs)
	return code, out.String() + errs.String()
}

func TestOperatorsCommand(t *testing.T) {
	Convey("With a system that serves", t, func() {
		w := New(t, 3, 1)
		Reset(w.Stop)
		w.Configure(1)
		file := filepath.Join(w.dir, "next.json")
		So(os.WriteFile(file, []byte(strings.Replace(string(Config(2)), `"maxStaleMs":1500`, `"maxStaleMs":900`, 1)), 0o600), ShouldBeNil)
		Convey("its state, its versions and what a file would change are told", func() {
			code, s := order("status", w.Cores[0], w.readyAddr(0))
			So(code, ShouldEqual, 0)
			So(s, ShouldContainSubstring, "voter 0@"+w.Cores[2])
			So(s, ShouldContainSubstring, "proxy, configuration 1")
			So(s, ShouldContainSubstring, "svc: slot a (a by beat)")
			code, s = order("config", "log", w.Cores[1])
			So(code, ShouldEqual, 0)
			So(s, ShouldContainSubstring, "version 1 on 0, taken at core0")
			code, s = order("config", "diff", w.Cores[1], file)
			So(code, ShouldEqual, 0)
			So(strings.Count(s, "\n"), ShouldEqual, 2)
			So(s, ShouldContainSubstring, "~ gen: 1 -> 2")
			So(s, ShouldContainSubstring, `~ routes s: `)
			code, s = order("config", "check", file)
			So(code, ShouldEqual, 0)
			So(s, ShouldContainSubstring, "version 2 can be served")
			code, s = order("explain", "svc", w.readyAddr(0))
			So(code, ShouldEqual, 0)
			So(s, ShouldContainSubstring, `"E501" "svc"="svc"`)
			code, _ = order("status")
			So(code, ShouldEqual, 2)
			code, _ = order("config", "check", w.dir+"/none")
			So(code, ShouldEqual, 1)
		})
		Convey("and most of its disks lost, what the last one held is restored, and the old one joins", func() {
			for i := range 3 {
				w.Kill(fmt.Sprint("core", i))
			}
			w.EraseDisk("core0")
			w.EraseDisk("core1")
			saved, old := filepath.Join(w.dir, "saved"), filepath.Join(w.dir, "core2")
			code, s := order("state", "check", old)
			So(code, ShouldEqual, 0)
			So(s, ShouldContainSubstring, "configuration 1")
			code, _ = order("state", "export", old, saved)
			So(code, ShouldEqual, 0)
			code, s = order("state", "import", saved, old, w.Cores[2], w.Cores[0], w.Cores[1], w.Cores[2])
			So(code, ShouldEqual, 1)
			So(s, ShouldContainSubstring, "not empty")
			for i := range 2 { // the third comes back as it was
				code, s = order(append([]string{"state", "import", saved, filepath.Join(w.dir, fmt.Sprint("core", i)), w.Cores[i]}, w.Cores[:2]...)...)
				So(s, ShouldContainSubstring, "begins as voter r")
				So(code, ShouldEqual, 0)
			}
			for i := range 3 {
				w.Start(fmt.Sprint("core", i), false)
			}
			w.Eventually("the restored core takes the next version", func() bool {
				code, _ := w.Call("POST", w.Cores[0], "/config/replace", "1", Config(2))
				return code == 200
			})
			w.Eventually("the old machine votes with it", func() bool {
				_, s := order("status", w.Cores[2])
				return strings.Contains(s, "configuration 2") && strings.Count(s, "voter") == 3 && strings.Contains(s, "voter 0@"+w.Cores[2])
			})
		})
	})
}

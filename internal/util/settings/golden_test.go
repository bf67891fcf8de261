package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
)

const minimal = "hostname=h\nip=10.0.0.1\nzone=z\nportRange=7440,7455\n"

const allKeys = `hostname=front-1
role=my-front
mclass=large
ip=10.1.0.8
zone=a1
region=r9
zones.a1=a
zones.b1=b
listen.front=10.1.0.8:8784
listen.readyAddr=10.1.0.8:8785
listen.ctl=10.1.0.8:8782
listen.feed=127.0.0.1:7500
portRange= 7440 , 7455
peers=10.1.0.10:8782, 10.2.0.8:8782,,
init=true
voting=true
datadir=/var/lib/weirwind
limits.memMb=512
limits.nofile=4096
limits.diskMb=2048
beatMs=1000.5
tolerate.nodes=2
bounds.contactMs=4999
bounds.ackMs=5999
bounds.drainMs=6999
bounds.graceS=5.5
bounds.applyMs=3999
bounds.recoverS=11
bounds.fencing=true
cloudApi.addr=10.9.0.1:80
`

// values formats the settings' values in the order of their fields, without the fields' names, so that renaming a field
// does not change the result.
func values(s *Settings) string {
	var b strings.Builder
	for i, v := 0, reflect.ValueOf(s).Elem(); i < v.NumField(); i++ {
		fmt.Fprintf(&b, " %v;", v.Field(i))
	}
	return b.String()
}

// The settings read from each text, or the error, are as recorded in testdata/settings.txt; GOLDEN=write rewrites it.
func TestReadMatchesRecordedResults(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct{ name, text string }{
		{"all keys", allKeys},
		{"defaults", minimal},
		{"region by zone", minimal + "zones.z=r\n"},
		{"empty", ""},
		{"no hostname", strings.Replace(minimal, "hostname=h\n", "", 1)},
		{"empty ip", strings.Replace(minimal, "10.0.0.1", "", 1)},
		{"no zone", strings.Replace(minimal, "zone=z\n", "", 1)},
		{"no ports", strings.Replace(minimal, "portRange=7440,7455\n", "", 1)},
		{"one port", strings.Replace(minimal, ",7455", "", 1)},
		{"two ports", strings.Replace(minimal, "7455", "7441", 1)},
		{"ports too high", strings.Replace(minimal, "7455", "65536", 1)},
		{"port 0", strings.Replace(minimal, "7440", "0", 1)},
		{"port not a number", strings.Replace(minimal, "7440", "x", 1)},
		{"flag", minimal + "voting=yes\n"},
		{"number", minimal + "limits.memMb=1.5\n"},
		{"negative number", minimal + "tolerate.nodes=-1\n"},
		{"milliseconds", minimal + "beatMs=fast\n"},
		{"not a number of seconds", minimal + "bounds.graceS=NaN\n"},
		{"too many seconds", minimal + "bounds.recoverS=2e9\n"},
		{"address without port", minimal + "listen.ctl=10.0.0.1\n"},
		{"address of a name", minimal + "listen.front=localhost:80\n"},
		{"address with port 0", minimal + "listen.readyAddr=10.0.0.1:0\n"},
		{"feed", minimal + "listen.feed=x\n"},
		{"platform", minimal + "cloudApi.addr=x:1\n"},
		{"second peer", minimal + "peers=10.0.0.2:1,x\n"},
		{"two errors, the first counts", minimal + "beatMs=x\ninit=maybe\n"},
		{"no properties", "hostname=\\u12\n"},
		{"repeated key, the last counts", minimal + "zone=y\n"},
	} {
		s, err := Read([]byte(c.text))
		fmt.Fprintf(&b, "%s:", c.name)
		if err != nil {
			fmt.Fprintf(&b, " error %v;", err)
		} else {
			b.WriteString(values(s))
		}
		b.WriteString("\n")
	}
	s := &Settings{PortRange: [2]int{7440, 7455}}
	fmt.Fprintln(&b, s.PortAddr("10.0.0.1", 2), s.MeshAddr("10.0.0.2:8782"), s.MeshAddr("no address"), EnvVariable)
	const file = "testdata/settings.txt"
	if os.Getenv("GOLDEN") == "write" {
		if err := os.WriteFile(file, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if want, err := os.ReadFile(file); err != nil || string(want) != b.String() {
		t.Errorf("%v; got\n%s\nwant\n%s", err, b.String(), want)
	}
}

package settings

import (
	"strings"
	"testing"
	"time"
)

const good = `hostname=front-1
role=my-front
ip=10.1.0.8
zone=a1
zones.a1=a
zones.b1=b
listen.front=10.1.0.8:8784
portRange=7440,7455
peers=10.1.0.10:8782,10.2.0.8:8782
init=true
beatMs=1200
bounds.graceS=6
bounds.fencing=true
something.new=${not.expanded}
`

func TestRead(t *testing.T) {
	s, err := Read([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if s.Region != "a" || len(s.Peers) != 2 || !s.Bootstrap || s.FeedAddr != "127.0.0.1:7441" ||
		s.HeartbeatInterval != 1200*time.Millisecond || s.GracePeriod != 6*time.Second ||
		s.PortAddr(s.IP, 0) != "10.1.0.8:7440" {
		t.Errorf("%+v", s)
	}
	for change, want := range map[string]string{
		"portRange=7440,7455/portRange=7440":                     "portRange (line 8)",
		"init=true/init=maybe":                                   "init (line 10)",
		"beatMs=1200/beatMs=-3":                                  "beatMs (line 11)",
		"ip=10.1.0.8\n/":                                         "ip (it is missing)",
		"peers=10.1.0.10:8782/peers=host:8782":                   "peers (line 9)",
		"listen.front=10.1.0.8:8784/listen.front=10.1.0.8:99999": "listen.front (line 7)",
	} {
		t.Run(want, func(t *testing.T) {
			old, replacement, _ := strings.Cut(change, "/")
			_, err := Read([]byte(strings.Replace(good, old, replacement, 1)))
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%s: %v, want %s", change, err, want)
			}
		})
	}
}

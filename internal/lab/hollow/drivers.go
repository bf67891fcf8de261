package hollow

// This file owns hollow drivers: agents without proxies.

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"weirwind/internal/controlplane/agent"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
)

// driverProcess runs agents without proxies.
type driverProcess struct {
	childPlan
	cancels []context.CancelFunc // by agent
	done    []chan struct{}      // by agent: closed when it has ended
}

// start starts the i-th agent of the process.
func (d *driverProcess) start(i int) {
	n := d.First + i
	ip := d.driverIP(n)
	config := &settings.Settings{
		Hostname:    fmt.Sprintf("front-region%d-%04d", n%len(d.Cores), n),
		IP:          ip,
		Zone:        fmt.Sprintf("zone-%d", n%10),
		PortRange:   [2]int{d.Port, d.Port + 2},
		Peers:       d.Cores[:min(3, len(d.Cores))],
		FeedAddr:    net.JoinHostPort(ip, strconv.Itoa(d.Port+1)),
		GracePeriod: 2 * time.Second,
	}
	ctx, end := context.WithCancel(context.Background())
	done := make(chan struct{})
	if i < len(d.cancels) {
		d.cancels[i], d.done[i] = end, done
	} else {
		d.cancels, d.done = append(d.cancels, end), append(d.done, done)
	}
	go func() {
		defer close(done)
		if err := agent.Run(ctx, config, events.Discard()); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
}

// command restarts the first n agents if the verb is verbRestart, and returns a sample.
func (d *driverProcess) command(verb string, n int) Sample {
	if verb == verbRestart {
		n = min(n, len(d.cancels))
		for i := range n {
			d.cancels[i]()
		}
		for i := range n {
			<-d.done[i]
			d.start(i)
		}
	}
	return Sample{
		Traffic: map[string]controlmsg.Traffic{
			"core":  controlmsg.ReadTraffic(&agent.CoreTraffic),
			"peers": controlmsg.ReadTraffic(&agent.PeerTraffic),
		},
	}
}

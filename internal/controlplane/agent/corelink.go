package agent

// This file owns the link to the core: which machine it goes to, and when another is looked for.
//
// One machine of the core is enough as long as it has contact with the majority. Where it says that it has none, or is silent, another
// is tried beside it, and the link moves once one with contact has answered; until then the old one is kept, as what it knows is better
// than nothing. All of this runs on the agent's queue of commands, but for the reading of links.

import (
	"hash/fnv"
	"math/rand/v2"
	"net"
	"time"

	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/events"
	"weirwind/internal/util/transport"
)

// Times of the link to the core, in milliseconds but for linkIdle.
const (
	linkIdle     = 3500 * time.Millisecond
	answerWait   = 2500.0 // two renewals and what an answer takes: a machine that left them unanswered may be frozen or cut off
	trialWait    = 1000.0 // for the first answer over a link that is tried
	firstPause   = 50.0   // before the next machine is tried
	mostPause    = 1000.0
	apartPause   = 3000.0   // the most where machines answer that none has contact: they tell their own agents when they have it again
	spreadMoves  = 300.0    // drivers that lose one machine's contact together look for another within this time, not at once
	steadyBehind = 5000.0   // a link that stood for so long ends the growth of pauses
	nearEvery    = 15_000.0 // an agent whose machine is far tries a near one about so often
)

// coreLink is a link to a machine of the core, in use or on trial.
type coreLink struct {
	l       *link // nil while it is dialled
	addr    string
	began   float64
	heardAt float64 // its newest frame
	apart   bool    // it said that it has no contact
}

// coreServes says whether the machine in use answers and has contact.
func (a *Agent) coreServes() bool {
	return a.core != nil && !a.core.apart && a.now()-a.core.heardAt <= answerWait
}

// planSeek has another machine looked for after so many milliseconds, drawn between half and one and a half of them.
func (a *Agent) planSeek(after float64) {
	if a.seekPlanned || a.trial != nil {
		return
	}
	a.seekPlanned = true
	drawn := after * (0.5 + rand.Float64())
	time.AfterFunc(time.Duration(drawn*float64(time.Millisecond)), func() { a.do(a.seek) })
}

// planNext plans a try behind one that failed.
func (a *Agent) planNext(most float64) {
	a.planSeek(a.pause)
	a.pause = min(a.pause*1.25, most)
}

// seek tries the next machine, unless that is needless or under way.
func (a *Agent) seek() {
	a.seekPlanned = false
	if a.trial != nil || a.coreServes() {
		return
	}
	addr, found := a.otherCore()
	if !found {
		a.planNext(apartPause)
		return
	}
	a.try(addr)
}

func (a *Agent) try(addr string) {
	a.tries++
	t := &coreLink{addr: addr}
	a.trial = t
	go a.hold(t, transport.DialTimeout(a.tries/3))
}

// hold dials a machine and reads the link until it ends.
func (a *Agent) hold(t *coreLink, dialTimeout time.Duration) {
	_ = transport.Dial(t.addr, dialTimeout, linkIdle, func(l *link) {
		l.SetCounters(&CoreTraffic)
		l.Send(controlmsg.NewHello("agent", a.self.Name, a.self.Addr))
		a.do(func() { a.linkUp(t, l) })
	}, func(_ *link, f *controlmsg.Frame) {
		a.do(func() { a.takeFromCore(t, f) })
	})
	a.do(func() { a.linkDown(t) })
}

// linkUp puts a new link to use where there is none, else on trial.
func (a *Agent) linkUp(t *coreLink, l *link) {
	t.l, t.began, t.heardAt = l, a.now(), a.now()
	if a.core == nil {
		a.use(t)
		return
	}
	l.Send(&controlmsg.Frame{LeaseRenewal: &controlmsg.LeaseRenewal{Driver: a.self, Digest: a.digest(), Tentative: true}})
	time.AfterFunc(time.Duration(trialWait*float64(time.Millisecond)), func() {
		a.do(func() {
			if a.trial == t {
				l.Close()
			}
		})
	})
}

// use makes a link the one in use, and ends the one before it.
func (a *Agent) use(t *coreLink) {
	a.nearAt = a.now() + nearEvery*(0.5+rand.Float64())
	before := a.core
	a.core, a.trial = t, nil
	a.log.Event(events.LinkUp, "core", t.addr)
	if before != nil {
		a.log.Event(events.CoreMoved, "from", before.addr, "to", t.addr, "apart", before.apart, "silentMs", int(a.now()-before.heardAt))
		before.l.Close()
	}
	a.renew()
}

// linkDown follows the end of a link or of a dial.
func (a *Agent) linkDown(t *coreLink) {
	switch t {
	case a.trial:
		a.trial = nil
		if t.apart {
			a.planNext(apartPause)
		} else {
			a.planNext(mostPause)
		}
	case a.core:
		a.log.Event(events.LinkDown, "core", t.addr)
		a.core = nil
		if a.now()-t.began > steadyBehind {
			a.pause, a.tries = firstPause, 0
		}
		if a.trial != nil && a.trial.l != nil {
			a.use(a.trial)
			return
		}
		a.planNext(mostPause)
	}
}

// takeFromCore takes what a machine of the core says. What comes late over a link that was left is not taken.
func (a *Agent) takeFromCore(t *coreLink, f *controlmsg.Frame) {
	if t != a.core && t != a.trial {
		return
	}
	t.heardAt = a.now()
	if f.Hello != nil {
		controlmsg.HandleHello(t.l, f.Hello)
		return
	}
	if f.Update != nil {
		if f.Update.QuorumContactAgeMs != nil {
			t.apart = *f.Update.QuorumContactAgeMs > consensus.ContactLease
		}
		a.update(f.Update)
	}
	if f.Digest != nil {
		a.compare(t.l, f.Digest)
	}
	a.judge(t)
}

// judge moves over to a machine on trial that has contact, and looks for another where the one in use has none.
func (a *Agent) judge(t *coreLink) {
	switch {
	case t == a.trial && (t.apart || a.coreServes() && (a.isNear(a.core.addr) || !a.isNear(t.addr))):
		t.l.Close()
	case t == a.trial:
		a.use(t)
	case t.apart:
		a.planSeek(spreadMoves)
	case a.now()-t.began > steadyBehind:
		a.pause, a.tries = firstPause, 0
	}
}

// otherCore gives the next core machine that is not the one in use.
func (a *Agent) otherCore() (addr string, found bool) {
	for range len(a.cores) + len(a.set.Peers) + 1 {
		addr = a.nextCore()
		if a.core == nil || addr != a.core.addr {
			return addr, true
		}
	}
	return "", false
}

// isNear says whether a machine is in the own /16: a region's machines, where addresses say so.
func (a *Agent) isNear(addr string) bool {
	host, _, _ := net.SplitHostPort(addr)
	return sameNet(host, a.set.IP)
}

// coresByDistance gives the addresses of the known core machines.
func (a *Agent) coresByDistance() (near, far []string) {
	for _, c := range a.cores {
		if a.isNear(c) {
			near = append(near, a.set.MeshAddr(c))
		} else {
			far = append(far, a.set.MeshAddr(c))
		}
	}
	return near, far
}

// tryNear tries to get back to a near machine, from time to time, where the one in use is far: all agents would otherwise stay where a
// trouble that is over has driven them.
func (a *Agent) tryNear() {
	near, _ := a.coresByDistance()
	if len(near) == 0 || a.trial != nil || a.isNear(a.core.addr) || a.now() < a.nearAt {
		return
	}
	a.nearAt = a.now() + nearEvery*(0.5+rand.Float64())
	a.try(near[rand.IntN(len(near))])
}

// nextCore goes through the known core machines, near ones first.
func (a *Agent) nextCore() string {
	near, far := a.coresByDistance()
	for _, p := range a.set.Peers { // what the file says is tried too, at the end
		far = append(far, a.set.MeshAddr(p))
	}
	h := fnv.New32a()
	h.Write([]byte(a.self.Name))
	turn := int(h.Sum32() % 97)
	all := near
	for i := range far {
		all = append(all, far[(i+turn)%len(far)])
	}
	if len(all) == 0 {
		return a.set.PortAddr(a.set.IP, 0)
	}
	a.nth++
	return all[(a.nth-1)%len(all)]
}

func sameNet(x, y string) bool {
	a, b := net.ParseIP(x).To4(), net.ParseIP(y).To4()
	return a != nil && b != nil && a[0] == b[0] && a[1] == b[1]
}

// renew prolongs the driver's lease.
func (a *Agent) renew() {
	if a.core != nil {
		a.core.l.Send(&controlmsg.Frame{LeaseRenewal: &controlmsg.LeaseRenewal{Driver: a.self, Digest: a.digest()}})
	}
}

// checkCore has another machine looked for where the one in use is silent. Meanwhile peers are asked for what is new, and for the
// addresses of the core: those known here may all be on the wrong side of a cut.
func (a *Agent) checkCore() {
	if a.coreServes() {
		a.tryNear()
		return
	}
	if a.core != nil {
		a.planSeek(spreadMoves)
	}
	d := a.digest()
	a.sendToPeers(&controlmsg.Frame{Digest: &d})
}

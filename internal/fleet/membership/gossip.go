package membership

// This file owns what a driver passes on: which word goes along with which message, and for how long it goes round.

import (
	"math"
	"slices"
)

// send queues a message with what a peer is to know: first of itself, then news.
func (f *Fleet) send(address string, m Message) {
	f.count++
	m.From, m.Counter, m.ViewHash = f.self, f.count, f.view
	if f.roster != nil {
		m.RosterVersion, m.RosterHash = f.roster.Version, f.roster.sum
	}
	left := mostBytes
	for i := range m.Records {
		left -= m.Records[i].size()
	}
	if d := f.decided; d != nil && f.decidedLeft > 0 && m.Vote == nil {
		f.decidedLeft--
		m.DecidedChange = d
		left -= d.size()
	}
	f.carry(&m, left)
	f.out.Messages = append(f.out.Messages, Envelope{address, m})
}

// carry puts news into a message, up to so many bytes: what was passed on least often first.
func (f *Fleet) carry(m *Message, left int) {
	i := 0
	for ; i < len(f.updates); i++ {
		r := f.updates[i]
		if r.dead {
			continue
		}
		n := r.record.size()
		if r.hears != nil {
			n = r.hears.size()
		}
		if n > left {
			break
		}
		if left -= n; r.hears != nil {
			m.Reachability = append(m.Reachability, *r.hears)
		} else {
			m.Records = append(m.Records, r.record)
		}
		r.sent++
	}
	if i == 0 {
		return
	}
	taken, rest, times := f.updates[:i], f.updates[i:], f.times()
	f.spare = f.spare[:0]
	for len(taken) > 0 || len(rest) > 0 { // both are in order
		switch {
		case len(taken) > 0 && (taken[0].dead || taken[0].sent >= times):
			f.untell(taken[0])
			taken = taken[1:]
		case len(rest) > 0 && rest[0].dead:
			rest = rest[1:]
		case len(rest) > 0 && (len(taken) == 0 || rest[0].sent <= taken[0].sent):
			f.spare = append(f.spare, rest[0])
			rest = rest[1:]
		default:
			f.spare = append(f.spare, taken[0])
			taken = taken[1:]
		}
	}
	f.updates, f.spare = f.spare, f.updates
}

// times is how often one driver passes an update on.
func (f *Fleet) times() int { return 3*int(math.Ceil(math.Log10(float64(len(f.list)+2)))) + 2 }

func (r *update) about() string {
	if r.hears != nil {
		return "hears " + r.hears.Name
	}
	return r.record.Name
}

// untell takes an update out of those that go round.
func (f *Fleet) untell(r *update) {
	r.dead = true
	key := r.about()
	if left := slices.DeleteFunc(f.going[key], func(o *update) bool { return o.dead }); len(left) > 0 {
		f.going[key] = left
	} else {
		delete(f.going, key)
	}
}

// tell makes an update go round, before all others.
func (f *Fleet) tell(r *update) {
	f.updates = slices.Insert(f.updates, 0, r)
	f.going[r.about()] = append(f.going[r.about()], r)
}

// queue makes a record news. Sayings of a driver replace each other, but for suspicions by several.
func (f *Fleet) queue(r Record) {
	f.news = f.now
	for _, o := range slices.Clone(f.going[r.Name]) {
		if r.State != Suspect || o.record.State != Suspect || o.record.Run != r.Run || o.record.Incarnation != r.Incarnation ||
			o.record.ReportedBy == r.ReportedBy {
			f.untell(o)
		}
	}
	f.tell(&update{record: r})
}

// gossip passes news on between probes.
func (f *Fleet) gossip() {
	if len(f.going) == 0 && f.decidedLeft == 0 {
		return
	}
	to := map[string]bool{}
	for range gossipTo {
		m := f.pick(func(m *member) bool { return !m.State.ended() && !to[m.Name] })
		if m == nil {
			return
		}
		to[m.Name] = true
		f.send(m.Address, Message{Kind: Gossip, Target: m.Name})
	}
}

// compare begins an exchange with a peer that sees the fleet otherwise though nothing was news for a while, or that
// holds a newer roster.
func (f *Fleet) compare(from *member, m Message) {
	if from == nil || from.Run != m.From.Run || from.State.ended() {
		return
	}
	newer := m.RosterVersion > 0 && (f.roster == nil || m.RosterVersion > f.roster.Version ||
		m.RosterVersion == f.roster.Version && m.RosterHash != f.roster.sum)
	if f.roster != nil && m.RosterVersion > f.roster.Version {
		if f.behind == 0 {
			f.behind = f.now
		}
	} else {
		f.behind = 0
	}
	// ... or where there is more news than updates carry: behind a heal, or as many start at once
	differs := m.ViewHash != f.view && (f.now-f.news > quietFor*f.rules.Period || len(f.going) > backlog)
	if !newer && !differs || f.now < f.exchangeAt || f.now < from.later {
		return
	}
	f.exchangeAt, from.later = f.now+f.rules.Period, f.now+exchangeGap*f.rules.Period
	f.out.SyncWith = append(f.out.SyncWith, from.Address)
}

// Snapshot is all that this driver knows.
func (f *Fleet) Snapshot() Snapshot {
	w := Snapshot{From: f.self, Roster: f.roster}
	for _, m := range f.list {
		if w.Records = append(w.Records, m.Record); len(m.hears.Unreachable) > 0 {
			w.Reachability = append(w.Reachability, m.hears)
		}
	}
	if len(f.hears.Unreachable) > 0 {
		w.Reachability = append(w.Reachability, f.hears)
	}
	return w
}

// Merge takes all that a peer knows: who lives and who does not, then the roster.
func (f *Fleet) Merge(now float64, w Snapshot) Output {
	f.advance(now)
	if w.From.sane() && !(w.From.Name == f.self.Name && w.From.Run == f.self.Run) {
		f.apply(w.From)
		for _, r := range w.Records {
			f.apply(r)
		}
		for i := range w.Reachability {
			f.heardOf(w.Reachability[i])
		}
		if w.Roster != nil {
			f.receiveRoster(*w.Roster)
		}
		f.judge()
	}
	return f.output()
}

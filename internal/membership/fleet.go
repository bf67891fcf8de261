package membership

// This file owns the detection of failures: probes, direct and by others, suspicion, denial, and what a driver that stood
// still blames on itself. It must never take a driver for failed that got through to anybody in time, as far as word of that
// came here.

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

// Rules are what a driver goes by.
type Rules struct {
	Period float64 // between two probes of a driver that is well
	Expect int     // drivers that there are to be, before they have agreed on a roster
	Keep   float64 // one that has ended and is on no roster is remembered for so long
	Most   int     // drivers that are known at most
	Yield  float64 // a larger part takes over the share of who is lost after so long (see Count)
	Keeps  bool    // votes and rosters outlive the process: Out.Save is safe before what goes with it is sent
	Kept   *Kept   // what an earlier run saved last; nil for none
}

// In periods, where nothing else is said.
const (
	directShare  = 0.4 // of the period: an answer by then, or others are asked
	nackShare    = 0.3 // who is asked says after so long that there is no answer
	helpers      = 3   // are asked
	suspectLeast = 3.0 // with as many that confirm it as count
	suspectMost  = 9.0 // with none
	confirmers   = 2   // count
	askBefore    = 2.5 // before a suspicion that few confirm is certain, whom it is about is asked straight
	checkers     = 4.0 // look at one that another suspects, about
	mostChecks   = 4
	healthMost   = 4    // how much of a driver's slowness it blames on itself
	stillAfter   = 1.5  // between two ticks: it stood still
	gossipEvery  = 0.2  // while there is news
	gossipTo     = 2    // fellows at a time
	lookEvery    = 0.2  // at what changes slowly
	quietFor     = 3.0  // views that differ though nothing was news for so long are exchanged
	backlog      = 64   // drivers that there is news of
	exchangeGap  = 3.0  // between exchanges begun by one driver
	deafLeast    = 5.0  // unheard for so long, and longer the more fellows there are, up to deafMost
	deafMost     = 60.0 //
	mostRelays   = 256
	heardLately  = 4.0 // it lives, whatever others say
	straight     = 4   // probes more, a period apart, to one that did not answer straight, before it counts as not heard
)

// member is what is known of a fellow.
type member struct {
	Record
	since  float64 // in its state
	count  uint64  // of its newest message that came straight from it
	fresh  float64 // when that came
	silent bool    // the last probe straight to it was not answered
	tries  int     // made since
	again  float64 // the next one
	deaf   bool    // it is not heard, though it is said to live
	hears  Hearing

	began float64         // of the suspicion
	scale float64         // by how unwell this driver was then
	by    map[string]bool // who confirmed it
	met   float64         // first known of, in this run
	on    bool            // the roster that holds
	later float64         // no exchange with it before

	accused float64 // no word to it of what is said of it before
}

// probe is the one that is out.
type probe struct {
	name          string
	seq           uint64
	began         float64
	direct, until float64
	asked         bool
	expect, nacks int
}

// relay is a probe made for a fellow.
type relay struct {
	to, about string
	seq       uint64
	until     float64
	nacked    bool
}

// rumour is word that still goes round.
type rumour struct {
	record Record
	hears  *Hearing
	sent   int
	dead   bool // another one has taken its place
}

// Fleet is one driver's view. It is not safe for use by several goroutines at a time.
type Fleet struct {
	r      Rules
	draw   *rand.Rand
	self   Record
	count  uint64
	seq    uint64
	list   []*member // by name
	byName map[string]*member
	seeds  []string
	check  []string // whom others suspect and this driver is to look at as well
	probe  *probe
	relays map[uint64]*relay
	rumors []*rumour // by how often they were sent
	spare  []*rumour
	going  map[string][]*rumour // those that are not dead, by whom they are about
	health int
	hears  Hearing

	now, ticked, probeAt, gossipAt, seedAt, exchangeAt, counselAt, reapAt, lookAt, judgeAt float64
	changed, news                                                                          float64 // the set of those that live; anything
	view                                                                                   uint64

	missed    int     // probes in a row that nobody answered
	doubt     float64 // it stood still: until then it can't know
	unproved  bool    // and until a fellow has answered
	contested float64 // its name is another's, as it was told last then
	holder    string  // whose address that is
	warned    map[string]float64

	council
	standing  Standing
	why       string
	stands    float64 // since when
	leaving   bool
	behind    float64 // since when a fellow holds a newer roster
	out       Out
	statesGen uint64
	judged    uint64    // statesGen when the standing was last looked at
	doubted   []*member // those that are suspected are among them
}

// New makes the view of a driver that starts. Its record names it, its run and its address; seeds are addresses of fellows.
func New(now float64, r Rules, self Record, seeds []string, seed uint64) *Fleet {
	f := &Fleet{r: r, draw: rand.New(rand.NewPCG(seed, 0x6d656d62)), self: self, byName: map[string]*member{}, relays: map[uint64]*relay{}, going: map[string][]*rumour{},
		now: now, ticked: now, changed: now, news: now, warned: map[string]float64{}, stands: now, standing: Unsure, why: "no_roster",
		view: mark(self.Name, self.Run), hears: Hearing{Name: self.Name, Run: self.Run}}
	f.restore(r.Kept)
	f.seq = f.draw.Uint64() >> 2 // answers to an earlier run are not taken for ones to this
	f.probeAt = now + f.r.Period*f.draw.Float64()
	f.Seeds(seeds)
	return f
}

// Seeds takes the addresses at which fellows may be found; they are tried at once.
func (f *Fleet) Seeds(all []string) {
	f.seeds = slices.DeleteFunc(slices.Clone(all), func(a string) bool { return a == f.self.Address })
	f.seedAt = f.now
}

// Pace takes another period.
func (f *Fleet) Pace(period float64) { f.r.Period = period }

func (f *Fleet) take() (out Out) {
	f.out.Save = f.save()
	out, f.out = f.out, Out{}
	return out
}

func (f *Fleet) note(reason, name, text string) {
	f.out.Notes = append(f.out.Notes, Note{reason, name, text})
}

// Tick lets time pass. It is to be called several times a period; a gap is time in which this driver stood still.
func (f *Fleet) Tick(now float64) Out {
	p := f.r.Period
	f.pass(now)
	f.ticked = now
	if f.leaving {
		f.gossip()
		return f.take()
	}
	f.followProbe()
	if now >= f.probeAt && f.probe == nil {
		f.probeAt = max(f.probeAt+p, now+p/2) + 0.25*p*float64(f.health)
		f.startProbe()
		f.reconnect()
	}
	for seq, r := range f.relays {
		if now >= r.until {
			delete(f.relays, seq)
		}
	}
	f.lookAtDoubted()
	if now >= f.lookAt {
		f.lookAt = now + lookEvery*p
		f.look()
	}
	if now >= f.reapAt {
		f.reapAt = now + 4*p
		f.reap()
	}
	if now >= f.gossipAt {
		f.gossipAt = now + gossipEvery*p
		f.gossip()
	}
	if now >= f.seedAt {
		f.trySeeds()
	}
	if f.contested > 0 && now-f.contested > 12*p {
		f.contested = 0
		f.queue(f.self)
	}
	if now >= f.counselAt {
		f.counselAt = now + lookEvery*p
		f.counsel()
	}
	f.judge()
	return f.take()
}

// lookAtDoubted ends suspicions that have lasted.
func (f *Fleet) lookAtDoubted() {
	for _, m := range slices.Clone(f.doubted) {
		if m.State != Suspect {
			continue
		}
		switch at := f.deadline(m); {
		case f.now >= at:
			r := m.Record
			r.State, r.By = Failed, f.self.Name
			f.apply(r)
		case len(m.by) <= confirmers && f.now >= at-askBefore*f.r.Period && f.now >= m.again: // its denial may not have come here
			m.again = f.now + f.r.Period/2
			f.send(m.Address, Message{Kind: Ping, To: m.Name, Records: []Record{m.Record}})
		}
	}
	f.doubted = slices.DeleteFunc(f.doubted, func(m *member) bool { return m.State != Suspect })
}

// look asks again who did not answer straight, and notes who is not heard. One lost datagram says nothing, and word that
// somebody is not heard goes to all.
func (f *Fleet) look() {
	for _, m := range f.list {
		switch {
		case m.State.ended() || m.deaf || !m.silent || f.now < m.again:
		case m.tries < straight:
			m.tries, m.again = m.tries+1, f.now+f.r.Period
			f.send(m.Address, Message{Kind: Ping, To: m.Name})
		case f.now-max(m.fresh, m.met) > f.deafAfter():
			f.hear(m, false)
		}
	}
}

// pass brings the time up to date, and sees a gap since the last tick, whatever comes first behind it.
func (f *Fleet) pass(now float64) {
	if gap := now - f.ticked; gap > stillAfter*f.r.Period {
		f.ticked = now
		f.stoodStill(now, gap)
	}
	f.now = max(f.now, now)
}

// stoodStill blames a gap on this driver itself: no probe was waited for, nobody had a chance to deny what is suspected,
// and what it holds for true may be old.
func (f *Fleet) stoodStill(now, gap float64) {
	f.note("stood_still", f.self.Name, "")
	f.probe, f.missed = nil, 0
	f.health = min(healthMost, f.health+1+int(gap/(4*f.r.Period)))
	for _, m := range f.list {
		if m.State == Suspect {
			m.began += gap
		}
		m.fresh += gap
		m.silent = false
	}
	f.relays = map[uint64]*relay{}
	f.doubt, f.unproved, f.judgeAt = now+2*f.r.Period, true, 0
	f.council.stood(now)
	if m := f.pick(func(m *member) bool { return !m.State.ended() }); m != nil {
		f.out.Exchanges = append(f.out.Exchanges, m.Address)
	}
	f.probeAt = now
}

// deafAfter is for how long a fellow may not be heard straight before that is told.
func (f *Fleet) deafAfter() float64 {
	return f.r.Period * (1 + float64(f.health)/2) * min(max(deafLeast, float64(2*len(f.list))), deafMost)
}

// deadline is when a suspicion becomes certain: the more confirm it the sooner, the less well this driver was the later.
func (f *Fleet) deadline(m *member) float64 {
	least, most := suspectLeast*f.r.Period, suspectMost*f.r.Period
	could := 0 // confirm it
	for _, o := range f.list {
		if o.State == Alive && o != m {
			if could++; could == confirmers {
				break
			}
		}
	}
	length := least
	if could > 0 {
		length = max(least, most-(most-least)*math.Log(float64(len(m.by)))/math.Log(float64(could+1)))
	}
	return m.began + length*m.scale
}

// pick draws a fellow that fits, nil where there is none.
func (f *Fleet) pick(fits func(*member) bool) *member {
	if len(f.list) == 0 {
		return nil
	}
	for range 8 {
		if m := f.list[f.draw.IntN(len(f.list))]; fits(m) {
			return m
		}
	}
	var found *member
	n := 0
	for _, m := range f.list {
		if fits(m) {
			if n++; f.draw.IntN(n) == 0 {
				found = m
			}
		}
	}
	return found
}

// startProbe asks a fellow whether it lives: one that others suspect, if it is to be looked at, or the one whose turn it is.
// Turns go by the clock that all drivers share, about, so that in each period each driver is asked by one other.
func (f *Fleet) startProbe() {
	var m *member
	for len(f.check) > 0 && m == nil {
		if m = f.byName[f.check[0]]; m == nil || m.State != Suspect {
			m = nil
		}
		f.check = f.check[1:]
	}
	if m == nil {
		m = f.turnOf(uint64(f.now / f.r.Period))
	}
	if m == nil {
		return
	}
	f.seq++
	slow := 1 + float64(f.health)/2
	f.probe = &probe{name: m.Name, seq: f.seq, began: f.now, direct: f.now + directShare*f.r.Period*slow, until: f.now + 0.95*f.r.Period*slow}
	f.send(m.Address, Message{Kind: Ping, Seq: f.seq, To: m.Name})
}

// turnOf is whom this driver asks in a period; nil where there is nobody.
func (f *Fleet) turnOf(period uint64) *member {
	n, own := 0, 0 // of the fellows; of those before this driver
	for _, m := range f.list {
		if !m.State.ended() {
			if n++; m.Name < f.self.Name {
				own++
			}
		}
	}
	if n == 0 {
		return nil
	}
	at := (own + int(period%uint64(n))) % n // the fellows, without this driver, from the next one on
	for _, m := range f.list {
		if !m.State.ended() {
			if at == 0 {
				return m
			}
			at--
		}
	}
	return nil
}

// followProbe asks others where no answer came, and suspects who did not answer them either.
func (f *Fleet) followProbe() {
	p := f.probe
	if p == nil {
		return
	}
	m := f.byName[p.name]
	if m == nil || m.State.ended() {
		f.probe = nil
		return
	}
	if !p.asked && f.now >= p.direct {
		if p.asked = true; !m.silent {
			m.silent, m.tries, m.again = true, 0, f.now+f.r.Period
		}
		asked := map[string]bool{p.name: true}
		for range helpers {
			h := f.pick(func(h *member) bool { return h.State == Alive && !asked[h.Name] })
			if h == nil {
				break
			}
			asked[h.Name] = true
			p.expect++
			f.send(h.Address, Message{Kind: Ask, Seq: p.seq, To: m.Name, At: m.Address})
		}
	}
	if f.now < p.until {
		return
	}
	f.probe = nil
	if m.fresh >= p.began { // it lives, whatever became of the answer
		return
	}
	f.missed++
	if short := p.expect - p.nacks; short > 0 || p.expect == 0 && f.alive() > 1 {
		f.health = min(healthMost, f.health+1)
	}
	r := m.Record
	r.State, r.By = Suspect, f.self.Name
	f.apply(r)
}

// answered notes a sign of life that this driver asked for.
func (f *Fleet) answered() {
	if f.unproved || f.missed > 0 {
		f.judgeAt = 0
	}
	f.missed, f.health, f.unproved = 0, max(0, f.health-1), false
}

// reconnect tries some of those that have failed: they may be behind a cut that has healed. All drivers together try each
// about twice a period.
func (f *Fleet) reconnect() {
	failed, living := 0, 1
	for _, m := range f.list {
		if m.State == Failed {
			failed++
		} else if m.State == Alive {
			living++
		}
	}
	if failed == 0 || f.draw.Float64() > 2*float64(failed)/float64(living) {
		return
	}
	if m := f.pick(func(m *member) bool { return m.State == Failed }); m != nil {
		f.send(m.Address, Message{Kind: Ping, To: m.Name, Records: []Record{m.Record}})
	}
}

// trySeeds exchanges whole states with a seed that is no fellow yet.
func (f *Fleet) trySeeds() {
	known, living := map[string]bool{}, 0
	for _, m := range f.list {
		if !m.State.ended() {
			known[m.Address] = true
			living++
		}
	}
	var unknown []string
	for _, s := range f.seeds {
		if !known[s] {
			unknown = append(unknown, s)
		}
	}
	pause := 2.0
	if living > 0 {
		pause = 10
	}
	f.seedAt = f.now + f.r.Period*pause*(0.75+0.5*f.draw.Float64())
	if len(unknown) > 0 {
		f.out.Exchanges = append(f.out.Exchanges, unknown[f.draw.IntN(len(unknown))])
	}
}

// send queues a message with what a fellow is to know: first of itself, then news.
func (f *Fleet) send(address string, m Message) {
	f.count++
	m.From, m.Count, m.View = f.self, f.count, f.view
	if f.roster != nil {
		m.Roster, m.Sum = f.roster.Version, f.roster.sum
	}
	left := mostBytes
	for i := range m.Records {
		left -= m.Records[i].size()
	}
	if d := f.decided; d != nil && f.decidedLeft > 0 && m.Vote == nil {
		f.decidedLeft--
		m.Decided = d
		left -= d.size()
	}
	f.carry(&m, left)
	f.out.Sends = append(f.out.Sends, Send{address, m})
}

// carry puts news into a message, up to so many bytes: what was passed on least often first.
func (f *Fleet) carry(m *Message, left int) {
	i := 0
	for ; i < len(f.rumors); i++ {
		r := f.rumors[i]
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
			m.Hears = append(m.Hears, *r.hears)
		} else {
			m.Records = append(m.Records, r.record)
		}
		r.sent++
	}
	if i == 0 {
		return
	}
	taken, rest, times := f.rumors[:i], f.rumors[i:], f.times()
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
	f.rumors, f.spare = f.spare, f.rumors
}

// times is how often one driver passes a rumour on.
func (f *Fleet) times() int { return 3*int(math.Ceil(math.Log10(float64(len(f.list)+2)))) + 2 }

func (r *rumour) about() string {
	if r.hears != nil {
		return "hears " + r.hears.Name
	}
	return r.record.Name
}

// untell takes a rumour out of those that go round.
func (f *Fleet) untell(r *rumour) {
	r.dead = true
	key := r.about()
	if left := slices.DeleteFunc(f.going[key], func(o *rumour) bool { return o.dead }); len(left) > 0 {
		f.going[key] = left
	} else {
		delete(f.going, key)
	}
}

// tell makes a rumour go round, before all others.
func (f *Fleet) tell(r *rumour) {
	f.rumors = slices.Insert(f.rumors, 0, r)
	f.going[r.about()] = append(f.going[r.about()], r)
}

// queue makes a record news. Sayings of a driver replace each other, but for suspicions by several.
func (f *Fleet) queue(r Record) {
	f.news = f.now
	for _, o := range slices.Clone(f.going[r.Name]) {
		if r.State != Suspect || o.record.State != Suspect || o.record.Run != r.Run || o.record.Inc != r.Inc || o.record.By == r.By {
			f.untell(o)
		}
	}
	f.tell(&rumour{record: r})
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
		f.send(m.Address, Message{Kind: Gossip, To: m.Name})
	}
}

// Got takes a message. What a stranger under a fellow's name or address says of itself counts for nothing.
func (f *Fleet) Got(now float64, m Message) Out {
	f.pass(now)
	if !m.From.sane() || len(m.Records) > mostRecords || len(m.Hears) > mostRecords || m.From.Name == f.self.Name && m.From.Run == f.self.Run {
		return f.take()
	}
	f.apply(m.From)
	from := f.byName[m.From.Name]
	if from != nil && from.Run == m.From.Run && m.Count > from.count {
		from.count, from.fresh = m.Count, f.now
		f.hear(from, true)
	}
	known := from != nil && from.Run == m.From.Run
	for _, r := range m.Records {
		f.apply(r)
	}
	for i := range m.Hears {
		f.heardOf(m.Hears[i])
	}
	if f.leaving {
		return f.take()
	}
	var back []Record // of the sender, where it should know better
	if from != nil && (from.State != Alive || from.Run != m.From.Run) {
		back = []Record{from.Record}
	}
	switch m.Kind {
	case Ping:
		if m.To == f.self.Name {
			f.send(m.From.Address, Message{Kind: Ack, Seq: m.Seq, To: f.self.Name, Records: back})
			back = nil
		}
	case Ask:
		if known && len(f.relays) < mostRelays && m.To != f.self.Name && len(m.At) <= mostName {
			f.seq++
			f.relays[f.seq] = &relay{to: m.From.Address, about: m.To, seq: m.Seq, until: f.now + 2*f.r.Period}
			f.send(m.At, Message{Kind: Ping, Seq: f.seq, To: m.To})
			if t := f.byName[m.To]; t == nil || t.fresh < f.now-nackShare*f.r.Period {
				f.send(m.From.Address, Message{Kind: Nack, Seq: m.Seq, To: m.To})
			}
		}
	case Ack:
		if r := f.relays[m.Seq]; r != nil && r.about == m.To {
			delete(f.relays, m.Seq)
			f.send(r.to, Message{Kind: Ack, Seq: r.seq, To: r.about, Records: []Record{m.From}})
		}
		if p := f.probe; p != nil && p.seq == m.Seq && p.name == m.To {
			f.probe = nil
			f.answered()
			if t := f.byName[p.name]; t != nil && m.From.Name == p.name {
				t.silent = false
			}
		}
	case Nack:
		if p := f.probe; p != nil && p.seq == m.Seq {
			p.nacks++
		}
	}
	if back != nil && m.Kind != Ack { // an answer to an answer could go on for ever
		f.send(m.From.Address, Message{Kind: Gossip, To: m.From.Name, Records: back})
	}
	if m.Vote != nil {
		f.voted(m.From.Name, m.From.Address, *m.Vote)
	}
	if m.Decided != nil {
		f.learn(*m.Decided)
	}
	f.compare(from, m)
	f.judge()
	return f.take()
}

// compare begins an exchange with a fellow that sees the fleet otherwise though nothing was news for a while, or that holds
// a newer roster.
func (f *Fleet) compare(from *member, m Message) {
	if from == nil || from.Run != m.From.Run || from.State.ended() {
		return
	}
	newer := m.Roster > 0 && (f.roster == nil || m.Roster > f.roster.Version || m.Roster == f.roster.Version && m.Sum != f.roster.sum)
	if f.roster != nil && m.Roster > f.roster.Version {
		if f.behind == 0 {
			f.behind = f.now
		}
	} else {
		f.behind = 0
	}
	// ... or where there is more news than rumours carry: behind a heal, or as many start at once
	differs := m.View != f.view && (f.now-f.news > quietFor*f.r.Period || len(f.going) > backlog)
	if !newer && !differs || f.now < f.exchangeAt || f.now < from.later {
		return
	}
	f.exchangeAt, from.later = f.now+f.r.Period, f.now+exchangeGap*f.r.Period
	f.out.Exchanges = append(f.out.Exchanges, from.Address)
}

// Exchange is all that this driver knows.
func (f *Fleet) Exchange() Exchange {
	w := Exchange{From: f.self, Roster: f.roster}
	for _, m := range f.list {
		if w.Records = append(w.Records, m.Record); len(m.hears.Deaf) > 0 {
			w.Hears = append(w.Hears, m.hears)
		}
	}
	if len(f.hears.Deaf) > 0 {
		w.Hears = append(w.Hears, f.hears)
	}
	return w
}

// Merge takes all that a fellow knows: who lives and who does not, then the roster.
func (f *Fleet) Merge(now float64, w Exchange) Out {
	f.pass(now)
	if w.From.sane() && !(w.From.Name == f.self.Name && w.From.Run == f.self.Run) {
		f.apply(w.From)
		for _, r := range w.Records {
			f.apply(r)
		}
		for i := range w.Hears {
			f.heardOf(w.Hears[i])
		}
		if w.Roster != nil {
			f.adopt(*w.Roster)
		}
		f.judge()
	}
	return f.take()
}

// apply takes a saying of a driver.
func (f *Fleet) apply(r Record) {
	if !r.sane() {
		return
	}
	if r.Name == f.self.Name {
		f.ofSelf(r)
		return
	}
	m := f.byName[r.Name]
	if m == nil {
		if r.State.ended() && !f.listed(r.Name) {
			return // nothing is lost by not knowing it
		}
		if len(f.list) >= f.r.Most {
			if f.now-f.warned[""] > 60*f.r.Period {
				f.warned[""] = f.now
				f.note("fleet_full", r.Name, "")
			}
			return
		}
		m = &member{Record: Record{Name: r.Name, State: Left}, met: f.now, since: f.now, on: f.listed(r.Name)}
		i, _ := slices.BinarySearchFunc(f.list, r.Name, func(m *member, name string) int { return strings.Compare(m.Name, name) })
		f.list = slices.Insert(f.list, i, m)
		f.byName[r.Name] = m
		f.enter(m, r)
		return
	}
	switch {
	case r.State == Failed && m.State == Alive && m.Run == r.Run && m.Inc <= r.Inc && f.now-m.fresh < heardLately*f.r.Period:
		// Heard here a moment ago: word of the other side of a cut that healed. It is told, and denies it; if it
		// has failed since, this driver finds out, or hears of it once more.
		if f.now >= m.accused {
			m.accused = f.now + f.r.Period
			f.send(m.Address, Message{Kind: Gossip, To: m.Name, Records: []Record{r}})
		}
	case m.Run == r.Run && m.Inc == r.Inc && m.State == Suspect && r.State == Suspect:
		if !m.by[r.By] && len(m.by) <= confirmers {
			m.by[r.By] = true
			f.queue(r)
		}
	case r.supersedes(&m.Record):
		f.enter(m, r)
	case r.contests(&m.Record) && f.now-f.warned[r.Name] > 60*f.r.Period && len(f.warned) < 256:
		f.warned[r.Name] = f.now
		f.note("name_twice", r.Name, "at "+m.Address+" and at "+r.Address)
	}
}

// enter makes a saying the one that holds.
func (f *Fleet) enter(m *member, r Record) {
	before, run := m.State, m.Run
	if !before.ended() {
		f.view ^= mark(m.Name, m.Run)
	}
	if !r.State.ended() {
		f.view ^= mark(r.Name, r.Run)
	}
	if r.Run != run {
		m.count, m.fresh, m.silent, m.deaf, m.hears = 0, 0, false, false, Hearing{}
	}
	if before != r.State || r.Run != run {
		m.since = f.now
		f.statesGen++
	}
	m.Record = r
	if r.State == Suspect {
		if before != Suspect {
			f.doubted = append(f.doubted, m)
		}
		m.began, m.scale, m.by = f.now, 1+float64(f.health)/2, map[string]bool{r.By: true}
		if r.By != f.self.Name && len(f.check) < mostChecks && f.draw.Float64()*float64(f.alive()) < checkers {
			f.check = append(f.check, r.Name)
		}
	} else {
		m.by = nil
	}
	if before.ended() != r.State.ended() || r.Run != run {
		f.changed = f.now
		switch {
		case !r.State.ended() && r.Run != run:
			f.note("fellow_came", r.Name, r.Address)
		case !r.State.ended():
			m.met, m.silent = f.now, false
			f.note("fellow_back", r.Name, r.Address)
		case r.State == Left:
			f.note("fellow_left", r.Name, "")
		default:
			f.note("fellow_failed", r.Name, "told by "+r.By)
		}
	}
	if r.State.ended() && m.deaf {
		m.deaf = false
		f.tellHearing()
	}
	f.queue(r)
}

// ofSelf takes what others say of this driver, or of another process with its name.
func (f *Fleet) ofSelf(r Record) {
	switch {
	case r.Run == f.self.Run && r.State == Left && !f.leaving: // operators took it for gone: it comes as a new one
		f.rename(r.Run + 1)
		f.note("forgotten", f.self.Name, "")
	case r.Run == f.self.Run:
		if (r.State == Suspect || r.State == Failed) && r.Inc >= f.self.Inc && !f.leaving {
			f.self.Inc = r.Inc + 1
			f.health = min(healthMost, f.health+1)
			if r.State == Failed {
				f.note("denied", f.self.Name, "said to have failed, by "+r.By)
			}
			f.queue(f.self)
		}
	case r.Address == f.self.Address || r.State.ended(): // an earlier run of its own, or one that has ended elsewhere
		if r.Run > f.self.Run {
			f.rename(r.Run + 1)
		}
		if r.Address == f.holder {
			f.contested, f.holder, f.judgeAt = 0, "", 0
			f.queue(f.self)
		}
	case r.Run < f.self.Run: // it was there first
		if f.contested == 0 && f.holder != r.Address {
			f.note("name_taken", f.self.Name, "by the driver at "+r.Address)
		}
		f.contested, f.holder, f.judgeAt = f.now, r.Address, 0
	}
}

// rename takes a higher run: what is said of the earlier ones is not about this process.
func (f *Fleet) rename(run uint64) {
	f.view ^= mark(f.self.Name, f.self.Run) ^ mark(f.self.Name, run)
	f.self.Run, f.self.Inc = run, 0
	f.hears.Run = run
	f.queue(f.self)
}

// hear notes whether a fellow is heard straight.
func (f *Fleet) hear(m *member, heard bool) {
	if heard {
		m.silent = false
	}
	if m.deaf == !heard {
		return
	}
	m.deaf = !heard
	f.statesGen++
	if f.tellHearing(); heard {
		f.note("fellow_heard", m.Name, "")
	} else {
		f.note("fellow_unheard", m.Name, "others hear it")
	}
}

func (f *Fleet) tellHearing() {
	h := Hearing{Name: f.self.Name, Run: f.self.Run, Turn: f.hears.Turn + 1}
	for _, m := range f.list {
		if m.deaf && len(h.Deaf) < mostDeaf {
			h.Deaf = append(h.Deaf, m.Name)
		}
	}
	f.hears = h
	f.queueHearing(h)
}

func (f *Fleet) queueHearing(h Hearing) {
	r := &rumour{hears: &h}
	for _, o := range slices.Clone(f.going[r.about()]) {
		f.untell(o)
	}
	f.tell(r)
}

// heardOf takes whom a fellow does not hear.
func (f *Fleet) heardOf(h Hearing) {
	m := f.byName[h.Name]
	if m == nil || m.Run != h.Run || h.Turn <= m.hears.Turn || len(h.Deaf) > mostDeaf {
		return
	}
	m.hears = h
	f.statesGen++
	f.queueHearing(h)
}

// reap forgets those that have ended, are on no roster and were remembered for long enough.
func (f *Fleet) reap() {
	gone := func(m *member) bool { return m.State.ended() && f.now-m.since > f.r.Keep && !m.on }
	if !slices.ContainsFunc(f.list, gone) {
		return
	}
	f.list = slices.DeleteFunc(f.list, func(m *member) bool {
		if gone(m) {
			delete(f.byName, m.Name)
			return true
		}
		return false
	})
}

// alive counts the drivers that live, this one included.
func (f *Fleet) alive() int {
	n := 1
	for _, m := range f.list {
		if m.State == Alive {
			n++
		}
	}
	return n
}

// Leave tells fellows that this driver goes on purpose. Ticks from then on only spread that.
func (f *Fleet) Leave(now float64) Out {
	f.now = max(f.now, now)
	if !f.leaving {
		f.leaving, f.judgeAt = true, 0
		f.self.State = Left
		f.queue(f.self)
		told := map[string]bool{}
		for range 2 * helpers {
			if m := f.pick(func(m *member) bool { return !m.State.ended() && !told[m.Name] }); m != nil {
				told[m.Name] = true
				f.send(m.Address, Message{Kind: Gossip, To: m.Name})
			}
		}
		f.note("leaving", f.self.Name, "")
		f.judge()
	}
	return f.take()
}

package queue

// This file owns the site: its sessions at home, its copies of others', and what follows from each word, change of the map and
// lapse of time.

import (
	"cmp"
	"crypto/subtle"
	"maps"
	"slices"

	"weirwind/internal/session/sites"
)

// Limits bound what a site holds.
type Limits struct {
	Sessions int     // at home
	Bytes    int64   // of a session's queues
	Msgs     int     // in a session's queue
	Age      float64 // milliseconds after which a message that nobody fetched is given up, and its session told
	All      int64   // bytes of all queues, copies included
	Message  int     // bytes of one
	Window   int     // messages on the way to a client

	WindowBytes int64 // and their bytes, beyond the first

	Copies int // beside home
	Keys   int // producer's keys kept of a session
}

// DefaultLimits are a site's where nothing else is said.
var DefaultLimits = Limits{Sessions: 20000, Bytes: 1 << 20, Msgs: 1000, Age: 15 * 60 * 1000, All: 128 << 20, Message: 64 << 10, Window: 64, WindowBytes: 256 << 10, Copies: 1, Keys: 256}

const (
	again    = 200.0 // milliseconds after which what was not answered is said again
	mostKey  = 128   // bytes
	overhead = 64    // bytes that a message takes beside its body
	idleKeep = 10 * 60 * 1000.0
)

// Reply is what a producer or consumer is answered: 202 queued on home and copies, 200 the same message before, 404 no such
// session here, 400 the key or 413 the message is too long, 429 its queue is full, 507 this site is full, 503 not now (no lease, handing over, no neighbour).
type Reply func(status int, n uint64)

type waiter struct {
	log   uint64
	n     uint64
	reply Reply
	until float64
}

type session struct {
	State
	id      string
	bytes   int64
	have    map[string]uint64 // of the log, by each copy
	told    map[string]uint64 // what each was sent
	sentAt  map[string]float64
	copyOf  map[string]uint64 // epoch of each copy's site as it was told
	ops     []Op              // those that some copy may lack, the last one is Log
	waiting []waiter

	edge     string
	sock     uint64
	sent     uint64 // messages on the way to the edge
	handTo   string // it is being handed to; nothing changes meanwhile
	handAt   float64
	idleAt   float64 // no socket since
	attached bool
}

// Site is one process.
type Site struct {
	Name  string
	Epoch uint64 // by the map; 0: not in it yet
	Lim   Limits

	m        *sites.Map
	leaseTil float64
	home     map[string]*session
	copies   map[string]*session
	bytes    int64
	out      []Send
	budget   float64 // of a drain
	budgetAt float64
	deferAt  float64
	Given    int // messages that were given up for their age
}

// New is a site with no session.
func New(name string, lim Limits) *Site {
	return &Site{Name: name, Lim: lim, home: map[string]*session{}, copies: map[string]*session{}}
}

// Sends gives what is to be said, and forgets it.
func (s *Site) Sends() []Send {
	out := s.out
	s.out = nil
	return out
}

func (s *Site) say(to string, w Word) {
	w.Site = s.Epoch
	s.out = append(s.out, Send{to, w})
}

// Lease holds until then: only while it holds is anything delivered, taken or answered for.
func (s *Site) Lease(until float64) { s.leaseTil = max(s.leaseTil, until) }

func (s *Site) holds(now float64) bool { return s.Epoch > 0 && now < s.leaseTil }

// Homes, Copies and Bytes are what it holds.
func (s *Site) Homes() int   { return len(s.home) }
func (s *Site) Copied() int  { return len(s.copies) }
func (s *Site) Bytes() int64 { return s.bytes }

// HomeOf says where a session is that this site has a copy of.
func (s *Site) HomeOf(id string) (string, bool) {
	if x := s.copies[id]; x != nil {
		return x.Home, true
	}
	return "", false
}

// Show says what is here of a session, for operators; nil for nothing.
func (s *Site) Show(id string) map[string]any {
	x := s.home[id]
	if x == nil {
		return nil
	}
	return map[string]any{"home": x.Home, "copies": x.Copies, "epoch": x.Epoch, "queued": len(x.Out), "last": x.OutLast, "fromClient": len(x.In),
		"bytes": x.bytes, "attached": x.attached, "edge": x.edge, "handedTo": x.handTo, "connections": x.Seq}
}

// Map that it knows.
func (s *Site) Map() *sites.Map { return s.m }

// Learn takes a newer map. A life of this site that is over has no session any more; those of others that are out become this
// site's where it is the first of their copies that lives.
func (s *Site) Learn(m *sites.Map, life uint64, now float64) {
	if m == nil || s.m != nil && m.Version <= s.m.Version {
		return
	}
	s.m = m
	self, ok := m.Sites[s.Name]
	if !ok || self.Life != life || self.State == sites.Out {
		if s.Epoch > 0 {
			s.void()
		}
		return
	}
	if s.Epoch != self.Epoch {
		s.void()
		s.Epoch = self.Epoch
	}
	s.inheritAll(now)
	for _, id := range slices.Sorted(maps.Keys(s.home)) {
		s.mend(s.home[id], now)
	}
}

// void lets go of everything: others have it, or will.
func (s *Site) void() {
	for _, x := range s.home {
		s.fail(x, 503)
	}
	s.home, s.copies, s.bytes, s.Epoch, s.leaseTil = map[string]*session{}, map[string]*session{}, 0, 0, 0
}

func (s *Site) fail(x *session, status int) {
	for _, w := range x.waiting {
		w.reply(status, 0)
	}
	x.waiting = nil
}

// letGo forgets a session, as home or as copy; who still waits for it is answered.
func (s *Site) letGo(from map[string]*session, x *session, status int) {
	s.fail(x, status)
	s.bytes -= x.bytes
	delete(from, x.id)
}

func (s *Site) inheritAll(now float64) {
	for _, id := range slices.Sorted(maps.Keys(s.copies)) {
		s.inherit(s.copies[id], now)
	}
}

// inherit makes a copy the home where the home's life is over and all copies before this one's are too.
func (s *Site) inherit(x *session, now float64) {
	if s.m.Lives(x.Home, x.HomeOf) {
		return
	}
	for _, c := range x.Copies {
		if c == s.Name {
			s.takeOver(x, now)
			return
		}
		if s.m.Up(c) {
			s.say(c, Word{Kind: Defer, Session: x.id, Epoch: x.Epoch})
			return
		}
	}
}

func (s *Site) takeOver(x *session, now float64) {
	delete(s.copies, x.id)
	x.Epoch++
	x.Home, x.HomeOf = s.Name, s.Epoch
	x.Copies = slices.DeleteFunc(x.Copies, func(c string) bool { return c == s.Name })
	x.fresh()
	x.handTo, x.edge, x.sock, x.sent, x.attached, x.idleAt = "", "", 0, 0, false, now
	for i := range x.Out {
		x.Out[i].At = now // by this home's clock
	}
	s.home[x.id] = x
	s.mend(x, now)
}

// fresh forgets what copies have.
func (x *session) fresh() {
	x.have, x.told, x.sentAt, x.copyOf, x.ops = map[string]uint64{}, map[string]uint64{}, map[string]float64{}, map[string]uint64{}, nil
}

// mend gives a session other copies where one's life is over, or there are too few.
func (s *Site) mend(x *session, now float64) {
	x.Copies = slices.DeleteFunc(x.Copies, func(c string) bool {
		gone := !s.m.Up(c)
		if of, told := x.copyOf[c]; gone || told && of != s.m.Sites[c].Epoch { // another life of it has nothing
			delete(x.have, c)
			delete(x.sentAt, c)
			delete(x.copyOf, c)
			if x.handTo == c { // whether it was home for a moment or not, that life is over
				x.handTo = ""
				x.Epoch += 2
				s.resnap(x)
				if x.attached { // what it said meanwhile was not taken
					s.say(x.edge, Word{Kind: Elsewhere, Session: x.id, Sock: x.sock, Home: s.Name, Copies: x.Copies, Epoch: x.Epoch})
				}
			}
		}
		return gone
	})
	in := slices.DeleteFunc(slices.Clone(x.Copies), func(c string) bool { return s.m.Sites[c].State != sites.In })
	if len(in) < s.Lim.Copies {
		for _, c := range s.m.Neighbours(s.Name, x.id, s.Lim.Copies-len(in), func(c string) bool { return slices.Contains(x.Copies, c) }) {
			x.Copies = append(x.Copies, c)
			s.resnap(x)
		}
	}
	s.copyOut(x, now)
	s.settle(x, now)
}

// resnap has the whole session told to its copies, as what they know of it is no longer so.
func (s *Site) resnap(x *session) {
	clear(x.sentAt)
	clear(x.have)
}

func size(m *Msg) int64 { return int64(len(m.Body) + len(m.Key) + overhead) }

// apply carries an op out, at home and at copies alike.
func (x *session) apply(o *Op, keys int) (delta int64) {
	x.Log++
	switch o.Kind {
	case OpPut:
		x.OutLast = o.Msg.N
		x.Out = append(x.Out, *o.Msg)
		delta = size(o.Msg)
		if o.Msg.Key != "" {
			if x.Keys = append(x.Keys, Msg{N: o.Msg.N, Key: o.Msg.Key}); len(x.Keys) > keys {
				x.Keys = slices.Delete(x.Keys, 0, 1)
			}
		}
	case OpGot:
		for len(x.Out) > 0 && x.Out[0].N <= o.N {
			delta -= size(&x.Out[0])
			x.Out = x.Out[1:]
		}
	case OpCome:
		x.InLast = o.Msg.N
		x.In = append(x.In, *o.Msg)
		delta = size(o.Msg)
	case OpTook:
		for len(x.In) > 0 && x.In[0].N <= o.N {
			delta -= size(&x.In[0])
			x.In = x.In[1:]
		}
	case OpAttach:
		x.Seq = o.N
	}
	x.bytes += delta
	return delta
}

// do carries an op out at home and tells the copies.
func (s *Site) do(x *session, o Op, now float64) {
	s.bytes += x.apply(&o, s.Lim.Keys)
	x.ops = append(x.ops, o)
	s.copyOut(x, now)
}

// copyOut tells each copy what it was not told yet, and again what it has not answered for a while.
func (s *Site) copyOut(x *session, now float64) {
	first := x.Log - uint64(len(x.ops)) // ops[0] is first+1
	for _, c := range x.Copies {
		have, known := x.have[c]
		late := now-x.sentAt[c] >= again
		from := x.told[c]
		if late {
			from = have
		}
		switch {
		case !known || from < first:
			if _, sent := x.sentAt[c]; sent && !late {
				continue
			}
			st := x.State
			x.sentAt[c], x.told[c], x.copyOf[c] = now, x.Log, s.m.Sites[c].Epoch
			s.say(c, Word{Kind: Snap, Session: x.id, Epoch: x.Epoch, State: &st})
		case from < x.Log:
			x.sentAt[c], x.told[c] = now, x.Log
			s.say(c, Word{Kind: Ops, Session: x.id, Epoch: x.Epoch, Base: from, Log: slices.Clone(x.ops[from-first:])})
		}
	}
}

// safe is how much of the log all copies have. With no neighbour at all a session is its home's alone, and nothing more is taken.
func (s *Site) safe(x *session) uint64 {
	if len(x.Copies) == 0 {
		return 0
	}
	safe := x.Log
	for _, c := range x.Copies {
		safe = min(safe, x.have[c])
	}
	return safe
}

// settle answers who waited, delivers what is safe, and goes on with a hand-over.
func (s *Site) settle(x *session, now float64) {
	safe := s.safe(x)
	kept := x.waiting[:0]
	for _, w := range x.waiting {
		switch {
		case w.log <= safe && s.holds(now):
			w.reply(202, w.n)
		case now >= w.until:
			w.reply(503, w.n)
		default:
			kept = append(kept, w)
		}
	}
	x.waiting = kept
	if drop := int(safe) - int(x.Log) + len(x.ops); drop > 0 {
		x.ops = slices.Clone(x.ops[drop:])
	}
	if x.handTo != "" {
		if safe == x.Log && now-x.handAt >= again {
			x.handAt = now
			s.say(x.handTo, Word{Kind: Hand, Session: x.id, Epoch: x.Epoch + 1})
		}
		return
	}
	s.deliver(x, safe, now)
}

// outSafe and inSafe are the newest message for the client, and of it, that all copies have.
func (x *session) outSafe(safe uint64) uint64 { return x.numbered(OpPut, x.OutLast, safe) }
func (x *session) inSafe(safe uint64) uint64  { return x.numbered(OpCome, x.InLast, safe) }

// numbered goes back from the newest number of a kind over the ops behind safe.
func (x *session) numbered(kind OpKind, last, safe uint64) uint64 {
	for i, at := len(x.ops)-1, x.Log; i >= 0 && at > safe; i, at = i-1, at-1 {
		if x.ops[i].Kind == kind {
			last = x.ops[i].Msg.N - 1
		}
	}
	return last
}

func (s *Site) deliver(x *session, safe uint64, now float64) {
	if !x.attached || !s.holds(now) || x.handTo != "" || safe == 0 {
		return
	}
	most := x.outSafe(safe)
	var msgs []Msg
	way := int64(0) // bytes that the client has not acknowledged
	for i := range x.Out {
		m := &x.Out[i]
		if way += size(m); i >= s.Lim.Window || i > 0 && way > s.Lim.WindowBytes {
			break
		}
		if m.N > x.sent && m.N <= most {
			msgs = append(msgs, Msg{N: m.N, Body: m.Body})
		}
	}
	if msgs != nil {
		x.sent = msgs[len(msgs)-1].N
		s.say(x.edge, Word{Kind: Deliver, Session: x.id, Epoch: x.Epoch, Sock: x.sock, Msgs: msgs})
	}
}

// Put queues a message for the client. key is its producer's own name for it: the same again is the same message.
func (s *Site) Put(id, key string, body []byte, now float64, reply Reply) {
	x := s.home[id]
	switch {
	case x == nil:
		reply(404, 0)
	case len(body) > s.Lim.Message:
		reply(413, 0)
	case len(key) > mostKey:
		reply(400, 0)
	case !s.holds(now) || x.handTo != "" || len(x.Copies) == 0:
		reply(503, 0)
	default:
		if i := slices.IndexFunc(x.Keys, func(k Msg) bool { return key != "" && k.Key == key }); i >= 0 {
			n := x.Keys[i].N
			if x.outSafe(s.safe(x)) >= n {
				reply(200, n)
			} else {
				x.waiting = append(x.waiting, waiter{x.Log, n, reply, now + 2000})
			}
			return
		}
		m := Msg{N: x.OutLast + 1, Key: key, Body: body, At: now}
		if len(x.Out) >= s.Lim.Msgs || x.bytes+size(&m) > s.Lim.Bytes {
			reply(429, 0)
			return
		}
		if s.bytes+size(&m) > s.Lim.All {
			reply(507, 0)
			return
		}
		s.do(x, Op{Kind: OpPut, Msg: &m}, now)
		x.waiting = append(x.waiting, waiter{x.Log, m.N, reply, now + 2000})
	}
}

// Inbox gives what the client sent and the consumer has not taken, as far as it is safe; ok is false where the session isn't here.
func (s *Site) Inbox(id string, after uint64, now float64) (msgs []Msg, ok bool) {
	x := s.home[id]
	if x == nil || !s.holds(now) {
		return nil, false
	}
	most := x.inSafe(s.safe(x))
	for _, m := range x.In {
		if m.N > after && m.N <= most {
			msgs = append(msgs, m)
		}
	}
	return msgs, true
}

// Took is the consumer's word that it has all up to n.
func (s *Site) Took(id string, n uint64, now float64) bool {
	x := s.home[id]
	if x == nil || !s.holds(now) || x.handTo != "" {
		return false
	}
	if len(x.In) > 0 && x.In[0].N <= n {
		s.do(x, Op{Kind: OpTook, N: min(n, x.InLast)}, now)
	}
	return true
}

// Receive takes a word of a site or an edge.
func (s *Site) Receive(from string, w *Word, now float64) {
	if s.Epoch == 0 || s.m == nil {
		if w.Kind == Attach {
			s.say(from, Word{Kind: Refused, Session: w.Session, Sock: w.Sock, Why: "not now"})
		}
		return
	}
	if site, ok := s.m.Sites[from]; ok && w.Site != site.Epoch {
		return // of another life of it, or of one that this site has not heard of yet: it is said again
	}
	switch w.Kind {
	case Attach:
		s.attach(from, w, now)
	case Find:
		if x := s.home[w.Session]; x != nil && s.holds(now) {
			s.say(from, Word{Kind: Elsewhere, Session: w.Session, Sock: w.Sock, Home: s.Name, Copies: x.Copies, Epoch: x.Epoch})
		}
	case Got, Come, Detach:
		s.fromEdge(from, w, now)
	case Snap:
		s.snap(from, w)
	case Ops:
		x := s.copies[w.Session]
		if x == nil || x.Epoch != w.Epoch || x.Log < w.Base {
			s.say(from, Word{Kind: Have, Session: w.Session, Epoch: w.Epoch, New: true}) // the whole is wanted
			return
		}
		for i := range w.Log {
			if w.Base+uint64(i) >= x.Log {
				s.bytes += x.apply(&w.Log[i], s.Lim.Keys)
			}
		}
		s.say(from, Word{Kind: Have, Session: w.Session, Epoch: w.Epoch, Base: x.Log})
	case Have:
		if x := s.home[w.Session]; x != nil && x.Epoch == w.Epoch && slices.Contains(x.Copies, from) {
			if w.New {
				delete(x.have, from)
				delete(x.sentAt, from)
			} else {
				x.have[from] = max(x.have[from], w.Base)
				x.told[from] = max(x.told[from], w.Base)
			}
			s.copyOut(x, now)
			s.settle(x, now)
			s.shrink(x, now)
		}
	case Hand:
		s.hand(from, w, now)
	case Handed:
		if x := s.home[w.Session]; x != nil && x.handTo == from && w.Epoch == x.Epoch+1 {
			s.handed(x, from, w.Epoch)
		}
	case Forget:
		if x := s.copies[w.Session]; x != nil && x.Epoch <= w.Epoch {
			s.letGo(s.copies, x, 503)
		}
		if x := s.home[w.Session]; x != nil && x.Epoch <= w.Epoch { // a newer home refused to be its copy
			s.letGo(s.home, x, 503)
		}
	case Defer:
		if x := s.home[w.Session]; x != nil && x.Epoch > w.Epoch && !slices.Contains(x.Copies, from) {
			s.say(from, Word{Kind: Forget, Session: w.Session, Epoch: x.Epoch})
		} else if x == nil && s.copies[w.Session] == nil { // nothing of it is here: who asks is to go on without
			s.say(from, Word{Kind: Defer, Session: w.Session, Epoch: w.Epoch, New: true})
		}
		if x := s.copies[w.Session]; x != nil && w.New && !s.m.Lives(x.Home, x.HomeOf) && x.Epoch == w.Epoch {
			x.Copies = slices.DeleteFunc(slices.Clone(x.Copies), func(c string) bool { return c == from })
			s.inherit(x, now)
		}
	}
}

// snap takes a session as a whole, as a copy. A home that is older than this site's own word of it is told to let go.
func (s *Site) snap(from string, w *Word) {
	if !s.m.Lives(w.State.Home, w.State.HomeOf) || w.State.Home != from {
		return // of a life that is over, or not known yet
	}
	if x := s.home[w.Session]; x != nil {
		if x.Epoch >= w.Epoch {
			s.say(from, Word{Kind: Forget, Session: w.Session, Epoch: x.Epoch})
			return
		}
		s.letGo(s.home, x, 503)
		if x.attached {
			s.say(x.edge, Word{Kind: Elsewhere, Session: x.id, Sock: x.sock, Home: from, Copies: w.State.Copies, Epoch: w.Epoch})
		}
	}
	x := s.copies[w.Session]
	if x != nil && (x.Epoch > w.Epoch || x.Epoch == w.Epoch && x.Log > w.State.Log) {
		if x.Home != from {
			s.say(from, Word{Kind: Forget, Session: w.Session, Epoch: x.Epoch})
		}
		return
	}
	if x != nil {
		s.letGo(s.copies, x, 503)
	}
	x = &session{id: w.Session, State: *w.State}
	x.Out, x.In, x.Keys, x.Copies = slices.Clone(x.Out), slices.Clone(x.In), slices.Clone(x.Keys), slices.Clone(x.Copies)
	for i := range x.Out {
		x.bytes += size(&x.Out[i])
	}
	for i := range x.In {
		x.bytes += size(&x.In[i])
	}
	s.bytes += x.bytes
	s.copies[w.Session] = x
	s.say(from, Word{Kind: Have, Session: w.Session, Epoch: w.Epoch, Base: x.Log})
}

// shrink lets a draining site's copy go once others have all.
func (s *Site) shrink(x *session, now float64) {
	if x.handTo != "" || s.safe(x) != x.Log || len(x.Copies) <= s.Lim.Copies {
		return
	}
	for _, c := range x.Copies {
		if s.m.Sites[c].State == sites.Draining && len(x.Copies) > s.Lim.Copies {
			x.Copies = slices.DeleteFunc(slices.Clone(x.Copies), func(o string) bool { return o == c })
			s.say(c, Word{Kind: Forget, Session: x.id, Epoch: x.Epoch})
			x.Epoch++ // the copies that stay are to know who takes over; one that has not heard of it yields to them
			s.resnap(x)
			s.copyOut(x, now)
			return
		}
	}
}

func (s *Site) attach(from string, w *Word, now float64) {
	refuse := func(why string) {
		s.say(from, Word{Kind: Refused, Session: w.Session, Sock: w.Sock, Why: why})
	}
	if !s.holds(now) {
		refuse("not now")
		return
	}
	x := s.home[w.Session]
	if x == nil && w.New {
		if s.m.Sites[s.Name].State != sites.In || len(s.home) >= s.Lim.Sessions || s.bytes >= s.Lim.All {
			refuse("full")
			return
		}
		x = &session{id: w.Session, State: State{Secret: w.Secret, Epoch: 1, Home: s.Name, HomeOf: s.Epoch}, idleAt: now}
		x.fresh()
		s.home[w.Session] = x
		s.mend(x, now)
	}
	switch {
	case x == nil:
		if c := s.copies[w.Session]; c != nil {
			s.say(from, Word{Kind: Elsewhere, Session: w.Session, Sock: w.Sock, Home: c.Home, Copies: c.Copies, Epoch: c.Epoch})
			return
		}
		refuse("unknown")
		return
	case subtle.ConstantTimeCompare([]byte(x.Secret), []byte(w.Secret)) != 1:
		refuse("unknown") // as if it were not there
		return
	case x.handTo != "":
		refuse("not now")
		return
	case w.Seq > 0 && w.Seq < x.Seq: // a newer connection has taken its place
		s.say(from, Word{Kind: Detach, Session: w.Session, Sock: w.Sock, Epoch: x.Epoch})
		return
	}
	if x.attached && (x.edge != from || x.sock != w.Sock) {
		s.say(x.edge, Word{Kind: Detach, Session: x.id, Sock: x.sock, Epoch: x.Epoch})
	}
	seq := cmp.Or(w.Seq, x.Seq+1)
	x.edge, x.sock, x.sent, x.attached = from, w.Sock, w.N, true
	if seq > x.Seq {
		s.do(x, Op{Kind: OpAttach, N: seq}, now)
	}
	if len(x.Out) > 0 && x.Out[0].N <= w.Base {
		s.do(x, Op{Kind: OpGot, N: min(w.Base, x.OutLast)}, now)
	}
	s.say(from, Word{Kind: Attached, Session: x.id, Epoch: x.Epoch, Seq: seq, Sock: w.Sock, Home: s.Name, Copies: x.Copies, N: x.inSafe(s.safe(x)),
		Base: x.OutLast - uint64(len(x.Out))})
	s.settle(x, now)
}

func (s *Site) fromEdge(from string, w *Word, now float64) {
	x := s.home[w.Session]
	if x == nil || x.edge != from || x.sock != w.Sock {
		return
	}
	switch w.Kind {
	case Detach:
		x.attached, x.idleAt = false, now
	case Got:
		if x.handTo == "" && len(x.Out) > 0 && x.Out[0].N <= w.N {
			s.do(x, Op{Kind: OpGot, N: min(w.N, x.sent)}, now)
			s.settle(x, now)
		}
	case Come:
		if x.handTo != "" {
			return // it comes again at the next home
		}
		for i := range w.Msgs {
			m := w.Msgs[i]
			if m.N <= x.InLast { // it was taken, here or at the home before
				continue
			}
			if m.N != x.InLast+1 || len(m.Body) > s.Lim.Message || len(x.In) >= s.Lim.Msgs || x.bytes+size(&m) > s.Lim.Bytes || s.bytes+size(&m) > s.Lim.All {
				break // it comes again
			}
			m.At = now
			s.do(x, Op{Kind: OpCome, Msg: &m}, now)
		}
		s.taken(x)
	}
}

// taken tells the edge which of the client's messages are safe.
func (s *Site) taken(x *session) {
	if x.attached {
		s.say(x.edge, Word{Kind: Taken, Session: x.id, Epoch: x.Epoch, Sock: x.sock, N: x.inSafe(s.safe(x))})
	}
}

// hand makes this site home of a session that its home hands on.
func (s *Site) hand(from string, w *Word, now float64) {
	if x := s.home[w.Session]; x != nil && x.Epoch >= w.Epoch { // it was, and the answer was lost
		s.say(from, Word{Kind: Handed, Session: w.Session, Epoch: w.Epoch, Home: s.Name})
		return
	}
	x := s.copies[w.Session]
	if x == nil || x.Epoch+1 != w.Epoch || x.Home != from || !s.m.Lives(x.Home, x.HomeOf) {
		return
	}
	x.Copies = append(x.Copies, from) // until another has all
	s.takeOver(x, now)
	s.say(from, Word{Kind: Handed, Session: w.Session, Epoch: w.Epoch, Home: s.Name})
}

// handed makes the old home a copy, and tells the edge where to go.
func (s *Site) handed(x *session, to string, epoch uint64) {
	s.fail(x, 503)
	if x.attached {
		s.say(x.edge, Word{Kind: Elsewhere, Session: x.id, Sock: x.sock, Home: to, Copies: []string{s.Name}, Epoch: epoch})
	}
	delete(s.home, x.id)
	x.Home, x.HomeOf, x.Epoch, x.handTo, x.attached = to, s.m.Sites[to].Epoch, epoch, "", false
	x.Copies = append(slices.DeleteFunc(slices.Clone(x.Copies), func(c string) bool { return c == to }), s.Name)
	s.copies[x.id] = x
}

// LostEdge notes that the link to an edge has ended: its sockets attach anew.
func (s *Site) LostEdge(edge string, now float64) {
	for _, id := range slices.Sorted(maps.Keys(s.home)) {
		if x := s.home[id]; x.attached && x.edge == edge {
			x.attached, x.idleAt = false, now
		}
	}
}

// Tick goes on with what waits: words that were not answered, drains, messages too old.
func (s *Site) Tick(now float64) {
	if s.m == nil || s.Epoch == 0 {
		return
	}
	self := s.m.Sites[s.Name]
	if self.State == sites.Draining {
		s.budget = min(s.budget+float64(self.Pace)*(now-s.budgetAt)/1000, float64(self.Pace))
	}
	s.budgetAt = now
	if now >= s.deferAt {
		s.deferAt = now + 5*again
		s.inheritAll(now)
	}
	for _, id := range slices.Sorted(maps.Keys(s.home)) {
		x := s.home[id]
		for _, c := range x.Copies {
			if x.have[c] < x.Log && now-x.sentAt[c] >= again {
				s.copyOut(x, now)
				break
			}
		}
		if s.holds(now) && x.handTo == "" {
			for len(x.Out) > 0 && now-x.Out[0].At > s.Lim.Age && x.Out[0].At > 0 {
				s.Given++
				s.do(x, Op{Kind: OpGot, N: x.Out[0].N}, now)
				x.sent = max(x.sent, x.OutLast-uint64(len(x.Out)))
			}
			if self.State == sites.Draining && s.budget >= 1 {
				s.begin(x, now)
			}
			if !x.attached && len(x.Out) == 0 && len(x.In) == 0 && now-x.idleAt > idleKeep {
				for _, c := range x.Copies {
					s.say(c, Word{Kind: Forget, Session: id, Epoch: x.Epoch})
				}
				s.letGo(s.home, x, 404)
				continue
			}
		}
		s.settle(x, now)
		if x.attached && len(x.In) > 0 { // its client may still wait for the word
			s.taken(x)
		}
	}
}

// begin starts to hand a session to its first copy that stays.
func (s *Site) begin(x *session, now float64) {
	for _, c := range x.Copies {
		if _, known := x.have[c]; known && s.m.Sites[c].State == sites.In {
			s.budget--
			x.handTo, x.handAt = c, now-again
			s.settle(x, now)
			return
		}
	}
}

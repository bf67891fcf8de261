package queue

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"

	"weirwind/internal/session/sites"
)

// orders plays one session of three sites and an edge through every order of few events: which link's next word
// comes, a message is put, the client acknowledges or sends, the home is pulled or drains, a link breaks. Time
// stands still but for the end, when what was left is let happen; then all that was queued must have come once and
// in order.
type orders struct {
	now    float64
	m      *sites.Map
	sites  map[string]*Site
	dead   map[string]bool
	edge   *Edge
	links  map[[2]string][]Envelope
	names  [][2]string // links in a fixed order
	put    int
	queued []uint64
	seen   []uint64
	sent   uint64
	broke  bool
	pulled bool
	drains bool
}

var siteNames = []string{"a", "b", "c"}

func newOrders() *orders {
	o := &orders{m: &sites.Map{Sites: map[string]sites.Site{}}, sites: map[string]*Site{}, dead: map[string]bool{},
		edge: NewEdge("e", "z0", "r"), links: map[[2]string][]Envelope{}}
	for i, n := range siteNames {
		o.sites[n] = NewSite(n, Limits{Sessions: 9, SessionBytes: 1 << 20, SessionMessages: 9, MaxAge: 1e12, TotalBytes: 1 << 20, MessageBytes: 99, WindowMessages: 9,
			WindowBytes: 1 << 20, Replicas: 1, RecentKeys: 9})
		o.m, _ = o.m.Apply(&sites.Change{Kind: sites.ChangeJoin, Name: n,
			Site: sites.Site{Addr: n, Zone: fmt.Sprint("z", i), Region: "r", Incarnation: 1}})
		for _, p := range append(siteNames, "e") {
			if p != n {
				o.names = append(o.names, [2]string{n, p})
			}
		}
		o.names = append(o.names, [2]string{"e", n})
	}
	o.learn()
	o.edge.OpenSocket(1, "s", "x", true, 0, o.now)
	o.quiet()
	return o
}

func (o *orders) learn() {
	for _, n := range siteNames {
		if !o.dead[n] {
			o.sites[n].ApplyMap(o.m, 1, o.now)
			o.sites[n].ExtendLease(1e12)
		}
	}
	o.edge.ApplyMap(o.m, o.now)
	o.flush()
}

func (o *orders) flush() {
	for _, n := range siteNames {
		for _, s := range o.sites[n].TakeOutgoing() {
			if !o.dead[n] && !o.dead[s.To] {
				k := [2]string{n, s.To}
				o.links[k] = append(o.links[k], s.Envelope)
			}
		}
	}
	for _, t := range o.edge.TakeClientEvents() {
		if t.Kind == EventMessage {
			o.seen = append(o.seen, t.Number)
		}
	}
	for _, s := range o.edge.TakeOutgoing() {
		if !o.dead[s.To] {
			k := [2]string{"e", s.To}
			o.links[k] = append(o.links[k], s.Envelope)
		}
	}
}

func (o *orders) come(k [2]string) bool {
	q := o.links[k]
	if len(q) == 0 {
		return false
	}
	w := q[0]
	o.links[k] = slices.Clone(q[1:])
	if k[1] == "e" {
		o.edge.Receive(k[0], &w, o.now)
	} else {
		o.sites[k[1]].Receive(k[0], &w, o.now)
	}
	o.flush()
	return true
}

func (o *orders) home() *Site {
	for _, n := range siteNames {
		if s := o.sites[n]; !o.dead[n] && s.owned["s"] != nil {
			return s
		}
	}
	return nil
}

// step takes the choice-th thing that can happen; false: there is none of that number.
func (o *orders) step(choice int) bool {
	for _, k := range o.names {
		if len(o.links[k]) == 0 {
			continue
		}
		if choice == 0 {
			return o.come(k)
		}
		choice--
	}
	h := o.home()
	can := []struct {
		may bool
		do  func()
	}{
		{h != nil && o.put < 2, func() {
			o.put++
			n := uint64(o.put)
			h.Enqueue("s", fmt.Sprint(n), []byte("x"), o.now, func(status Status, got uint64) {
				if status == 202 || status == 200 {
					o.queued = append(o.queued, got)
				}
			})
		}},
		{o.edge.sockets[1] != nil && o.edge.sockets[1].acked < o.edge.sockets[1].delivered,
			func() { o.edge.Ack(1, o.edge.sockets[1].delivered) }},
		{o.sent < 1 && o.edge.sockets[1] != nil, func() { o.sent++; o.edge.Publish(1, o.sent, []byte("y")) }},
		{!o.drains && h != nil, func() {
			o.drains = true
			o.m, _ = o.m.Apply(&sites.Change{Kind: sites.ChangeDrain, Name: h.Name, DrainRate: 1000})
			o.learn()
			o.now += 60
			h.Tick(o.now)
		}},
		{!o.pulled && h != nil, func() {
			o.pulled = true
			o.dead[h.Name] = true
			for k := range o.links {
				if k[0] == h.Name || k[1] == h.Name {
					delete(o.links, k)
				}
			}
			o.edge.HandleSiteLost(h.Name, o.now)
			o.m, _ = o.m.Apply(&sites.Change{Kind: sites.ChangeExpire, Name: h.Name, Epoch: 1})
			o.learn()
		}},
		{!o.broke && h != nil, func() { // the home's links to other sites lose what is on its way
			o.broke = true
			for k := range o.links {
				if k[0] == h.Name && k[1] != "e" || k[1] == h.Name && k[0] != "e" {
					delete(o.links, k)
				}
			}
		}},
	}
	for _, c := range can {
		if !c.may {
			continue
		}
		if choice == 0 {
			c.do()
			o.flush()
			return true
		}
		choice--
	}
	return false
}

// quiet lets all that is left happen, with time.
func (o *orders) quiet() {
	for range 30 {
		for more := true; more; {
			more = false
			for _, k := range o.names {
				more = o.come(k) || more
			}
		}
		o.now += 210
		for _, n := range siteNames {
			if !o.dead[n] {
				o.sites[n].Tick(o.now)
			}
		}
		o.edge.Tick(o.now)
		o.flush()
	}
}

func (o *orders) audit() string {
	o.quiet()
	if h := o.home(); h == nil {
		return "no home"
	} else if k := o.edge.sockets[1]; k == nil || !k.attached || k.owner != h.Name {
		return "the socket has no home"
	} else if msgs, _ := h.Inbox("s", 0, o.now); uint64(len(msgs)) != o.sent {
		return fmt.Sprintf("%d of the client's %d messages are there", len(msgs), o.sent)
	}
	homes := 0
	for _, n := range siteNames {
		if !o.dead[n] && o.sites[n].owned["s"] != nil {
			homes++
		}
	}
	if homes != 1 {
		return fmt.Sprintf("%d homes", homes)
	}
	for i, n := range o.seen {
		if n != uint64(i+1) {
			return fmt.Sprintf("the client saw %v", o.seen)
		}
	}
	for _, n := range o.queued {
		if !slices.Contains(o.seen, n) {
			return fmt.Sprintf("%v were queued, %v came", o.queued, o.seen)
		}
	}
	return ""
}

func TestEveryOrder(t *testing.T) {
	depth := 5
	if n, err := strconv.Atoi(os.Getenv("DEPTH")); err == nil {
		depth = n
	}
	ends := 0
	path := make([]int, 0, depth)
	var walk func()
	walk = func() {
		if len(path) == depth {
			o := newOrders()
			for _, c := range path {
				o.step(c)
			}
			if ends++; ends > 0 {
				if why := o.audit(); why != "" {
					t.Fatalf("%v: %s", path, why)
				}
			}
			return
		}
		for c := 0; ; c++ {
			o := newOrders()
			for _, p := range path {
				o.step(p)
			}
			if !o.step(c) {
				return
			}
			path = append(path, c)
			walk()
			path = path[:len(path)-1]
		}
	}
	walk()
	t.Logf("%d orders of %d events", ends, depth)
}

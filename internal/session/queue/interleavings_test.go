package queue

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"

	"weirwind/internal/session/sites"
)

// interleaving plays one session of three sites and an edge through every order of few events: which link's next
// envelope arrives, a message is enqueued, the client acknowledges or publishes, the owner is removed or drains, a link
// breaks. Time stands still up to the end, when all that is left may happen; then everything that was acknowledged must
// have arrived once and in order.
type interleaving struct {
	now           float64
	current       *sites.Map
	sites         map[string]*Site
	removed       map[string]bool
	edge          *Edge
	links         map[[2]string][]Envelope
	linkOrder     [][2]string // links in a fixed order
	producedCount int
	acknowledged  []uint64
	received      []uint64
	published     uint64
	linksBroken   bool
	ownerRemoved  bool
	ownerDrained  bool
}

var siteNames = []string{"a", "b", "c"}

func newInterleaving() *interleaving {
	il := &interleaving{current: &sites.Map{Sites: map[string]sites.Site{}}, sites: map[string]*Site{},
		removed: map[string]bool{},
		edge:    NewEdge("e", "z0", "r"), links: map[[2]string][]Envelope{}}
	for i, n := range siteNames {
		il.sites[n] = NewSite(n, Limits{Sessions: 9, SessionBytes: 1 << 20, SessionMessages: 9, MaxAge: 1e12,
			TotalBytes: 1 << 20, MessageBytes: 99, WindowMessages: 9,
			WindowBytes: 1 << 20, Replicas: 1, RecentKeys: 9})
		il.current, _ = il.current.Apply(&sites.Change{Kind: sites.ChangeJoin, Name: n,
			Site: sites.Site{Addr: n, Zone: fmt.Sprint("z", i), Region: "r", Incarnation: 1}})
		for _, p := range append(siteNames, "e") {
			if p != n {
				il.linkOrder = append(il.linkOrder, [2]string{n, p})
			}
		}
		il.linkOrder = append(il.linkOrder, [2]string{"e", n})
	}
	il.publishMap()
	il.edge.OpenSocket(1, "s", "x", true, 0, il.now)
	il.settle()
	return il
}

func (il *interleaving) publishMap() {
	for _, n := range siteNames {
		if !il.removed[n] {
			il.sites[n].ApplyMap(il.current, 1, il.now)
			il.sites[n].ExtendLease(1e12)
		}
	}
	il.edge.ApplyMap(il.current, il.now)
	il.flush()
}

func (il *interleaving) flush() {
	for _, n := range siteNames {
		for _, s := range il.sites[n].TakeOutgoing() {
			if !il.removed[n] && !il.removed[s.To] {
				k := [2]string{n, s.To}
				il.links[k] = append(il.links[k], s.Envelope)
			}
		}
	}
	for _, t := range il.edge.TakeClientEvents() {
		if t.Kind == EventMessage {
			il.received = append(il.received, t.Number)
		}
	}
	for _, s := range il.edge.TakeOutgoing() {
		if !il.removed[s.To] {
			k := [2]string{"e", s.To}
			il.links[k] = append(il.links[k], s.Envelope)
		}
	}
}

func (il *interleaving) deliver(k [2]string) bool {
	q := il.links[k]
	if len(q) == 0 {
		return false
	}
	w := q[0]
	il.links[k] = slices.Clone(q[1:])
	if k[1] == "e" {
		il.edge.Receive(k[0], &w, il.now)
	} else {
		il.sites[k[1]].Receive(k[0], &w, il.now)
	}
	il.flush()
	return true
}

func (il *interleaving) owner() *Site {
	for _, n := range siteNames {
		if s := il.sites[n]; !il.removed[n] && s.owned["s"] != nil {
			return s
		}
	}
	return nil
}

// step takes the choice-th thing that can happen; false: there is none of that number.
func (il *interleaving) step(choice int) bool {
	for _, k := range il.linkOrder {
		if len(il.links[k]) == 0 {
			continue
		}
		if choice == 0 {
			return il.deliver(k)
		}
		choice--
	}
	h := il.owner()
	can := []struct {
		may bool
		do  func()
	}{
		{h != nil && il.producedCount < 2, func() {
			il.producedCount++
			n := uint64(il.producedCount)
			h.Enqueue("s", fmt.Sprint(n), []byte("x"), il.now, func(status Status, got uint64) {
				if status == 202 || status == 200 {
					il.acknowledged = append(il.acknowledged, got)
				}
			})
		}},
		{il.edge.sockets[1] != nil && il.edge.sockets[1].acked < il.edge.sockets[1].delivered,
			func() { il.edge.Ack(1, il.edge.sockets[1].delivered) }},
		{il.published < 1 && il.edge.sockets[1] != nil, func() { il.published++; il.edge.Publish(1, il.published, []byte("y")) }},
		{!il.ownerDrained && h != nil, func() {
			il.ownerDrained = true
			il.current, _ = il.current.Apply(&sites.Change{Kind: sites.ChangeDrain, Name: h.Name, DrainRate: 1000})
			il.publishMap()
			il.now += 60
			h.Tick(il.now)
		}},
		{!il.ownerRemoved && h != nil, func() {
			il.ownerRemoved = true
			il.removed[h.Name] = true
			for k := range il.links {
				if k[0] == h.Name || k[1] == h.Name {
					delete(il.links, k)
				}
			}
			il.edge.HandleSiteLost(h.Name, il.now)
			il.current, _ = il.current.Apply(&sites.Change{Kind: sites.ChangeExpire, Name: h.Name, Epoch: 1})
			il.publishMap()
		}},
		{!il.linksBroken && h != nil, func() { // the owner's links to other sites lose what is on its way
			il.linksBroken = true
			for k := range il.links {
				if k[0] == h.Name && k[1] != "e" || k[1] == h.Name && k[0] != "e" {
					delete(il.links, k)
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
			il.flush()
			return true
		}
		choice--
	}
	return false
}

// settle lets all that is left happen, with time.
func (il *interleaving) settle() {
	for range 30 {
		for more := true; more; {
			more = false
			for _, k := range il.linkOrder {
				more = il.deliver(k) || more
			}
		}
		il.now += 210
		for _, n := range siteNames {
			if !il.removed[n] {
				il.sites[n].Tick(il.now)
			}
		}
		il.edge.Tick(il.now)
		il.flush()
	}
}

func (il *interleaving) verify() string {
	il.settle()
	if h := il.owner(); h == nil {
		return "no owner"
	} else if k := il.edge.sockets[1]; k == nil || !k.attached || k.owner != h.Name {
		return "the socket has no owner"
	} else if msgs, _ := h.Inbox("s", 0, il.now); uint64(len(msgs)) != il.published {
		return fmt.Sprintf("%d of the client's %d messages are there", len(msgs), il.published)
	}
	owners := 0
	for _, n := range siteNames {
		if !il.removed[n] && il.sites[n].owned["s"] != nil {
			owners++
		}
	}
	if owners != 1 {
		return fmt.Sprintf("%d owners", owners)
	}
	for i, n := range il.received {
		if n != uint64(i+1) {
			return fmt.Sprintf("the client saw %v", il.received)
		}
	}
	for _, n := range il.acknowledged {
		if !slices.Contains(il.received, n) {
			return fmt.Sprintf("%v were queued, %v came", il.acknowledged, il.received)
		}
	}
	return ""
}

func TestEveryInterleaving(t *testing.T) {
	depth := 5
	if n, err := strconv.Atoi(os.Getenv("DEPTH")); err == nil {
		depth = n
	}
	ends := 0
	path := make([]int, 0, depth)
	var walk func()
	walk = func() {
		if len(path) == depth {
			il := newInterleaving()
			for _, c := range path {
				il.step(c)
			}
			if ends++; ends > 0 {
				if why := il.verify(); why != "" {
					t.Fatalf("%v: %s", path, why)
				}
			}
			return
		}
		for c := 0; ; c++ {
			il := newInterleaving()
			for _, p := range path {
				il.step(p)
			}
			if !il.step(c) {
				return
			}
			path = append(path, c)
			walk()
			path = path[:len(path)-1]
		}
	}
	walk()
	t.Logf("%d interleavings of %d events", ends, depth)
}

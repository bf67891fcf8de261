package queue

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"

	"weirwind/internal/session/sites"
)

// interleaving runs one session, with three sites and an edge, through one order of a few events: the next envelope of
// a link arrives, a message is enqueued, the client acknowledges or publishes, the owner is removed or drains, or its
// links break. Time doesn't advance until the end, when all remaining envelopes are delivered. Then every acknowledged
// message must have arrived once and in order.
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
	for i, name := range siteNames {
		il.sites[name] = NewSite(name, Limits{Sessions: 9, SessionBytes: 1 << 20, SessionMessages: 9, MaxAge: 1e12,
			TotalBytes: 1 << 20, MessageBytes: 99, WindowMessages: 9,
			WindowBytes: 1 << 20, Replicas: 1, RecentKeys: 9})
		il.current, _ = il.current.Apply(&sites.Change{Kind: sites.ChangeJoin, Name: name,
			Site: sites.Site{Addr: name, Zone: fmt.Sprint("z", i), Region: "r", Incarnation: 1}})
		for _, peer := range append(siteNames, "e") {
			if peer != name {
				il.linkOrder = append(il.linkOrder, [2]string{name, peer})
			}
		}
		il.linkOrder = append(il.linkOrder, [2]string{"e", name})
	}
	il.publishMap()
	il.edge.OpenSocket(1, "s", "x", true, 0, il.now)
	il.settle()
	return il
}

func (il *interleaving) publishMap() {
	for _, name := range siteNames {
		if !il.removed[name] {
			il.sites[name].ApplyMap(il.current, 1, il.now)
			il.sites[name].ExtendLease(1e12)
		}
	}
	il.edge.ApplyMap(il.current, il.now)
	il.flush()
}

func (il *interleaving) flush() {
	for _, name := range siteNames {
		for _, outgoing := range il.sites[name].TakeOutgoing() {
			if !il.removed[name] && !il.removed[outgoing.To] {
				link := [2]string{name, outgoing.To}
				il.links[link] = append(il.links[link], outgoing.Envelope)
			}
		}
	}
	for _, event := range il.edge.TakeClientEvents() {
		if event.Kind == EventMessage {
			il.received = append(il.received, event.Number)
		}
	}
	for _, outgoing := range il.edge.TakeOutgoing() {
		if !il.removed[outgoing.To] {
			link := [2]string{"e", outgoing.To}
			il.links[link] = append(il.links[link], outgoing.Envelope)
		}
	}
}

func (il *interleaving) deliver(link [2]string) bool {
	pending := il.links[link]
	if len(pending) == 0 {
		return false
	}
	envelope := pending[0]
	il.links[link] = slices.Clone(pending[1:])
	if link[1] == "e" {
		il.edge.Receive(link[0], &envelope, il.now)
	} else {
		il.sites[link[1]].Receive(link[0], &envelope, il.now)
	}
	il.flush()
	return true
}

func (il *interleaving) owner() *Site {
	for _, name := range siteNames {
		if site := il.sites[name]; !il.removed[name] && site.owned["s"] != nil {
			return site
		}
	}
	return nil
}

// step performs the event with the number choice of those that are possible now. It returns false if there are fewer.
func (il *interleaving) step(choice int) bool {
	for _, link := range il.linkOrder {
		if len(il.links[link]) == 0 {
			continue
		}
		if choice == 0 {
			return il.deliver(link)
		}
		choice--
	}
	owner := il.owner()
	events := []struct {
		possible bool
		run      func()
	}{
		{owner != nil && il.producedCount < 2, func() {
			il.producedCount++
			number := uint64(il.producedCount)
			owner.Enqueue("s", fmt.Sprint(number), []byte("x"), il.now, func(status Status, got uint64) {
				if status == 202 || status == 200 {
					il.acknowledged = append(il.acknowledged, got)
				}
			})
		}},
		{il.edge.sockets[1] != nil && il.edge.sockets[1].acked < il.edge.sockets[1].delivered,
			func() { il.edge.Ack(1, il.edge.sockets[1].delivered) }},
		{il.published < 1 && il.edge.sockets[1] != nil, func() { il.published++; il.edge.Publish(1, il.published, []byte("y")) }},
		{!il.ownerDrained && owner != nil, func() {
			il.ownerDrained = true
			il.current, _ = il.current.Apply(&sites.Change{Kind: sites.ChangeDrain, Name: owner.Name, DrainRate: 1000})
			il.publishMap()
			il.now += 60
			owner.Tick(il.now)
		}},
		{!il.ownerRemoved && owner != nil, func() {
			il.ownerRemoved = true
			il.removed[owner.Name] = true
			for link := range il.links {
				if link[0] == owner.Name || link[1] == owner.Name {
					delete(il.links, link)
				}
			}
			il.edge.HandleSiteLost(owner.Name, il.now)
			il.current, _ = il.current.Apply(&sites.Change{Kind: sites.ChangeExpire, Name: owner.Name, Epoch: 1})
			il.publishMap()
		}},
		{!il.linksBroken && owner != nil, func() { // the owner's links to other sites lose their envelopes in flight
			il.linksBroken = true
			for link := range il.links {
				if link[0] == owner.Name && link[1] != "e" || link[1] == owner.Name && link[0] != "e" {
					delete(il.links, link)
				}
			}
		}},
	}
	for _, event := range events {
		if !event.possible {
			continue
		}
		if choice == 0 {
			event.run()
			il.flush()
			return true
		}
		choice--
	}
	return false
}

// settle delivers all envelopes and advances the time until nothing more happens.
func (il *interleaving) settle() {
	for range 30 {
		for delivered := true; delivered; {
			delivered = false
			for _, link := range il.linkOrder {
				delivered = il.deliver(link) || delivered
			}
		}
		il.now += 210
		for _, name := range siteNames {
			if !il.removed[name] {
				il.sites[name].Tick(il.now)
			}
		}
		il.edge.Tick(il.now)
		il.flush()
	}
}

func (il *interleaving) verify() string {
	il.settle()
	if owner := il.owner(); owner == nil {
		return "no owner"
	} else if sock := il.edge.sockets[1]; sock == nil || !sock.attached || sock.owner != owner.Name {
		return "the socket isn't attached to the owner"
	} else if messages, _ := owner.Inbox("s", 0, il.now); uint64(len(messages)) != il.published {
		return fmt.Sprintf("the inbox has %d of the client's %d messages", len(messages), il.published)
	}
	owners := 0
	for _, name := range siteNames {
		if !il.removed[name] && il.sites[name].owned["s"] != nil {
			owners++
		}
	}
	if owners != 1 {
		return fmt.Sprintf("%d owners", owners)
	}
	for i, number := range il.received {
		if number != uint64(i+1) {
			return fmt.Sprintf("the client received %v", il.received)
		}
	}
	for _, number := range il.acknowledged {
		if !slices.Contains(il.received, number) {
			return fmt.Sprintf("%v were acknowledged, %v were received", il.acknowledged, il.received)
		}
	}
	return ""
}

func TestEveryInterleaving(t *testing.T) {
	depth := 5
	if n, err := strconv.Atoi(os.Getenv("DEPTH")); err == nil {
		depth = n
	}
	played := 0
	path := make([]int, 0, depth)
	var walk func()
	walk = func() {
		if len(path) == depth {
			il := newInterleaving()
			for _, choice := range path {
				il.step(choice)
			}
			if played++; played > 0 {
				if problem := il.verify(); problem != "" {
					t.Fatalf("%v: %s", path, problem)
				}
			}
			return
		}
		for choice := 0; ; choice++ {
			il := newInterleaving()
			for _, earlier := range path {
				il.step(earlier)
			}
			if !il.step(choice) {
				return
			}
			path = append(path, choice)
			walk()
			path = path[:len(path)-1]
		}
	}
	walk()
	t.Logf("%d interleavings of %d events", played, depth)
}

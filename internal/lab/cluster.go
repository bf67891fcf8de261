package lab

// This file owns the cluster: its members, their roles, and the counters for the audit.

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"

	"weirwind/internal/discovery"
	"weirwind/internal/standin/loopback"
)

// Options are the options of a cluster. A zero value stands for the default given at its field.
type Options struct {
	Groups         int           // 0: one
	Members        int           // members per group; 0: five
	Cores          int           // ops that a member executes concurrently; others wait; 0: four
	ServiceTime    time.Duration // mean of the exponentially distributed time of an op; 0: 3 ms
	Zones          []string      // zones of a group's members, round-robin; nil: all in zone a
	ReplicationLag time.Duration // replication lag of replicas; 0: 20 ms
	ElectionTime   time.Duration // time from a primary's end to the next promotion; 0: 2 s
	Seed           uint64
}

// zoneOf returns the zone of the i-th member of a group.
func (o Options) zoneOf(i int) string {
	if len(o.Zones) == 0 {
		return "a"
	}
	return o.Zones[i%len(o.Zones)]
}

func (o Options) withDefaults() Options {
	o.Groups = max(o.Groups, 1)
	o.Members = cmp.Or(o.Members, 5)
	o.Cores = cmp.Or(o.Cores, 4)
	o.ServiceTime = cmp.Or(o.ServiceTime, 3*time.Millisecond)
	o.ReplicationLag = cmp.Or(o.ReplicationLag, 20*time.Millisecond)
	o.ElectionTime = cmp.Or(o.ElectionTime, 2*time.Second)
	return o
}

// DrainGrace is the time for which a driver may still send to a member after it was told of the member's drain.
const DrainGrace = 500 * time.Millisecond

// maxAddresses is the maximum number of addresses of a cluster, for members, drivers and the registry.
const maxAddresses = loopback.MaxHost * loopback.PortsOfHost

// Cluster is groups of members that run in this process.
type Cluster struct {
	options  Options
	name     string // unique name, which is part of each answer
	block    *loopback.Block
	members  []*Member
	registry *httptest.Server // serves the list of members

	mu         sync.Mutex    // guards the following fields
	addresses  int           // number of the block's addresses in use
	revision   int64         // revision of the list of members
	changed    chan struct{} // closed and replaced at each revision
	entries    map[string]discovery.Entry
	drainSeen  map[string]time.Time // by member: time at which the list was first read with its drain
	executions map[string]int       // executions of writes, by op
	arrivals   map[string]int       // number of ops that arrived, by member
	afterDrain []string             // ops that arrived at a member more than DrainGrace after its drain was read
	primary    map[int64]*Member    // by group; absent while an election is under way
	logEnds    map[int64]float64    // by group without a primary: the position at which its log ends
	random     *rand.Rand
	stopped    bool
	elections  sync.WaitGroup // elections under way
}

// Start starts a cluster on loopback addresses that no other cluster uses.
func Start(options Options) (*Cluster, error) {
	block, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	c := &Cluster{
		options:    options.withDefaults(),
		name:       fmt.Sprintf("%s-%08x", block.Name(), rand.Uint32()),
		block:      block,
		revision:   1,
		changed:    make(chan struct{}),
		entries:    map[string]discovery.Entry{},
		drainSeen:  map[string]time.Time{},
		executions: map[string]int{},
		arrivals:   map[string]int{},
		primary:    map[int64]*Member{},
		logEnds:    map[int64]float64{},
		random:     rand.New(rand.NewPCG(options.Seed, 3)),
	}
	for g := range c.options.Groups {
		for i := range c.options.Members {
			if err := c.addMember(int64(g+1), i); err != nil {
				c.Stop()
				return nil, err
			}
		}
	}
	if err := c.startRegistry(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

// startRegistry starts the HTTP server of the list of members.
func (c *Cluster) startRegistry() error {
	listener, err := net.Listen("tcp4", c.newAddress())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", c.serveList)
	c.registry = httptest.NewUnstartedServer(mux)
	c.registry.Listener.Close()
	c.registry.Listener = listener
	c.registry.Start()
	return nil
}

// newAddress returns an unused address of the cluster's block. The address stays reserved for its owner, also while
// nobody listens on it.
func (c *Cluster) newAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.addresses
	c.addresses++
	if n >= maxAddresses {
		panic("no address of the cluster's block is left")
	}
	return c.block.Address(1+n%loopback.MaxHost, n/loopback.MaxHost)
}

// addMember starts the member with an index within a group. The first one is the primary.
func (c *Cluster) addMember(group int64, index int) error {
	m := &Member{
		ID:      fmt.Sprintf("g%dm%d", group, index+1),
		cluster: c,
		group:   group,
		address: c.newAddress(),
		cores:   make(chan struct{}, c.options.Cores),
		conns:   map[net.Conn]bool{},
	}
	if err := m.start(); err != nil {
		return err
	}
	c.members = append(c.members, m)
	c.entries[m.ID] = discovery.Entry{
		ID:      m.ID,
		Address: m.address,
		Zone:    c.options.zoneOf(index),
		Group:   group,
		Phase:   discovery.PhaseUp,
	}
	if index == 0 {
		c.primary[group] = m
	}
	return nil
}

// Stop ends all members and elections.
func (c *Cluster) Stop() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.elections.Wait()
	for _, m := range c.members {
		m.stop()
	}
	if c.registry != nil {
		c.registry.CloseClientConnections()
		c.registry.Close()
	}
	_ = c.block.Close() // closes a listener without connections
}

// Name returns the cluster's name, which is part of each answer of its members.
func (c *Cluster) Name() string { return c.name }

// Discovery returns the address of the server of the list of members.
func (c *Cluster) Discovery() string { return c.registry.Listener.Addr().String() }

// Groups returns the number of groups.
func (c *Cluster) Groups() int { return c.options.Groups }

// Primary returns the ID of a group's primary, or "" while there is none.
func (c *Cluster) Primary(group int64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.primary[group]; p != nil {
		return p.ID
	}
	return ""
}

// Arrivals returns the number of ops that arrived at a member.
func (c *Cluster) Arrivals(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrivals[id]
}

// Replica returns the ID of a replica of a group that is running and listed as up, or "" if there is none.
func (c *Cluster) Replica(group int64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		if m.group == group && m != c.primary[group] && c.entries[m.ID].Phase == discovery.PhaseUp && m.listening() {
			return m.ID
		}
	}
	return ""
}

// member returns the member with an ID, or nil if there is none.
func (c *Cluster) member(id string) *Member {
	if i := slices.IndexFunc(c.members, func(member *Member) bool { return member.ID == id }); i >= 0 {
		return c.members[i]
	}
	return nil
}

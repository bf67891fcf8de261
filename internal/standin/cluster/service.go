package cluster

// This file owns services: the members' listeners, their heartbeats to the core, and the platform's API.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"weirwind/internal/member/wire"
	"weirwind/internal/shard/shardnode"
	"weirwind/internal/standin/replicaset"
)

const (
	heartbeatPeriod = 200 * time.Millisecond
	maxDrainDelay   = 7 * time.Second // from a member's acknowledged drain to the last statement that may reach it
)

// Service is a replication group on sockets that records all that its members run. Its exported fields are guarded by
// With while it runs.
type Service struct {
	Name          string
	Executions    map[string]int         // committed effects by statement id; more than 1 is a fault of the system
	LoseAnswers   int                    // so many of the next answers to writes are lost, by closing the connection
	RejectedCalls int                    // of the platform, with a fencing token older than the newest one
	Promoted      []string               // members that the platform was called to promote, in order
	AfterDrain    []string               // ids of statements that reached a member too long after its drain
	Shards        *shardnode.Store       // of a node that holds shards; nil: it holds none
	Overflow      string                 // how the node's disk held more than its capacity; "" while it did not
	Misdirected   MisdirectedConnections // who came to addresses of this service's members that others have taken over
	Observer      Observer               // of what members run; nil: nobody
	WorkTime      time.Duration          // that a client's statement takes at a member, beside its effect

	mu               sync.Mutex // guards all of it
	group            *replicaset.Group
	addrs            map[string]string            // by member
	conns            map[string]map[net.Conn]bool // by member
	successors       map[string]successor         // by member: who has its address now
	sequences        map[string]uint64            // of heartbeats by member
	openTransactions int
	data             map[string]string    // committed values by key
	progress         chan struct{}        // closed, and replaced, with each change of the group
	fencingToken     uint64               // the newest fencing token of the platform's calls
	drained          map[string]time.Time // by member: when the core acknowledged that it drains
}

// Observer is told what members run, as they run it. Its methods are called under the service's lock.
type Observer interface {
	// Reached is told of each statement of a client that comes to a member.
	Reached(id string)
	// Read is told of a read, and of the member's log, which it must not keep.
	Read(id string, log []replicaset.Entry)
	// Committed is told of a commit that enters the primary's log at a position.
	Committed(id string, position wire.Position)
}

func newService(name, syncN string, ids ...string) *Service {
	n, _ := strconv.Atoi(syncN)
	return &Service{
		Name:       name,
		group:      replicaset.New(n, ids...),
		addrs:      map[string]string{},
		conns:      map[string]map[net.Conn]bool{},
		successors: map[string]successor{},
		sequences:  map[string]uint64{},
		data:       map[string]string{},
		progress:   make(chan struct{}),
		Executions: map[string]int{},
		drained:    map[string]time.Time{},
	}
}

// notify wakes the commits that wait for replicas. The lock is held.
func (s *Service) notify() {
	close(s.progress)
	s.progress = make(chan struct{})
}

// With calls a function under the service's lock, to read or change the service and its group.
func (s *Service) With(change func(*replicaset.Group)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.group)
	s.notify()
}

// Crash closes a member's connections and takes no more until the member restarts.
func (s *Service) Crash(id string) {
	s.With(func(group *replicaset.Group) { group.Member(id).Up = false })
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns[id] {
		c.Close()
	}
}

// Leader is the primary's id, "" for none.
func (s *Service) Leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.group.Leader(); m != nil {
		return m.ID
	}
	return ""
}

// OpenTransactions is the number of transactions that are open at members.
func (s *Service) OpenTransactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openTransactions
}

// Lost is the acknowledged commits that a promoted member lacked.
func (s *Service) LostCommits() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group.LostCommits
}

// listen serves a member at an address until the context ends.
func (s *Service) listen(ctx context.Context, id, addr string) error {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.addrs[id], s.conns[id] = listener.Addr().String(), map[net.Conn]bool{}
	s.mu.Unlock()
	context.AfterFunc(ctx, func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.accept(id, conn)
		}
	}()
	return nil
}

// accept serves a connection, or resets it where the member is down.
func (s *Service) accept(id string, conn net.Conn) {
	s.mu.Lock()
	if by, taken := s.successors[id]; taken {
		s.mu.Unlock()
		go by.serve(s, conn)
		return
	}
	m := s.group.Member(id)
	up := m != nil && m.Up
	if up {
		s.conns[id][conn] = true
	}
	s.mu.Unlock()
	if !up {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
		return
	}
	go s.serve(id, conn)
}

// sendHeartbeats sends a member's heartbeats to the core until the context ends.
func (d *Deployment) sendHeartbeats(ctx context.Context, service *Service, id string) {
	go func() {
		tick := time.NewTicker(heartbeatPeriod)
		defer tick.Stop()
		for core := 0; ; {
			core = service.heartbeat(id, d.Cores, core)
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
	}()
}

// heartbeat sends a member's state to the core machines, from the given one on, until one acknowledges it. It gives the
// number of that machine, else the given one.
func (s *Service) heartbeat(id string, cores []string, first int) int {
	body, up := s.heartbeatBody(id)
	if !up {
		return first
	}
	client := http.Client{Timeout: time.Second}
	for i := range cores {
		n := (first + i) % len(cores)
		url := "http://" + cores[n] + "/members/" + id + "/heartbeat"
		resp, err := client.Post(url, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			s.recordDrain(id)
			return n
		}
	}
	return first
}

// heartbeatBody is a member's next heartbeat; up is false while it is down.
func (s *Service) heartbeatBody(id string) (body []byte, up bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.group.Member(id)
	if m == nil {
		return nil, false
	}
	role := "replica"
	if m.Primary {
		role = "primary"
	}
	s.sequences[id]++
	state := "up"
	if m.Draining {
		state = "draining"
	}
	body, _ = json.Marshal(map[string]any{"svc": s.Name, "addr": s.addrs[id], "zone": "z1", "gen": "v1", "slots": 7,
		"state": state, "warmupMs": 0, "dbRole": role, "seq": s.sequences[id]})
	return body, m.Up
}

// recordDrain notes when the core first acknowledged that a member drains.
func (s *Service) recordDrain(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.group.Member(id)
	if _, known := s.drained[id]; !known && m != nil && m.Draining {
		s.drained[id] = time.Now()
	}
}

// ServeHTTP is the platform's API: the call that promotes a member. It rejects calls with an old fencing token.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var call struct{ Svc, ID string }
	fence, err := strconv.ParseUint(r.Header.Get("Weirwind-Fence"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&call) != nil || err != nil || r.Header.Get("Weirwind-Holder") == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ok := false
	s.With(func(group *replicaset.Group) {
		if fence < s.fencingToken {
			s.RejectedCalls++
			return
		}
		s.fencingToken = fence
		s.Promoted = append(s.Promoted, call.ID)
		ok = group.Promote(call.ID)
	})
	if !ok {
		w.WriteHeader(http.StatusConflict)
	}
}

// work takes as long as a client's statement does.
func (s *Service) simulateWork(id string) {
	s.mu.Lock()
	workTime := s.WorkTime
	if s.Observer != nil {
		s.Observer.Reached(id)
	}
	s.mu.Unlock()
	if workTime > 0 {
		time.Sleep(workTime)
	}
}

// checkCapacity notes a disk that holds more than its capacity. The lock is held.
func (s *Service) checkCapacity() {
	if used := s.Shards.UsedBytes(); used > s.Shards.Capacity {
		s.Overflow = fmt.Sprintf("%s holds %d of %d", s.Name, used, s.Shards.Capacity)
	}
}

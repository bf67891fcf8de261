package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Figures of the site klra-weirwind.
const (
	replicationLag = 8 * time.Millisecond   // until a replica has received a commit, beside the way
	regionDelay    = 20 * time.Millisecond  // one way between regions
	promoteTime    = 600 * time.Millisecond // from the platform's answer until the member takes the lead
	beatInterval   = 1200 * time.Millisecond
	handshakeTime  = 14 * time.Millisecond
	pullInterval   = 2 * time.Millisecond
)

// Entry is a commit in a member's log. Its number is its place, from 1.
type Entry struct {
	Term uint64
	ID   string
}

// Member is a database server. The service's lock guards it.
type Member struct {
	ID     string
	region int
	addr   string

	primary    bool
	cut        bool // cut off from the other members; clients and the core reach it
	term       uint64
	pausedTerm uint64 // 0: it is not paused
	log        []Entry
	seq        uint64
	beats      chan struct{} // a change of role is told at once
}

func (m *Member) position() string {
	if len(m.log) == 0 {
		return strconv.FormatUint(m.term, 10) + ".0"
	}
	return fmt.Sprintf("%d.%d", m.log[len(m.log)-1].Term, len(m.log))
}

// Service is a primary and its replicas, with syncN 1, and the platform that promotes them. Connections come from
// machines in region 0; the ways to the members of other regions are delayed.
type Service struct {
	Name    string
	Members []*Member

	record   *Record
	mu       sync.Mutex
	received chan struct{} // closed and replaced whenever a replica's receipt has reached the primary
	confirms map[string]map[string]int
	fence    uint64
	cutBack  map[string]bool // commits that a promote has removed
	judge    Judge
}

// Judge is told what members run. It is called with the service's lock held.
type Judge interface {
	// Ran is called for each read that a member has run, with its log.
	Ran(id, member string, log []Entry)
	// CutBack is called for a commit that a promote has removed from a member.
	CutBack(id string)
}

// NewService returns a service whose members are in one region each. The first one is the primary of term 1.
func NewService(name string, record *Record, judge Judge, ids []string, addrs []string) *Service {
	s := &Service{Name: name, record: record, judge: judge, received: make(chan struct{}),
		confirms: map[string]map[string]int{}, cutBack: map[string]bool{}}
	for i, id := range ids {
		s.Members = append(s.Members, &Member{ID: id, region: i, addr: addrs[i], primary: i == 0, term: 1,
			beats: make(chan struct{}, 1)})
	}
	return s
}

// Serve starts the members, their beats and their replication.
func (s *Service) Serve(controls []string) error {
	for _, m := range s.Members {
		listener, err := net.Listen("tcp4", m.addr)
		if err != nil {
			return err
		}
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go s.serveConn(m, conn)
			}
		}()
		go s.beat(m, controls)
		go s.pull(m)
	}
	return nil
}

// Cut cuts the present primary off from the other members, or joins all again. It returns the primary's id.
func (s *Service) Cut(cut bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := ""
	for _, m := range s.Members {
		if !cut {
			m.cut = false
		} else if m.primary {
			m.cut, id = true, m.ID
		}
	}
	return id
}

func way(a, b *Member) time.Duration {
	if a.region == b.region {
		return 0
	}
	return regionDelay
}

func (s *Service) leader() *Member {
	var leader *Member
	for _, m := range s.Members {
		if m.primary && (leader == nil || m.term > leader.term) {
			leader = m
		}
	}
	return leader
}

// pull lets a replica receive the primary's log, in order, and confirms what it has received to the primary.
func (s *Service) pull(replica *Member) {
	for range time.Tick(pullInterval) {
		s.mu.Lock()
		primary := s.leader()
		ok := s.connected(primary, replica)
		var sent []Entry
		if ok {
			sent = primary.log[:len(primary.log):len(primary.log)]
		}
		s.mu.Unlock()
		if !ok {
			continue
		}
		term := primary.term
		time.AfterFunc(way(primary, replica)+replicationLag, func() { s.receive(primary, replica, term, sent) })
	}
}

func (s *Service) connected(primary, replica *Member) bool {
	return primary != nil && !replica.primary && replica.pausedTerm == 0 && !primary.cut && !replica.cut &&
		replica.term <= primary.term
}

func (s *Service) receive(primary, replica *Member, term uint64, sent []Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.connected(primary, replica) || primary != s.leader() || primary.term != term {
		return
	}
	if n := len(sent); n < len(replica.log) && (n == 0 || replica.log[n-1] == sent[n-1]) {
		return // an older state
	}
	s.replaceLog(replica, sent)
	replica.term = term
	n := len(replica.log)
	time.AfterFunc(way(primary, replica), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if primary.cut || replica.cut {
			return
		}
		if s.confirms[primary.ID] == nil {
			s.confirms[primary.ID] = map[string]int{}
		}
		if s.confirms[primary.ID][replica.ID] < n {
			s.confirms[primary.ID][replica.ID] = n
			close(s.received)
			s.received = make(chan struct{})
		}
	})
}

// replaceLog replaces a replica's log, and notes what it lost by that.
func (s *Service) replaceLog(m *Member, log []Entry) {
	common := 0
	for common < min(len(m.log), len(log)) && m.log[common] == log[common] {
		common++
	}
	for _, lost := range m.log[common:] {
		s.cutBack[lost.ID] = true
		s.judge.CutBack(lost.ID)
	}
	m.log = log
}

// commit appends to the primary's log and waits until a replica has confirmed it. It returns false if the member has
// lost the lead meanwhile: then no answer is given.
func (s *Service) commit(m *Member, id string) bool {
	m.log = append(m.log[:len(m.log):len(m.log)], Entry{Term: m.term, ID: id})
	n, term := len(m.log), m.term
	for {
		if !m.primary || m.term != term {
			return false
		}
		for _, confirmed := range s.confirms[m.ID] {
			if confirmed >= n {
				return true
			}
		}
		received := s.received
		s.mu.Unlock()
		select {
		case <-received:
		case <-time.After(50 * time.Millisecond):
		}
		s.mu.Lock()
	}
}

// beat sends a member's heartbeats to the core machines, each to the first that acknowledges it.
func (s *Service) beat(m *Member, controls []string) {
	client := &http.Client{Timeout: time.Second}
	next := 0
	for {
		for range controls {
			s.mu.Lock()
			m.seq++
			role := "replica"
			if m.primary {
				role = "primary"
			}
			body, _ := json.Marshal(map[string]any{"svc": s.Name, "addr": m.addr, "zone": fmt.Sprint("z", m.region+1),
				"gen": "v1", "slots": 7, "state": "up", "warmupMs": 0, "dbRole": role, "seq": m.seq})
			s.mu.Unlock()
			response, err := client.Post("http://"+controls[next]+"/members/"+m.ID+"/heartbeat", "application/json",
				bytes.NewReader(body))
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if response.StatusCode/100 == 2 {
					break
				}
			}
			next = (next + 1) % len(controls)
		}
		select {
		case <-m.beats:
		case <-time.After(beatInterval):
		}
	}
}

// setRole changes a member's role and has it told at once.
func (s *Service) setRole(m *Member, primary bool) {
	if m.primary == primary {
		return
	}
	m.primary = primary
	s.record.Log("member %s: primary %v, term %d, log up to %s", m.ID, primary, m.term, m.position())
	select {
	case m.beats <- struct{}{}:
	default:
	}
}

// ServePlatform serves POST /failover with fencing.
func (s *Service) ServePlatform(addr string) error {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /failover", s.failover)
	go func() { _ = http.Serve(listener, mux) }() //nolint:gosec // the only caller is the system under test
	return nil
}

func (s *Service) failover(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"svc"`
		ID      string `json:"id"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	fence, _ := strconv.ParseUint(r.Header.Get("Weirwind-Fence"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	status := http.StatusOK
	m := s.member(body.ID)
	switch {
	case fence < s.fence || m == nil:
		status = http.StatusConflict
	default:
		s.fence = fence
		if !m.primary {
			time.AfterFunc(promoteTime, func() { s.promote(m) })
		}
	}
	holder := r.Header.Get("Weirwind-Holder")
	s.record.Log("platform: failover to %s by %s with fence %d: %d", body.ID, holder, fence, status)
	w.WriteHeader(status)
}

func (s *Service) member(id string) *Member {
	for _, m := range s.Members {
		if m.ID == id {
			return m
		}
	}
	return nil
}

// promote makes a member the primary of the next term. The others are cut back to its log, and no member stays paused.
func (s *Service) promote(m *Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	term := m.term
	for _, other := range s.Members {
		term = max(term, other.term)
	}
	for _, other := range s.Members {
		other.pausedTerm = 0
		if other == m {
			continue
		}
		s.setRole(other, false)
		common := 0
		for common < min(len(other.log), len(m.log)) && other.log[common] == m.log[common] {
			common++
		}
		s.replaceLog(other, other.log[:common:common])
	}
	m.term = term + 1
	s.confirms = map[string]map[string]int{}
	s.setRole(m, true)
}

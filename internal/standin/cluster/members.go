package cluster

// This file owns the members' sockets: the line wire over replicaset's logs, beats to the core, and the platform.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"weirwind/internal/dataplane/wire"
	"weirwind/internal/shard/shardnode"
	"weirwind/internal/standin/replicaset"
)

// Service is a replication group on sockets, with an account of all that ran.
type Service struct {
	Name             string
	mu               sync.Mutex
	group            *replicaset.Group
	addrs            map[string]string
	conns            map[string]map[net.Conn]bool
	sequences        map[string]uint64
	openTransactions int               // transactions
	data             map[string]string // by thing, as committed
	progress         chan struct{}     // closed and made anew when something was answered or changed

	Executions    map[string]int // effects by statement id
	LoseAnswers   int            // so many next answers to writes are lost
	RejectedCalls int            // calls of the platform with an old fence
	fence         uint64
	Promoted      []string         // members named to the platform
	Overflow      string           // the first time that its disk held more than its room
	Shards        *shardnode.Store // of a node that holds shards; nil: it holds none
	drained       map[string]time.Time
	AfterDrain    []string // statements that reached a member long after its drain
}

func newService(name, syncN string, ids ...string) *Service {
	n, _ := strconv.Atoi(syncN)
	return &Service{
		Name:       name,
		group:      replicaset.New(n, ids...),
		addrs:      map[string]string{},
		conns:      map[string]map[net.Conn]bool{},
		sequences:  map[string]uint64{},
		data:       map[string]string{},
		progress:   make(chan struct{}),
		Executions: map[string]int{},
		drained:    map[string]time.Time{},
	}
}

func (s *Service) notify() {
	close(s.progress)
	s.progress = make(chan struct{})
}

// With looks at or changes the group.
func (s *Service) With(f func(*replicaset.Group)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.group)
	s.notify()
}

// Crash ends a member's connections and takes no more until Return; dark: it leaves them silent.
func (s *Service) Crash(id string) {
	s.With(func(g *replicaset.Group) { g.Member(id).Up = false })
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns[id] {
		c.Close()
	}
}

// Leader names who leads.
func (s *Service) Leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.group.Leader(); m != nil {
		return m.ID
	}
	return ""
}

// Open counts transactions that are open at members.
func (s *Service) OpenTransactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openTransactions
}

// Lost gives acknowledged commits that a promoted member lacked.
func (s *Service) Lost() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group.Lost
}

func (s *Service) listen(ctx context.Context, id, addr string) error {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	s.addrs[id], s.conns[id] = ln.Addr().String(), map[net.Conn]bool{}
	context.AfterFunc(ctx, func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			up := s.group.Member(id).Up
			if up {
				s.conns[id][c] = true
			}
			s.mu.Unlock()
			if !up {
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
				continue
			}
			go s.serve(id, c)
		}
	}()
	return nil
}

// visit is one connection's state.
type session struct {
	service  *Service
	member   string
	open     bool
	mayWrite bool // its transaction may write
	broken   bool
	writes   []string // of the transaction: id, thing, data
	prepared map[string]string

	counted bool

	shard string // of the open transaction
	epoch uint64
}

func (s *Service) serve(id string, c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns[id], c)
		s.mu.Unlock()
		c.Close()
	}()
	r := wire.NewReader(c)
	line, err := r.ReadMessage()
	if err != nil {
		return
	}
	if f := strings.Fields(line); len(f) < 3 || f[0] != wire.MsgAttach || f[1] != s.Name || len(f) > 3 && f[3] != id {
		_, _ = io.WriteString(c, "FAIL WRONGHOST\r\n")
		return
	}
	v := &session{service: s, member: id, prepared: map[string]string{}}
	fmt.Fprintf(c, "READY I %s\r\n", v.position())
	defer v.setOpen(false)
	defer v.end()
	for {
		line, err := r.ReadMessage()
		if err != nil {
			return
		}
		word, rest := wire.CutField(line)
		if word != wire.MsgQuery {
			return
		}
		qid, text := wire.CutField(rest)
		var answer string
		var ok bool
		if s.Shards != nil && qid == "-" && strings.HasPrefix(text, "SHARD ") {
			answer, ok = v.shardStatement(text)
		} else {
			answer, ok = v.execute(qid, text)
		}
		if !ok {
			return // the answer is lost
		}
		v.setOpen(v.open)
		state := "I"
		if v.broken {
			state = "E"
		} else if v.open {
			state = "T"
		}
		if _, err := fmt.Fprintf(c, "%sREADY %s %s\r\n", answer, state, v.position()); err != nil {
			return
		}
	}
}

// count keeps the account of open transactions.
func (v *session) setOpen(open bool) {
	v.service.mu.Lock()
	defer v.service.mu.Unlock()
	if open != v.counted {
		v.service.openTransactions += map[bool]int{true: 1, false: -1}[open]
		v.counted = open
	}
}

func (v *session) position() wire.Position {
	v.service.mu.Lock()
	defer v.service.mu.Unlock()
	return v.service.group.Member(v.member).Position()
}

func (v *session) execute(qid, text string) (string, bool) {
	s := v.service
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.group.Member(v.member)
	if !m.Up {
		return "", false
	}
	after := ""
	if p, rest := wire.CutField(text); p == "AFTER" {
		after, text = wire.CutField(rest)
	}
	if shard, epoch, rest, on := shardnode.CutShardPrefix(text); on && s.Shards != nil {
		return v.shardQuery(shard, epoch, qid, rest)
	}
	if v.shard != "" && qid != "-" || v.shard != "" && text == "ABORT" {
		return v.shardTransactionQuery(qid, text)
	}
	verb, rest := wire.CutField(text)
	if verb == "EXEC" {
		name, args := wire.CutField(rest)
		kind, ok := v.prepared[name]
		if !ok {
			return "FAIL NOSTMT " + name + "\r\n", true
		}
		verb, rest = kind, args
	}
	if at, ok := s.drained[v.member]; ok && time.Since(at) > 7*time.Second && qid != "-" && !v.open {
		s.AfterDrain = append(s.AfterDrain, qid)
	}
	if v.broken && verb != "ABORT" && verb != "COMMIT" {
		return "FAIL MALFORMED\r\n", true
	}
	if p, ok := wire.ParsePosition(after); ok && m.Position().Less(p) {
		return v.fail(wire.CodeLagging)
	}
	if answer, ok := controlStatement(m, verb, rest); ok {
		return answer, true
	}
	return v.statement(m, qid, verb, rest)
}

// fail breaks a transaction that is open.
func (v *session) fail(code string) (string, bool) {
	v.broken = v.open
	return "FAIL " + code + "\r\n", true
}

// manage carries out what the control plane asks of a member; ok is false for other verbs.
func controlStatement(m *replicaset.Member, verb, rest string) (answer string, ok bool) {
	term, _ := strconv.ParseUint(rest, 10, 64)
	switch verb {
	case "STAT":
	case "PAUSE":
		m.Pause(term)
	case "CONT":
		m.Resume()
	case "STEPDOWN":
		m.StepDown(term)
	default:
		return "", false
	}
	st, role := m.Status(), "replica"
	if st.Primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 0 0\r\nDONE -\r\n", role, st.Term, st.Received, st.PromisedTerm), true
}

// statement carries out what a client asks.
func (v *session) statement(m *replicaset.Member, qid, verb, rest string) (string, bool) {
	done := "DONE " + v.member + "." + qid + "\r\n"
	switch verb {
	case "RESET":
		v.prepared = map[string]string{}
		return "DONE -\r\n", true
	case "SET":
		return "DONE -\r\n", true
	case "PREP":
		name, shape := wire.CutField(rest)
		v.prepared[name], _ = wire.CutField(shape)
		return "DONE -\r\n", true
	case "BEGIN":
		if rest == "" && !m.Primary {
			return v.fail(wire.CodeReadOnly)
		}
		v.open, v.mayWrite, v.writes = true, rest == "", nil
		return "DONE -\r\n", true
	case "ABORT":
		v.open, v.broken, v.writes = false, false, nil
		return "DONE -\r\n", true
	case "FETCH":
		if v.open && v.mayWrite && !m.Primary {
			return v.fail(wire.CodeReadOnly)
		}
		return "ROW " + v.service.data[rest] + "\r\n" + done, true
	case "STORE":
		if !m.Primary {
			return v.fail(wire.CodeReadOnly)
		}
		thing, data := wire.CutField(rest)
		v.writes = append(v.writes, qid, thing, data)
		if v.open {
			return done, true
		}
		return v.commit(m, qid)
	case "COMMIT":
		if v.broken || !v.open {
			v.open, v.broken, v.writes = false, false, nil
			return "FAIL ABORTED\r\n", true
		}
		v.open = false
		if len(v.writes) == 0 {
			return done, true
		}
		if !m.Primary {
			v.writes = nil
			return "FAIL RDONLY\r\n", true
		}
		return v.commit(m, qid)
	}
	return "FAIL MALFORMED\r\n", true
}

// commit writes, lets replicas receive and waits until it may be answered. The lock is held but while it waits.
func (v *session) commit(m *replicaset.Member, qid string) (string, bool) {
	s := v.service
	writes := v.writes
	v.writes = nil
	s.group.Write(m, qid)
	lose := s.LoseAnswers > 0
	if lose {
		s.LoseAnswers--
	}
	for {
		s.group.Replicate(func(*replicaset.Member) bool { return true })
		if s.group.Acked[qid] {
			break
		}
		if !m.Up || !m.Primary {
			return "", false
		}
		wait := s.progress
		s.mu.Unlock()
		<-wait
		s.mu.Lock()
	}
	for i := 0; i < len(writes); i += 3 {
		s.Executions[writes[i]]++
		s.data[writes[i+1]] = writes[i+2]
	}
	return "DONE " + v.member + "." + qid + "\r\n", !lose
}

// beat says to the first machine of the core that takes it what a member is.
func (s *Service) heartbeat(id string, ctls []string) bool {
	s.mu.Lock()
	m := s.group.Member(id)
	role := "replica"
	if m.Primary {
		role = "primary"
	}
	s.sequences[id]++
	state := "up"
	if m.Draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{"svc": s.Name, "addr": s.addrs[id], "zone": "z1", "gen": "v1", "slots": 7,
		"state": state, "warmupMs": 0, "dbRole": role, "seq": s.sequences[id]})
	up := m.Up
	s.mu.Unlock()
	if !up {
		return false
	}
	client := http.Client{Timeout: time.Second}
	for _, ctl := range ctls {
		resp, err := client.Post("http://"+ctl+"/members/"+id+"/heartbeat", "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode == 200 {
			s.mu.Lock()
			if _, ok := s.drained[id]; m.Draining && !ok {
				s.drained[id] = time.Now()
			}
			s.mu.Unlock()
			return true
		}
	}
	return false
}

// ServeHTTP is the platform's call that names another primary.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var call struct{ Svc, ID string }
	fence, err := strconv.ParseUint(r.Header.Get("Weirwind-Fence"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&call) != nil || err != nil || r.Header.Get("Weirwind-Holder") == "" {
		w.WriteHeader(400)
		return
	}
	ok := false
	s.With(func(g *replicaset.Group) {
		if fence < s.fence {
			s.RejectedCalls++
			return
		}
		s.fence = fence
		s.Promoted = append(s.Promoted, call.ID)
		ok = g.Promote(call.ID)
	})
	if !ok {
		w.WriteHeader(409)
	}
}

package proxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/member/wire"
	"weirwind/internal/standin/replicaset"
	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
)

const (
	modelDuration = 20 * time.Second // of a seed, in virtual time
	modelClients  = 24
	modelIdle     = modelClients // idle connections that each pool is filled up to

	// What a seed plays at least, or it would show little.
	minModelReads      = 500
	minModelCommits    = 100
	minModelPromotions = 3

	maxMemberLatency    = 12 * time.Millisecond // one way
	maxSlowLatency      = 400 * time.Millisecond
	maxReplicationDelay = 20 * time.Millisecond
	heartbeatInterval   = 200 * time.Millisecond
	maxHeartbeatDelay   = 600 * time.Millisecond // until the proxy has it
	maxThinkTime        = 40 * time.Millisecond
	maxRest             = 2500 * time.Millisecond // in a transaction, below txIdleMs
)

// staleModel is a proxy with clients and three members in virtual time. Its members have logs and roles and refuse what
// real ones refuse; the primary changes while transactions are open. A read is checked at the member that runs it. A
// seed fixes the model's draws, not those of the proxy among equal members.
type staleModel struct {
	proxy   *Proxy
	end     time.Time
	seed    uint64
	sources atomic.Uint64 // sources of random draws so far

	mu         sync.Mutex // guards what follows
	group      *replicaset.Group
	numbers    map[string]uint64      // of commits, by statement id
	acked      []modelCommit          // in the order of their answers
	required   map[string]modelCommit // by the id of a read: the commit that its log must have; zero for none
	conns      []net.Conn             // the members' ends
	sequence   uint64                 // of heartbeats
	reads      int                    // that members ran
	violations []string               // stale reads
	stop       context.CancelFunc     // ends the proxy
}

// modelCommit is an acknowledged commit.
type modelCommit struct {
	id     string
	number uint64
	at     time.Time
}

func randomDuration(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}

// newStaleModel starts a proxy and its members. It is called in a synctest bubble.
func newStaleModel(seed uint64) *staleModel {
	ctx, cancel := context.WithCancel(context.Background())
	m := &staleModel{group: replicaset.New(1, "a", "b", "c"), numbers: map[string]uint64{}, required: map[string]modelCommit{},
		stop: cancel, seed: seed}
	m.proxy = newProxy(ctx, &settings.Settings{Zone: "z", MemoryMB: 8}, events.Discard())
	time.Sleep(time.Minute)
	m.end = time.Now().Add(modelDuration)
	go m.proxy.router.run()
	m.update(&controlmsg.StateUpdate{ConfigVersion: 3, Config: []byte(transcriptConfig), DriverCount: 2,
		WriterLeases: controlmsg.LeaseSupportOff})
	for _, id := range []string{"a", "b", "c"} {
		m.deliverHeartbeat(m.heartbeat(id))
	}
	return m
}

// newRandom returns a new source of random draws.
func (m *staleModel) newRandom() *rand.Rand { return rand.New(rand.NewPCG(m.seed, m.sources.Add(1))) }

// update gives the proxy an update as its agent does.
func (m *staleModel) update(update *controlmsg.StateUpdate) {
	m.proxy.router.do(func() { m.proxy.router.update(update) })
}

func (m *staleModel) running() bool { return time.Now().Before(m.end) }

// heartbeat returns the record of a member as it sees itself now.
func (m *staleModel) heartbeat(id string) directory.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	record := directory.Member{ID: id, Service: "s", Zone: "z", Role: directory.RoleReplica, Incarnation: 1, Seq: m.sequence}
	if m.group.Member(id).Primary {
		record.Role = directory.RolePrimary
	}
	return record
}

func (m *staleModel) deliverHeartbeat(record directory.Member) {
	m.update(&controlmsg.StateUpdate{Members: []directory.Member{record}})
}

// sendHeartbeats sends a member's heartbeats, each of which reaches the proxy late.
func (m *staleModel) sendHeartbeats(id string, random *rand.Rand) {
	for m.running() {
		record := m.heartbeat(id)
		time.AfterFunc(randomDuration(random, maxHeartbeatDelay), func() { m.deliverHeartbeat(record) })
		time.Sleep(heartbeatInterval)
	}
}

// replicate lets replicas receive the primary's log, each now and then.
func (m *staleModel) replicate(random *rand.Rand) {
	for m.running() {
		m.mu.Lock()
		m.group.Replicate(func(*replicaset.Member) bool { return random.IntN(2) == 0 })
		m.mu.Unlock()
		time.Sleep(randomDuration(random, maxReplicationDelay))
	}
}

// changePrimaries replaces the primary again and again, in most cases after it was cut off from its replicas.
func (m *staleModel) changePrimaries(random *rand.Rand) {
	for m.running() {
		time.Sleep(randomDuration(random, 2*time.Second))
		m.mu.Lock()
		primary := m.group.Leader()
		primary.Partitioned = random.IntN(4) > 0
		m.mu.Unlock()
		time.Sleep(randomDuration(random, 800*time.Millisecond))
		m.promoteReplica()
		time.Sleep(randomDuration(random, 3*time.Second))
		m.mu.Lock()
		primary.Partitioned = false
		m.mu.Unlock()
	}
}

// promoteReplica promotes the replica that has received most: it has all acknowledged commits.
func (m *staleModel) promoteReplica() {
	m.mu.Lock()
	defer m.mu.Unlock()
	var candidate *replicaset.Member
	for _, member := range m.group.Members {
		if !member.Primary && (candidate == nil || candidate.Position().Less(member.Position())) {
			candidate = member
		}
	}
	m.group.Promote(candidate.ID)
}

// fillPools keeps idle connections in the pools, so that the proxy dials none: members have no address.
func (m *staleModel) fillPools() {
	router := m.proxy.router
	for m.running() {
		router.do(func() {
			g := router.group("s")
			for id, member := range g.routing.Members {
				for len(g.pool(id).idle) < modelIdle {
					memberEnd := addIdleConn(router, g, member)
					go m.serveMember(id, memberEnd, m.addConn(memberEnd))
				}
			}
		})
		time.Sleep(time.Millisecond)
	}
}

// addConn records a member's end of a connection and returns a source of random draws for it.
func (m *staleModel) addConn(memberEnd net.Conn) *rand.Rand {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns = append(m.conns, memberEnd)
	return m.newRandom()
}

// memberTransaction is the transaction state of a member's connection.
type memberTransaction struct {
	open, plain, failed bool
	wrote               bool
	failsWrite          bool // the next write of the transaction fails without an effect, and the transaction goes on
}

func (tx *memberTransaction) state() string {
	switch {
	case tx.failed:
		return wire.StateFailedTransaction
	case tx.open:
		return wire.StateInTransaction
	}
	return wire.StateIdle
}

// memberLatency returns the time of a message to or from a member. A few are slow.
func memberLatency(random *rand.Rand) time.Duration {
	if random.IntN(20) == 0 {
		return randomDuration(random, maxSlowLatency)
	}
	return randomDuration(random, maxMemberLatency)
}

// serveMember answers the queries on a connection to a member.
func (m *staleModel) serveMember(id string, conn net.Conn, random *rand.Rand) {
	defer conn.Close()
	queries := wire.NewReader(conn)
	tx := &memberTransaction{}
	for {
		line, err := queries.ReadMessage()
		if err != nil {
			return
		}
		time.Sleep(memberLatency(random))
		_, rest := wire.CutField(line)
		queryID, text := wire.CutField(rest)
		tx.failsWrite = random.IntN(10) == 0
		answer, ok := m.execute(id, queryID, text, tx)
		time.Sleep(memberLatency(random))
		if !ok {
			return
		}
		if _, err := fmt.Fprint(conn, answer); err != nil {
			return
		}
	}
}

// execute runs a statement at a member. ok is false if it is not answered.
func (m *staleModel) execute(memberID, queryID, text string, tx *memberTransaction) (answer string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	member := m.group.Member(memberID)
	result, ok := m.run(member, queryID, text, tx)
	if strings.HasPrefix(result, "FAIL") && result != "FAIL TIMEOUT" {
		tx.failed = tx.open
	}
	return fmt.Sprintf("%s\r\nREADY %s %s\r\n", result, tx.state(), member.Position()), ok
}

// run runs a statement and returns its answer without READY. The caller holds the lock.
func (m *staleModel) run(member *replicaset.Member, queryID, text string, tx *memberTransaction) (string, bool) {
	done := "DONE " + member.ID + "." + queryID
	if queryID == wire.NoStamp {
		done = "DONE -"
	}
	verb, rest := wire.CutField(text)
	if verb == "AFTER" {
		after, statement := wire.CutField(rest)
		if position, _ := wire.ParsePosition(after); member.Position().Less(position) {
			return "FAIL LAGGING", true
		}
		verb, rest = wire.CutField(statement)
	}
	deposed := tx.plain && !member.Primary
	switch {
	case verb == "ABORT":
		*tx = memberTransaction{}
		return "DONE -", true
	case verb == "BEGIN" && rest == "" && !member.Primary:
		return "FAIL RDONLY", true
	case verb == "BEGIN":
		*tx = memberTransaction{open: true, plain: rest == ""}
		return "DONE -", true
	case verb == "COMMIT":
		wrote := tx.wrote
		*tx = memberTransaction{}
		if !wrote { // also at a member that has lost the lead
			return done, true
		}
		return m.commit(member, queryID, done)
	case verb == "FETCH" && !deposed:
		m.checkRead(queryID, member)
		return "ROW x\r\n" + done, true
	case verb == "STORE" && member.Primary && !tx.open:
		return m.commit(member, queryID, done)
	case verb == "STORE" && member.Primary && tx.plain && tx.failsWrite:
		return "FAIL TIMEOUT", true
	case verb == "STORE" && member.Primary && tx.plain:
		tx.wrote = true
		return done, true
	}
	return "FAIL RDONLY", true
}

// commit writes a commit and waits until a replica has it. The caller holds the lock, which is released while waiting.
func (m *staleModel) commit(member *replicaset.Member, id, done string) (string, bool) {
	position, written := m.group.Write(member, id)
	if !written {
		return "FAIL RDONLY", true
	}
	m.numbers[id] = position.Number
	term := member.LeaderTerm
	for !m.group.Acked[id] {
		if !member.Primary || member.LeaderTerm != term || !m.running() {
			return "", false
		}
		m.mu.Unlock()
		time.Sleep(time.Millisecond)
		m.mu.Lock()
	}
	return done, true
}

// checkRead checks the log on which a read runs. The caller holds the lock.
func (m *staleModel) checkRead(id string, member *replicaset.Member) {
	m.reads++
	number := m.required[id].number
	if number == 0 || uint64(len(member.Log)) >= number && member.Log[number-1].ID == m.required[id].id {
		return
	}
	m.violations = append(m.violations, fmt.Sprintf("read %s ran at %s on a log of %d without commit %d, %v before the end",
		id, member.ID, len(member.Log), number, time.Until(m.end)))
}

// newestBefore returns the commit with the highest number among those acknowledged before a time; zero for none.
func (m *staleModel) newestBefore(before time.Time) (newest modelCommit) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, commit := range m.acked {
		if commit.at.Before(before) && commit.number > newest.number {
			newest = commit
		}
	}
	return newest
}

// play runs the model to its end.
func (m *staleModel) play() {
	var clients, members sync.WaitGroup
	for _, id := range []string{"a", "b", "c"} {
		random := m.newRandom()
		members.Go(func() { m.sendHeartbeats(id, random) })
	}
	replication, changes := m.newRandom(), m.newRandom()
	members.Go(func() { m.replicate(replication) })
	members.Go(func() { m.changePrimaries(changes) })
	members.Go(m.fillPools)
	for n := range modelClients {
		c := &modelClient{model: m, name: fmt.Sprintf("q%d.", n), route: modelRoutes[n%len(modelRoutes)], random: m.newRandom()}
		clients.Go(c.serve)
	}
	clients.Wait()
	members.Wait()
	time.Sleep(3 * time.Second) // roll-backs are answered in this time
	m.stop()
	for _, conn := range m.conns {
		conn.Close()
	}
}

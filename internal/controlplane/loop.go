package controlplane

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"math"
	"os"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/controlplane/consensus/store"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/orders"
	"weirwind/internal/controlplane/quota"
	"weirwind/internal/util/commandqueue"
	"weirwind/internal/util/events"
)

// Times of consensus.
const (
	heartbeatInterval = 200 * time.Millisecond
	electionTimeout   = 900 * time.Millisecond
	// removeAfter is when a silent voter may be removed: before a leader without a quorum steps down, at twice the
	// timeout.
	removeAfter        = electionTimeout * 7 / 4
	consensusTick      = 50 * time.Millisecond
	requestTimeout     = 3 * time.Second
	maxPendingRequests = 64
	maxLoopCommands    = 256 // commands that wait for the loop; more are dropped
	loopAnswerTimeout  = 500 * time.Millisecond
	// leaveTimeout is for how long a process that is stopped waits until another leads, or until it votes no longer.
	leaveTimeout = time.Second
	leaveLinger  = 50 * time.Millisecond // in which its last messages are written
	// maxDiskFailures is how many writes in a row may fail before the process ends.
	maxDiskFailures = 20
	// maxFlushRounds bounds how often one turn of the loop syncs: what is left waits for the next turn.
	maxFlushRounds = 8
)

// consensusLoop owns the consensus node, its disk and the queue of orders. One goroutine, run, touches them; others
// send it commands through offer.
//
// The loop sends nothing that the disk doesn't hold yet. Each turn takes all commands that have arrived, ticks
// the node, and flushes: sync the hard state, then send the messages that follow from it, take what became committed,
// and decide orders, until nothing more follows. Commands that arrived together thus share one sync. A disk that
// hangs holds up this loop, and so the contact's renewal, but not the soft state: heartbeats and driver leases go on.
//
// The loop sends commands to the soft state, and waits where that has many. Nobody waits for the loop to take a
// command: whoever sends it one that finds no room is told (offer), so that the two can't wait for each other, and a
// disk that hangs holds up no link and no table. Only HTTP handlers wait for the loop's answers, and for a bounded
// time.
type consensusLoop struct {
	server *Server
	node   *consensus.Node
	store  *store.Store
	queue  *commandqueue.Queue
	close  context.CancelFunc // of the queue: it outlives the process's context until the node has left
	orders *orders.Queue

	committed       *config.State   // newest that is known committed; nil: none
	applied         entryID         // the entry that committed was read from
	notifiedVersion uint64          // newest configuration that the soft state was notified of
	notifiedContact float64         // newest contact that the soft state was notified of
	established     bool            // this machine leads and may decide, as the soft state was notified last
	leader          consensus.Voter // that is followed, or this machine; the zero value: none
	voterSilent     bool            // another machine of the core is silent, as the soft state was notified last
	voters          string          // ids, as logged last
	drifting        map[string]bool // ids of voters whose clocks were logged to drift

	diskWait     *diskWait
	diskFailures int // in a row
	syncs        uint64
	lastSyncMs   float64
	maxSyncMs    float64
}

// entryID is an entry's term and index.
type entryID struct{ term, index uint64 }

func entryIDOf(entry *consensus.Entry) entryID { return entryID{entry.Term, entry.Index} }

// openConsensusLoop opens the disk, and founds the core or joins it where the disk is empty.
func openConsensusLoop(ctx context.Context, server *Server) (*consensusLoop, error) {
	s := server.settings
	wait := &diskWait{ctx: ctx, log: server.log, now: server.now}
	disk, hardState, found, err := store.OpenWithRetry(s.DataDir, wait.waitForRoom)
	if err != nil {
		return nil, err
	}
	if !found {
		hardState = initialHardState(server)
		if err := disk.Save(&hardState); err != nil {
			return nil, err
		}
	}
	queueCtx, closeQueue := context.WithCancel(context.WithoutCancel(ctx))
	c := &consensusLoop{server: server, store: disk, diskWait: wait, close: closeQueue,
		queue:  commandqueue.New(queueCtx, maxLoopCommands),
		orders: orders.New(orders.Limits{Pending: maxPendingRequests, Timeout: ms(requestTimeout)})}
	options := consensus.Options{Addr: s.ControlAddr, Seeds: s.Peers, MinVoters: 2*s.TolerateNodes + 1,
		HeartbeatInterval: ms(heartbeatInterval), ElectionTimeout: ms(electionTimeout), RemoveAfter: ms(removeAfter),
		FormerVoterLifetime: quota.BoundLifetimeMs,
		Random:              drawFraction}
	c.node = consensus.New(options, hardState, server.now())
	return c, nil
}

// initialHardState is that of an empty disk: of a founding voter, or of a machine that asks to join.
func initialHardState(server *Server) consensus.HardState {
	s := server.settings
	if s.Bootstrap && slices.Contains(s.Peers, s.ControlAddr) {
		hardState := consensus.Bootstrap(s.ControlAddr, s.Peers)
		server.log.Event(events.Bootstrapped, "voters", s.Peers)
		return hardState
	}
	var id [8]byte
	_, _ = rand.Read(id[:])
	hardState := consensus.Empty(hex.EncodeToString(id[:]) + "@" + s.ControlAddr)
	server.log.Event(events.JoinRequested, "id", hardState.ID)
	return hardState
}

// drawFraction draws a number from 0 to 1, which spreads elections.
func drawFraction() float64 {
	var b [4]byte
	if _, err := rand.Read(b[:]); err != nil {
		return float64(os.Getpid()%97) / 97
	}
	return float64(binary.LittleEndian.Uint32(b[:])) / math.MaxUint32
}

// offer queues a command for the loop. It is dropped, and false returned, where the queue is full, as the loop waits
// for its disk: nobody else may wait with it. So a command is one that is repeated by itself, or whose caller is
// told.
func (c *consensusLoop) offer(command func()) bool { return c.queue.Offer(command) }

// askLoop has the loop read something, and waits for it for loopAnswerTimeout at most; false: there is no answer.
func askLoop[T any](c *consensusLoop, read func() T) (value T, ok bool) {
	values := make(chan T, 1) // has room for one: the loop never waits for a caller that has given up
	if !c.offer(func() { values <- read() }) {
		return value, false
	}
	timer := time.NewTimer(loopAnswerTimeout)
	defer timer.Stop()
	select {
	case value = <-values:
		return value, true
	case <-timer.C:
	case <-c.server.ctx.Done():
	}
	return value, false
}

// run is the owner's goroutine. When ctx ends the node first leaves in order: it transfers its leadership, and asks
// to be removed from the voters where enough others vote. After a failure it sends nothing more.
func (c *consensusLoop) run(ctx context.Context) {
	tick := time.NewTicker(consensusTick)
	defer tick.Stop()
	defer func() { _ = c.store.Close() }()
	defer c.close()
	stopping, leaveDeadline := ctx.Done(), math.Inf(1)
	for {
		select {
		case <-stopping:
			if !errors.Is(context.Cause(ctx), context.Canceled) {
				return
			}
			stopping, leaveDeadline = nil, c.server.now()+ms(leaveTimeout)
			c.node.Leave(c.server.now())
			c.server.log.Event(events.LeavingCore, "leads", c.established)
		case command := <-c.queue.Commands:
			command.Run()
			c.runQueued()
		case <-tick.C:
		}
		c.node.Tick(c.server.now())
		c.flush()
		c.notifyContact()
		if stopping == nil && (c.node.LeaveDone(c.server.now()) || c.server.now() > leaveDeadline) {
			time.Sleep(leaveLinger)
			return
		}
	}
}

// runQueued runs the commands that have arrived: they share one sync.
func (c *consensusLoop) runQueued() {
	for {
		select {
		case command := <-c.queue.Commands:
			command.Run()
		default:
			return
		}
	}
}

// flush syncs, sends and answers until nothing more follows, and notifies the soft state of what changed.
func (c *consensusLoop) flush() {
	for range maxFlushRounds {
		if c.node.Dirty() && !c.sync() {
			return
		}
		c.sendMessages()
		c.notifyCommitted()
		c.decideOrders()
		if !c.node.Dirty() {
			break
		}
	}
	c.followLeader()
	c.watchVoters()
	c.watchClocks()
	c.notifyLeadership()
}

// sync writes the hard state to the disk. Where that fails the messages that would follow from it are dropped; peers
// take it for loss on the way, and retry.
func (c *consensusLoop) sync() bool {
	began := c.server.now()
	c.diskWait.begin(began)
	err := c.store.Save(&c.node.HardState)
	c.diskWait.end()
	c.lastSyncMs = c.server.now() - began
	c.maxSyncMs = max(c.maxSyncMs, c.lastSyncMs)
	c.syncs++
	if err != nil {
		c.handleDiskFailure(err)
		c.node.Messages()
		return false
	}
	c.diskFailures = 0
	c.node.Synced(c.server.now())
	return true
}

// handleDiskFailure ends the process where the disk fails too often, or in a way after which nothing can be written
// any more.
func (c *consensusLoop) handleDiskFailure(err error) {
	c.diskFailures++
	if c.diskFailures == 1 {
		c.server.log.Error(events.DiskFailed, err)
	}
	if c.diskFailures > maxDiskFailures || errors.Is(err, store.ErrBroken) {
		c.server.fail(err)
	}
}

// sendMessages sends the node's messages to the machines that they are for.
func (c *consensusLoop) sendMessages() {
	for _, envelope := range c.node.Messages() {
		c.server.cores.send(envelope.To, &controlmsg.Frame{Consensus: &envelope.Message})
	}
}

// notifyCommitted notifies the soft state of a newly committed entry.
func (c *consensusLoop) notifyCommitted() {
	if update, ok := c.takeCommitted(); ok {
		s := c.server.state
		s.do(func() { s.applyCommitted(update) })
	}
}

// takeCommitted reads the state of the newest committed entry; not ok: it was read before.
func (c *consensusLoop) takeCommitted() (update committedUpdate, ok bool) {
	entry, known := c.node.Committed()
	if !known || c.applied == entryIDOf(&entry) {
		return update, false
	}
	c.applied = entryIDOf(&entry)
	state := &config.State{}
	if len(entry.Value) > 0 {
		if err := cbor.Unmarshal(entry.Value, state); err != nil {
			c.server.fail(err)
			return update, false
		}
	}
	c.committed = state
	update = committedUpdate{state: state, newVersion: state.Version > c.notifiedVersion, voterAddrs: c.logVoters(&entry)}
	c.notifiedVersion = max(c.notifiedVersion, state.Version)
	return update, true
}

// logVoters gives the voters' control addresses, and logs the voters where they changed.
func (c *consensusLoop) logVoters(entry *consensus.Entry) (addrs []string) {
	voters := ""
	for _, voter := range entry.Voters {
		addrs = append(addrs, voter.Addr)
		voters += voter.ID + " "
	}
	if voters != c.voters {
		c.voters = voters
		c.server.log.Event(events.VotersChanged, "voters", voters, "index", entry.Index)
	}
	return addrs
}

// followLeader ends the calls that wait for a leader that leads no longer: their callers retry.
func (c *consensusLoop) followLeader() {
	if leader, _ := c.node.Leader(); leader != c.leader {
		c.server.pending.failLeader(c.leader.Addr)
		c.leader = leader
	}
}

// notifyLeadership notifies the soft state when this machine begins to lead, or leads no longer.
func (c *consensusLoop) notifyLeadership() {
	established := c.node.Established()
	if established == c.established {
		return
	}
	c.established = established
	term := c.node.HardState.Term
	event := events.LostLeadership
	if established {
		event = events.BecameLeader
	}
	c.server.log.Event(event, "term", term)
	s := c.server.state
	holders := c.node.LeaseHolders()
	s.do(func() { s.setLeadership(established, term, holders) })
}

// notifyContact renews the machine's contact, after all that the soft state was notified of before: a reader of the
// contact finds what it vouches for.
func (c *consensusLoop) notifyContact() {
	at := c.node.LastContact()
	if at == c.notifiedContact {
		return
	}
	c.notifiedContact = at
	c.server.state.do(func() { c.server.contact.set(at) })
}

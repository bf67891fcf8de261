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
	// removeAfter is how long a voter must be silent before it may be removed. It is less than twice electionTimeout, so
	// that a leader can still remove the voter before it steps down for lack of a quorum.
	removeAfter           = electionTimeout * 7 / 4
	consensusTickInterval = 50 * time.Millisecond
	requestTimeout        = 3 * time.Second
	maxPendingRequests    = 64
	maxLoopCommands       = 256 // commands queued for the loop; more are dropped
	loopAnswerTimeout     = 500 * time.Millisecond
	// leaveTimeout is how long a stopping process waits for another machine to lead, or for its removal from the voters.
	leaveTimeout    = time.Second
	leaveFlushDelay = 50 * time.Millisecond // time for the last messages to be written to the links
	// maxDiskFailures is how many consecutive writes may fail before the process ends.
	maxDiskFailures = 20
	// maxFlushRounds limits the syncs in one iteration of the loop: the rest waits for the next iteration.
	maxFlushRounds = 8
)

// consensusLoop owns the consensus node, its disk and the queue of orders. Only one goroutine, run, accesses them;
// others send it commands through offer.
//
// The loop sends no message that depends on state that is not on the disk yet. Each iteration runs all commands that
// have arrived, ticks the node, and flushes: it syncs the hard state, sends the messages that follow from it, applies
// what was committed, and decides orders, until nothing more follows. Commands that arrive together thus share one
// sync. A hanging disk blocks this loop, and with it the renewal of contact, but not the soft state: heartbeats and
// driver leases continue.
//
// The loop sends commands to the soft state, and blocks while that queue is full. No sender blocks on the loop's
// queue: if it is full, offer returns false. So the two owners can't deadlock, and a hanging disk blocks neither links
// nor tables. Only HTTP handlers wait for answers of the loop, and only for a bounded time.
type consensusLoop struct {
	server     *Server
	node       *consensus.Node
	store      *store.Store
	queue      *commandqueue.Queue
	closeQueue context.CancelFunc // of the queue: it outlives the process's context until the node has left
	orders     *orders.Queue

	committed       *config.State   // newest known committed state; nil if there is none
	appliedEntry    entryID         // entry that committed was decoded from
	notifiedVersion uint64          // newest configuration version that the soft state was notified of
	notifiedContact float64         // newest contact that the soft state was notified of
	established     bool            // whether this machine leads and may decide, as last notified to the soft state
	leader          consensus.Voter // leader that this machine follows, or itself; the zero value if none is known
	voterSilent     bool            // whether another core machine is silent, as last notified to the soft state
	loggedVoters    string          // ids of the voters, as last logged
	driftingVoters  map[string]bool // ids of voters whose clock drift was logged

	diskWait     *diskWait
	diskFailures int // consecutive
	syncs        uint64
	lastSyncMs   float64
	maxSyncMs    float64
}

// entryID identifies a log entry by its term and index.
type entryID struct{ term, index uint64 }

func entryIDOf(entry *consensus.Entry) entryID { return entryID{entry.Term, entry.Index} }

// openConsensusLoop opens the disk. If the disk is empty, the machine bootstraps the core or asks to join it.
func openConsensusLoop(ctx context.Context, server *Server) (*consensusLoop, error) {
	s := server.settings
	wait := &diskWait{ctx: ctx, log: server.log, now: server.now}
	disk, hardState, found, err := store.OpenWithRetry(s.DataDir, wait.waitForSpace)
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
	c := &consensusLoop{server: server, store: disk, diskWait: wait, closeQueue: closeQueue,
		queue:  commandqueue.New(queueCtx, maxLoopCommands),
		orders: orders.New(orders.Limits{Pending: maxPendingRequests, Timeout: ms(requestTimeout)})}
	options := consensus.Options{Addr: s.ControlAddr, Seeds: s.Peers, MinVoters: 2*s.TolerateNodes + 1,
		HeartbeatInterval: ms(heartbeatInterval), ElectionTimeout: ms(electionTimeout), RemoveAfter: ms(removeAfter),
		FormerVoterLifetime: quota.BoundLifetimeMs,
		Random:              drawFraction}
	c.node = consensus.New(options, hardState, server.now())
	return c, nil
}

// initialHardState returns the hard state for an empty disk: that of an initial voter if the machine bootstraps the
// core, otherwise that of a machine that asks to join.
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

// drawFraction returns a random number from 0 to 1, which randomizes election timeouts.
func drawFraction() float64 {
	var b [4]byte
	if _, err := rand.Read(b[:]); err != nil {
		return float64(os.Getpid()%97) / 97
	}
	return float64(binary.LittleEndian.Uint32(b[:])) / math.MaxUint32
}

// offer queues a command for the loop. If the queue is full because the loop waits for its disk, offer drops the
// command and returns false instead of blocking. So every command must be one that is repeated later anyway, or whose
// sender handles the false.
func (c *consensusLoop) offer(command func()) bool { return c.queue.Offer(command) }

// callLoop runs read in the loop and waits up to loopAnswerTimeout for its value. ok is false if there is no answer.
func callLoop[T any](c *consensusLoop, read func() T) (value T, ok bool) {
	values := make(chan T, 1) // buffered, so that the loop never blocks on a caller that has given up
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

// run is the owner's goroutine. When ctx ends the node shuts down gracefully: it transfers its leadership, and asks to
// be removed from the voters if enough others remain. After a fatal failure it sends nothing more.
func (c *consensusLoop) run(ctx context.Context) {
	tick := time.NewTicker(consensusTickInterval)
	defer tick.Stop()
	defer func() { _ = c.store.Close() }()
	defer c.closeQueue()
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
			time.Sleep(leaveFlushDelay)
			return
		}
	}
}

// runQueued runs the commands that have arrived, so that they share one sync.
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

// flush syncs, sends and answers until nothing is left to do, and notifies the soft state of changes.
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

// sync writes the hard state to the disk, and reports whether that succeeded. On failure the messages that depend on
// the write are dropped; to peers this looks like loss on the network, and they retry.
func (c *consensusLoop) sync() bool {
	startedAt := c.server.now()
	c.diskWait.beginWrite(startedAt)
	err := c.store.Save(&c.node.HardState)
	c.diskWait.endWrite()
	c.lastSyncMs = c.server.now() - startedAt
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

// handleDiskFailure stops the process if the disk fails too often, or fails in a way that makes further writes
// impossible.
func (c *consensusLoop) handleDiskFailure(err error) {
	c.diskFailures++
	if c.diskFailures == 1 {
		c.server.log.Error(events.DiskFailed, err)
	}
	if c.diskFailures > maxDiskFailures || errors.Is(err, store.ErrBroken) {
		c.server.fail(err)
	}
}

// sendMessages sends the node's pending messages to their receivers.
func (c *consensusLoop) sendMessages() {
	for _, envelope := range c.node.Messages() {
		c.server.cores.send(envelope.To, &controlmsg.Frame{Consensus: &envelope.Message})
	}
}

// notifyCommitted notifies the soft state of a newly committed entry, if there is one.
func (c *consensusLoop) notifyCommitted() {
	if update, ok := c.takeCommitted(); ok {
		s := c.server.state
		s.enqueue(func() { s.applyCommitted(update) })
	}
}

// takeCommitted decodes the state of the newest committed entry. ok is false if it was taken before.
func (c *consensusLoop) takeCommitted() (update committedUpdate, ok bool) {
	entry, known := c.node.Committed()
	if !known || c.appliedEntry == entryIDOf(&entry) {
		return update, false
	}
	c.appliedEntry = entryIDOf(&entry)
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

// logVoters returns the voters' control addresses, and logs the voters if they changed.
func (c *consensusLoop) logVoters(entry *consensus.Entry) (addrs []string) {
	voters := ""
	for _, voter := range entry.Voters {
		addrs = append(addrs, voter.Addr)
		voters += voter.ID + " "
	}
	if voters != c.loggedVoters {
		c.loggedVoters = voters
		c.server.log.Event(events.VotersChanged, "voters", voters, "index", entry.Index)
	}
	return addrs
}

// followLeader records a change of leader. It fails the calls that wait for the former one; their callers retry.
func (c *consensusLoop) followLeader() {
	if leader, _ := c.node.Leader(); leader != c.leader {
		c.server.pending.failLeader(c.leader.Addr)
		c.leader = leader
	}
}

// notifyLeadership notifies the soft state when this machine becomes the leader, or stops being it.
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
	s.enqueue(func() { s.setLeadership(established, term, holders) })
}

// notifyContact renews the machine's contact. The command is queued behind all earlier notifications to the soft
// state, so that a reader of the new contact also sees the state that the contact covers.
func (c *consensusLoop) notifyContact() {
	at := c.node.LastContact()
	if at == c.notifiedContact {
		return
	}
	c.notifiedContact = at
	c.server.state.enqueue(func() { c.server.contact.set(at) })
}

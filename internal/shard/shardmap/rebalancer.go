package shardmap

// This file implements the rebalancer's state, its actions and the order of its steps.

import (
	"fmt"
	"maps"
	"slices"

	"weirwind/internal/shard/shardnode"
)

// Intervals, timeouts and limits. Times are milliseconds.
const (
	busyPollInterval       = 250.0                // between polls of a node while tasks are pending
	idlePollInterval       = 1000.0               // between polls of a node while no task is pending
	reportMaxAge           = 1500.0               // older reports are ignored
	retryInterval          = 100.0                // between retries of a request
	closeRetryInterval     = 5.0                  // between retries of a close, during which the shard isn't served
	abortTransactionsAfter = 80.0                 // after the start of a close, open transactions are aborted
	closeTimeout           = 1200.0               // after the start of a close, the transfer is rolled back
	contactTimeout         = 3000.0               // without an answer, a transfer whose source is not closing is abandoned
	replanInterval         = 4000.0               // between automatic plans
	reconcileInterval      = 2 * busyPollInterval // between retries of one reconciliation action
	reconcileRetention     = 4000.0               // after which the time of a reconciliation action is forgotten
	chunkInterval          = 40.0                 // duration of a chunk at the transfer's rate
	maxChunkBytes          = int64(1 << 20)       // bytes
	maxLagToClose          = 64                   // entries that the target may lack when the source is closed
	rateStep               = 1.5                  // factor by which a transfer is sped up when it falls behind
	maxRateFactor          = 16.0                 // upper limit of the product of these factors
	minRateShare           = 0.05                 // share of the rate that is left while a node has no free slots
	maxWriteGaps           = 4096                 // write gaps that are kept
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions, with the fields that they use. Those sent to a node are requests of package shardnode.
const (
	ActionReport            ActionKind = iota // request a node's report, for HandleReport
	ActionReserve                             // Bytes
	ActionFetch                               // up to Bytes from Source; the target seals once it has LastIndex
	ActionClose                               // the source starts no more work
	ActionAbortTransactions                   // like ActionClose, and the source aborts open transactions
	ActionSeal                                // at LastIndex, the last index of the complete log
	ActionActivate                            // open the replica, which must reach LastIndex
	ActionDrop                                // remove a replica that a newer owner has made redundant
	ActionDiscard                             // remove the receiving replica of a transfer that has ended
	ActionPropose                             // propose Change to the core
	ActionLog                                 // write Message to the event log; has no result
)

// Action is a request from the rebalancer to its runner. The answer to an ActionReport goes to HandleReport, all other
// outcomes go to HandleResult.
type Action struct {
	Kind      ActionKind
	Node      string // the node to which the request is sent
	Shard     string
	Epoch     uint64
	Source    string // id of the node to fetch from
	Bytes     int64
	LastIndex uint64
	Change    *Change
	Message   string
}

// Rebalancer executes the map's tasks during one term of a leader.
type Rebalancer struct {
	nodes       map[string]*nodeView     // by id; the nodes passed to the latest Step
	transfers   map[string]*transfer     // by shard
	reconcileAt map[reconcileKey]float64 // time from which an action may be repeated
	writeGaps   []float64
	actions     []Action // emitted since the last Step
	bytesMoved  int64
	replanAt    float64 // time of the next automatic plan at the earliest
	emptyPlans  int     // automatic plans that contained no moves
}

// NewRebalancer returns a rebalancer without nodes and transfers.
func NewRebalancer() *Rebalancer {
	return &Rebalancer{nodes: map[string]*nodeView{}, transfers: map[string]*transfer{},
		reconcileAt: map[reconcileKey]float64{}}
}

// Step returns the actions that are due. nodes are the ids of the nodes that are known now. A nil map has no actions.
func (rb *Rebalancer) Step(m *Map, nodes []string, now float64) []Action {
	if m == nil {
		return nil
	}
	rb.pollNodes(m, nodes, now)
	rb.reconcile(m, now)
	for _, shard := range slices.Sorted(maps.Keys(rb.transfers)) {
		t := rb.transfers[shard]
		rb.advance(m, t, now)
		if t.phase == phaseDone && m.pendingTask(t.Shard, t.To) < 0 {
			delete(rb.transfers, shard)
		}
	}
	rb.startTasks(m, now)
	rb.replan(m, now)
	actions := rb.actions // includes those emitted while results were handled
	rb.actions = nil
	return actions
}

func (rb *Rebalancer) emit(action Action) { rb.actions = append(rb.actions, action) }

// TransferState describes a shard's transfer for operators. It returns "" if there is none.
func (rb *Rebalancer) TransferState(shard string) string {
	t := rb.transfers[shard]
	if t == nil {
		return ""
	}
	return fmt.Sprintf("%s from %s to %s", phaseNames[t.phase], t.From, t.To)
}

// BytesMoved returns the number of bytes copied so far.
func (rb *Rebalancer) BytesMoved() int64 { return rb.bytesMoved }

// WriteGaps returns, for each of the latest hand-overs, the milliseconds for which the shard was not served.
func (rb *Rebalancer) WriteGaps() []float64 { return rb.writeGaps }

// Reports returns the newest report of each node, regardless of its age.
func (rb *Rebalancer) Reports() map[string]shardnode.Report {
	reports := map[string]shardnode.Report{}
	for id, view := range rb.nodes {
		if view.hasReport {
			reports[id] = view.report
		}
	}
	return reports
}

// nodeView is the rebalancer's view of a node.
type nodeView struct {
	report         shardnode.Report
	hasReport      bool
	requestedAt    float64 // when report was requested
	requestPending bool    // an ActionReport has not been answered
	nextPollAt     float64
}

// pollNodes requests the reports that are due and forgets nodes that are no longer known.
func (rb *Rebalancer) pollNodes(m *Map, nodes []string, now float64) {
	interval := idlePollInterval
	if len(rb.transfers) > 0 || m.hasPending() {
		interval = busyPollInterval
	}
	for id := range rb.nodes {
		if !slices.Contains(nodes, id) {
			delete(rb.nodes, id)
		}
	}
	for _, id := range nodes {
		view := rb.nodes[id]
		if view == nil {
			view = &nodeView{}
			rb.nodes[id] = view
		}
		if !view.requestPending && now >= view.nextPollAt {
			view.requestPending, view.nextPollAt = true, now+interval
			rb.emit(Action{Kind: ActionReport, Node: id})
		}
	}
}

// HandleReport processes the answer to an ActionReport that was sent at sentAt. ok is false if there was no answer.
func (rb *Rebalancer) HandleReport(node string, sentAt float64, report shardnode.Report, ok bool) {
	view := rb.nodes[node]
	if view == nil {
		return
	}
	view.requestPending = false
	if ok {
		view.report, view.requestedAt, view.hasReport = report, sentAt, true
	}
}

// report returns a node's report, or nil if there is no recent one.
func (rb *Rebalancer) report(node string, now float64) *shardnode.Report {
	if view := rb.nodes[node]; view != nil && view.hasReport && now-view.requestedAt < reportMaxAge {
		return &view.report
	}
	return nil
}

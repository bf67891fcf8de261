package shardmap

// This file owns the rebalancer: its state, the actions that it asks for, and the order of its steps.

import (
	"fmt"
	"maps"
	"slices"

	"weirwind/internal/shard/shardnode"
)

// Tuned values. Times are milliseconds.
const (
	busyPollInterval       = 250.0                // between reports of a node, while tasks are pending
	idlePollInterval       = 1000.0               // and while none is
	reportMaxAge           = 1500.0               // an older report of a node counts for nothing
	retryInterval          = 100.0                // between attempts of a request
	closeRetryInterval     = 5.0                  // of a close: the shard isn't served until the last transaction has ended
	abortTransactionsAfter = 80.0                 // from the begin of a close
	closeTimeout           = 1200.0               // from the begin of a close to its roll-back
	contactTimeout         = 3000.0               // without an answer of source or target, a copy is abandoned
	replanInterval         = 4000.0               // between automatic plans
	reconcileInterval      = 2 * busyPollInterval // between attempts of one action of the reconciliation
	reconcileRetention     = 4000.0               // after which an action of the reconciliation is forgotten
	chunkInterval          = 40.0                 // for which a chunk is to last at the transfer's rate
	maxChunkBytes          = int64(1 << 20)       // bytes
	maxLagToClose          = 64                   // entries that the target may lack as the source closes
	rateStep               = 1.5                  // by which a transfer that falls behind is sped up
	maxRateFactor          = 16.0                 // in all
	minRateShare           = 0.05                 // of its rate that a transfer has while its nodes are full
	maxWriteGaps           = 4096                 // that are remembered
)

// ActionKind of an action.
type ActionKind uint8

// The kinds of actions. Those to a node are requests of package shardnode.
const (
	ActionReport            ActionKind = iota // a node's report is wanted, for HandleReport
	ActionReserve                             // Bytes
	ActionFetch                               // up to Bytes from Source; once it has LastIndex the target seals
	ActionClose                               // the source begins nothing more
	ActionAbortTransactions                   // closes, and aborts the open transactions
	ActionSeal                                // at LastIndex
	ActionActivate                            // requires LastIndex
	ActionDrop                                // a newer owner has made the replica redundant
	ActionDiscard                             // the receiving replica of a transfer that has ended
	ActionPropose                             // Change, to the core
	ActionLog                                 // Message, to the event log; it has no result
)

// Action is something that the rebalancer asks its runner to do. But for ActionReport, whose answer goes to
// HandleReport, its outcome goes to HandleResult.
type Action struct {
	Kind      ActionKind
	Node      string // that is asked
	Shard     string
	Epoch     uint64
	Source    string // node id
	Bytes     int64
	LastIndex uint64
	Change    *Change
	Message   string
}

// Rebalancer carries out the map's tasks at one leader.
type Rebalancer struct {
	nodes       map[string]*nodeView     // by id; those of the newest Step
	transfers   map[string]*transfer     // by shard: at most one of each
	reconcileAt map[reconcileKey]float64 // by action: when it may be repeated
	writeGaps   []float64
	actions     []Action // since the last Step
	bytesMoved  int64
	replanAt    float64 // no automatic plan before
	emptyPlans  int     // automatic plans that would have moved nothing
}

// NewRebalancer knows nothing of nodes and transfers yet.
func NewRebalancer() *Rebalancer {
	return &Rebalancer{nodes: map[string]*nodeView{}, transfers: map[string]*transfer{},
		reconcileAt: map[reconcileKey]float64{}}
}

// Step gives the actions that are due. nodes are the ids of those that are known now; a nil map has none.
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
	actions := rb.actions // with those that followed from results
	rb.actions = nil
	return actions
}

func (rb *Rebalancer) emit(action Action) { rb.actions = append(rb.actions, action) }

// TransferState describes a shard's transfer for operators, "" for none.
func (rb *Rebalancer) TransferState(shard string) string {
	t := rb.transfers[shard]
	if t == nil {
		return ""
	}
	return fmt.Sprintf("%s from %s to %s", phaseNames[t.phase], t.From, t.To)
}

// BytesMoved is how many bytes were copied.
func (rb *Rebalancer) BytesMoved() int64 { return rb.bytesMoved }

// WriteGaps gives for how many milliseconds shards were not served, for each of the newest hand-overs.
func (rb *Rebalancer) WriteGaps() []float64 { return rb.writeGaps }

// Reports gives the newest report of each node, however old.
func (rb *Rebalancer) Reports() map[string]shardnode.Report {
	reports := map[string]shardnode.Report{}
	for id, view := range rb.nodes {
		if view.hasReport {
			reports[id] = view.report
		}
	}
	return reports
}

// nodeView is what is known of a node.
type nodeView struct {
	report         shardnode.Report
	hasReport      bool    // there is a report
	requestedAt    float64 // when the report was asked for
	requestPending bool    // a report is asked for
	nextPollAt     float64 // when the next one is to be asked for
}

// pollNodes asks nodes for their reports.
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

// HandleReport takes the answer to an ActionReport that was sent at that time; not ok: there was none.
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

// report gives a node's report, nil where there is no recent one.
func (rb *Rebalancer) report(node string, now float64) *shardnode.Report {
	if view := rb.nodes[node]; view != nil && view.hasReport && now-view.requestedAt < reportMaxAge {
		return &view.report
	}
	return nil
}

package controlplane

import (
	"errors"
	"maps"
	"net/http"
	"slices"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/member/memberconn"
	"weirwind/internal/shard/shardmap"
	"weirwind/internal/util/events"
)

const (
	nodeTimeout        = 2 * time.Second // for a statement to a node
	maxProgressPoints  = 600
	progressIntervalMs = 1000.0
)

// resultRejected is the result of a shard map change that was rejected, or whose outcome is unknown.
const resultRejected shardmap.ResultCode = "refused"

// shardMoves carries out the rebalancer's decisions while this machine leads and there is a shard map. It belongs to
// softState.
type shardMoves struct {
	owner *softState

	rebalancer *shardmap.Rebalancer // of this leadership; nil before its first step
	progress   []progressPoint      // newest points, of this leadership and earlier ones
}

// progressPoint is the progress of moves at one time.
type progressPoint struct {
	AtMs       float64          `json:"at"`
	BytesMoved int64            `json:"moved"`
	BytesUsed  map[string]int64 `json:"used"` // by node
}

func newShardMoves(owner *softState) shardMoves { return shardMoves{owner: owner} }

// reset drops the state of an earlier leadership. Results that arrive later are ignored.
func (m *shardMoves) reset() { m.rebalancer = nil }

// step runs the rebalancer on the newest shard map, and carries out its actions.
func (m *shardMoves) step(now float64) {
	s := m.owner
	if !s.leadership.active || s.committed == nil || s.committed.Shards == nil || s.config == nil {
		return
	}
	if m.rebalancer == nil {
		m.rebalancer = shardmap.NewRebalancer()
	}
	nodes := s.nodeMembers(now)
	for _, action := range m.rebalancer.Step(s.committed.Shards, slices.Sorted(maps.Keys(nodes)), now) {
		m.perform(m.rebalancer, nodes, action)
	}
	m.recordProgress(now)
}

// recordProgress adds a point to the progress if one is due.
func (m *shardMoves) recordProgress(now float64) {
	if n := len(m.progress); n > 0 && now-m.progress[n-1].AtMs <= progressIntervalMs {
		return
	}
	point := progressPoint{AtMs: now, BytesMoved: m.rebalancer.BytesMoved(), BytesUsed: map[string]int64{}}
	for node, report := range m.rebalancer.Reports() {
		point.BytesUsed[node] = report.Capacity - report.Free
	}
	m.progress = append(m.progress, point)
	if len(m.progress) > maxProgressPoints {
		m.progress = slices.Delete(m.progress, 0, 1)
	}
}

// nodeMembers returns the member that represents each node: the primary of the service with the node's name. If there
// is more than one, it is the one with the newest heartbeat.
func (s *softState) nodeMembers(now float64) map[string]directory.Member {
	nodes := map[string]directory.Member{}
	age := func(member directory.Member) float64 { return s.members.table.HeartbeatAge(member.ID, now) }
	for _, m := range s.members.table.Snapshot() {
		if m.Tombstone || m.Role != directory.RolePrimary || s.config.Service(m.Service) == nil {
			continue
		}
		if other, found := nodes[m.Service]; !found || age(m) < age(other) {
			nodes[m.Service] = m
		}
	}
	return nodes
}

// perform carries out one action. Calls to other processes run in goroutines of their own, which are bounded by a
// timeout and return their result as a command to the owner.
func (m *shardMoves) perform(rb *shardmap.Rebalancer, nodes map[string]directory.Member, action shardmap.Action) {
	log := m.owner.server.log
	switch action.Kind {
	case shardmap.ActionLog:
		log.Event(events.ShardMove, "shard", action.Shard, "what", action.Message)
		return
	case shardmap.ActionPropose:
		go m.propose(rb, action)
		return
	}
	node, ok := nodes[action.Node]
	source, sourceOK := "", true
	if ok && action.Kind == shardmap.ActionFetch {
		source, sourceOK = fetchSource(nodes, action.Source)
	}
	if !ok || !sourceOK {
		go m.finish(rb, action, shardmap.Result{Code: shardmap.ResultNoAnswer})
		return
	}
	statement := action.Statement(source)
	if action.Kind == shardmap.ActionReport {
		go m.requestReport(rb, node, action.Node, statement, m.owner.server.now())
		return
	}
	if action.Kind != shardmap.ActionFetch {
		log.Event(events.ShardMoveStep, "shard", action.Shard, "node", action.Node, "step", statement)
	}
	go m.request(rb, node, action, statement)
}

// fetchSource returns the address, service and id of the member that a fetch reads from, as the statement has them.
func fetchSource(nodes map[string]directory.Member, node string) (source string, ok bool) {
	m, ok := nodes[node]
	return m.Addr + " " + m.Service + " " + m.ID, ok
}

// propose has a change of the shard map committed.
func (m *shardMoves) propose(rb *shardmap.Rebalancer, action shardmap.Action) {
	srv := m.owner.server
	result := shardmap.Result{}
	if srv.submit(controlmsg.Request{ShardChange: action.Change}).status != http.StatusOK {
		result.Code = resultRejected
	}
	m.finish(rb, action, result)
}

// request sends an action's statement to a node.
func (m *shardMoves) request(rb *shardmap.Rebalancer, node directory.Member, action shardmap.Action, statement string) {
	rows, err := m.owner.memberClient.query(node, statement, time.Now().Add(nodeTimeout))
	var refusal *memberconn.MemberError
	switch {
	case errors.As(err, &refusal):
		m.finish(rb, action, action.ParseResult(nil, refusal.Text))
	case err != nil:
		m.finish(rb, action, shardmap.Result{Code: shardmap.ResultNoAnswer})
	default:
		m.finish(rb, action, action.ParseResult(rows, ""))
	}
}

// requestReport requests a node's report, and passes it to the rebalancer.
func (m *shardMoves) requestReport(rb *shardmap.Rebalancer, member directory.Member, node, statement string,
	sentAt float64) {
	rows, err := m.owner.memberClient.query(member, statement, time.Now().Add(nodeTimeout))
	m.owner.enqueue(func() {
		report, ok := shardmap.ParseReport(rows)
		if m.rebalancer == rb {
			rb.HandleReport(node, sentAt, report, ok && err == nil)
		}
	})
}

// finish passes an action's result to the rebalancer, unless the rebalancer's leadership is over.
func (m *shardMoves) finish(rb *shardmap.Rebalancer, action shardmap.Action, result shardmap.Result) {
	s := m.owner
	s.enqueue(func() {
		if m.rebalancer == rb {
			rb.HandleResult(action, result, s.server.now())
			m.step(s.server.now())
		}
	})
}

// shardsView returns the body of GET /shards without the leader's address.
func (s *softState) shardsView() ShardsView {
	view := ShardsView{Leading: s.leadership.active}
	if s.committed != nil {
		view.Map = s.committed.Shards
	}
	rb := s.shardMoves.rebalancer
	if rb == nil || view.Map == nil {
		return view
	}
	view.Nodes, view.BytesMoved = rb.Reports(), rb.BytesMoved()
	view.WriteGapsMs, view.Progress = slices.Clone(rb.WriteGaps()), slices.Clone(s.shardMoves.progress)
	view.Transfers = map[string]string{}
	for shard := range view.Map.Shards {
		if state := rb.TransferState(shard); state != "" {
			view.Transfers[shard] = state
		}
	}
	return view
}

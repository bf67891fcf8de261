package controlplane

// This file owns what a leader does about shards: it gives shardmap its view, puts its questions to nodes, and has its changes of
// the map agreed on. Nothing of it runs before shards were founded.

import (
	"errors"
	"maps"
	"slices"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/dataplane/memberconn"
	"weirwind/internal/shard/shardmap"
	"weirwind/internal/util/events"
	"weirwind/internal/util/idempotency"
)

const (
	nodeTime   = 2 * time.Second // of a question to a node
	mostPoints = 600
	pointEvery = 1000.0
)

// movePoint is the progress at a moment.
type movePoint struct {
	At    float64          `json:"at"` // milliseconds
	Moved int64            `json:"moved"`
	Used  map[string]int64 `json:"used"`
}

// nodes gives the member that answers for each node: who leads the service of its name.
func (t *tables) nodes(now float64) map[string]directory.Member {
	out := map[string]directory.Member{}
	for _, m := range t.members.Snapshot() {
		if m.Tombstone || m.Role != directory.RolePrimary || t.config.Service(m.Service) == nil {
			continue
		}
		if old, found := out[m.Service]; !found || t.members.HeartbeatAge(m.ID, now) < t.members.HeartbeatAge(old.ID, now) {
			out[m.Service] = m
		}
	}
	return out
}

// move takes the mover on.
func (t *tables) move(now float64) {
	if !t.leading || t.state == nil || t.state.Shards == nil || t.config == nil {
		return
	}
	if t.mover == nil {
		t.mover = shardmap.NewRebalancer()
	}
	nodes := t.nodes(now)
	for _, a := range t.mover.Step(t.state.Shards, slices.Sorted(maps.Keys(nodes)), now) {
		t.carryMove(t.mover, nodes, a)
	}
	if n := len(t.moves); n == 0 || now-t.moves[n-1].At > pointEvery {
		p := movePoint{now, t.mover.BytesMoved(), map[string]int64{}}
		for id, r := range t.mover.Reports() {
			p.Used[id] = r.Capacity - r.Free
		}
		if t.moves = append(t.moves, p); len(t.moves) > mostPoints {
			t.moves = slices.Delete(t.moves, 0, 1)
		}
	}
}

func (t *tables) carryMove(mv *shardmap.Rebalancer, nodes map[string]directory.Member, a shardmap.Action) {
	sent := t.h.now()
	back := func(res shardmap.Result) {
		t.do(func() {
			if t.mover == mv {
				mv.HandleResult(a, res, t.h.now())
				t.move(t.h.now())
			}
		})
	}
	switch a.Kind {
	case shardmap.ActionLog:
		t.h.log.Event(events.ShardMove, "shard", a.Shard, "what", a.Message)
		return
	case shardmap.ActionPropose:
		go func() {
			status, _ := t.h.call(controlmsg.Request{ShardChange: a.Change})
			res := shardmap.Result{}
			if status != 200 {
				res.Code = "refused"
			}
			back(res)
		}()
		return
	}
	m, ok := nodes[a.Node]
	if !ok {
		go back(shardmap.Result{Code: "dark"})
		return
	}
	from := ""
	if a.Kind == shardmap.ActionFetch {
		src, ok := nodes[a.Source]
		if !ok {
			go back(shardmap.Result{Code: "dark"})
			return
		}
		from = src.Addr + " " + src.Service + " " + src.ID
	}
	text := a.Statement(from)
	if a.Kind != shardmap.ActionReport && a.Kind != shardmap.ActionFetch {
		t.h.log.Event(events.ShardStep, "shard", a.Shard, "node", a.Node, "step", text)
	}
	go func() {
		until := time.Now().Add(nodeTime)
		var rows []string
		_, err := t.asker.with(m, until, idempotency.Idempotent, func(c *memberconn.Conn) (wrong error) {
			rows, wrong = c.Query(text, until)
			return wrong
		})
		var said *memberconn.MemberError
		refused := errors.As(err, &said)
		if a.Kind == shardmap.ActionReport {
			t.do(func() {
				r, ok := shardmap.ParseReport(rows)
				if t.mover == mv {
					mv.HandleReport(a.Node, sent, r, ok && err == nil)
				}
			})
			return
		}
		switch {
		case refused:
			back(a.ParseResult(nil, said.Text))
		case err != nil:
			back(shardmap.Result{Code: "dark"})
		default:
			back(a.ParseResult(rows, ""))
		}
	}()
}

func (t *tables) shardsView() ShardsView {
	v := ShardsView{Leading: t.leading}
	if t.state != nil {
		v.Map = t.state.Shards
	}
	if t.mover != nil && v.Map != nil {
		v.Nodes, v.BytesMoved, v.WriteGapsMs, v.Progress, v.Transfers = t.mover.Reports(), t.mover.BytesMoved(), slices.Clone(t.mover.WriteGaps()), slices.Clone(t.moves), map[string]string{}
		for shard := range v.Map.Shards {
			if state := t.mover.TransferState(shard); state != "" {
				v.Transfers[shard] = state
			}
		}
	}
	return v
}

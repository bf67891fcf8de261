package cluster

// This file owns nodes that hold shards: a member's sockets over shardnode's keeper, with a disk that really fills, and
// what copies one node's entries to another.

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"time"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/dataplane/memberconn"
	"weirwind/internal/dataplane/wire"
	"weirwind/internal/shard/shardnode"
	"weirwind/internal/standin/replicaset"
)

// AddNode starts a service of one member that holds shards, on a disk of so many bytes, and beats for it.
func (w *Deployment) AddNode(name string, limit int64) *Service {
	w.t.Helper()
	s := newService(name, "0", name+"-m")
	s.Shards = shardnode.NewStore(limit, limit/20)
	ctx, stop := context.WithCancel(context.Background())
	w.t.Cleanup(stop)
	if err := s.listen(ctx, name+"-m", w.ip(3, 10+len(w.Nodes))+":0"); err != nil {
		w.t.Fatal(err)
	}
	if w.Nodes == nil {
		w.Nodes = map[string]*Service{}
	}
	w.Nodes[name] = s
	w.sendHeartbeats(ctx, s, name+"-m")
	return s
}

func (w *Deployment) sendHeartbeats(ctx context.Context, s *Service, id string) {
	go func() {
		tick := time.NewTicker(200 * time.Millisecond)
		defer tick.Stop()
		for {
			s.heartbeat(id, w.Cores)
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
	}()
}

// Crash1 ends a node's process: its connections end, and it takes none.
func (s *Service) CrashNode() { s.Crash(s.Name + "-m") }

// Back1 starts it with what its disk held.
func (s *Service) RestartNode() {
	s.With(func(g *replicaset.Group) {
		g.Member(s.Name + "-m").Restart()
		s.Shards.Recover()
	})
}

// end counts out a transaction whose connection has ended.
func (v *session) end() {
	v.service.mu.Lock()
	defer v.service.mu.Unlock()
	v.endShard()
}

func (v *session) endShard() {
	if v.shard != "" && v.service.Shards != nil {
		v.service.Shards.EndTransaction(v.shard, v.epoch)
	}
	v.shard, v.open, v.broken, v.writes = "", false, false, nil
}

// keeper answers the system's words about shards.
func (v *session) shardStatement(text string) (string, bool) {
	s := v.service
	answer := func(rows []string, err error) (string, bool) {
		if err != nil {
			return wire.MsgFail + " " + shardnode.Code(err) + "\r\n", true
		}
		var b strings.Builder
		for _, r := range rows {
			b.WriteString(wire.MsgRow + " " + r + "\r\n")
		}
		return b.String() + "DONE -\r\n", true
	}
	s.mu.Lock()
	if !s.group.Member(v.member).Up {
		s.mu.Unlock()
		return "", false
	}
	rows, fetch, err := s.Shards.Execute(text)
	s.checkCapacity()
	s.mu.Unlock()
	if fetch == nil {
		return answer(rows, err)
	}
	until := time.Now().Add(time.Second)
	c, _, err := memberconn.Dial(directory.Member{ID: fetch.Member, Service: fetch.Service, Addr: fetch.Addr}, until)
	if err != nil {
		return "", false
	}
	defer c.Close()
	got, err := c.Query(fetch.EntriesStatement, until)
	var said *memberconn.MemberError
	if errors.As(err, &said) {
		return wire.MsgFail + " " + said.Text + "\r\n", true
	}
	if err != nil {
		return "", false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows, err = s.Shards.ApplyFetch(fetch, got)
	s.checkCapacity()
	return answer(rows, err)
}

// watch notes a disk over its room. The lock is held.
func (s *Service) checkCapacity() {
	if used := s.Shards.UsedBytes(); used > s.Shards.Capacity {
		s.Overflow = fmt.Sprintf("%s holds %d of %d", s.Name, used, s.Shards.Capacity)
	}
}

// onShard runs a statement that names its shard and epoch. The lock is held.
func (v *session) shardQuery(shard string, epoch uint64, qid, text string) (string, bool) {
	k := v.service.Shards
	verb, rest := wire.CutField(text)
	refuse := func(err error) (string, bool) { return wire.MsgFail + " " + shardnode.Code(err) + "\r\n", true }
	switch verb {
	case "BEGIN":
		if err := k.BeginTransaction(shard, epoch); err != nil {
			return refuse(err)
		}
		v.shard, v.epoch, v.open, v.mayWrite, v.writes = shard, epoch, true, rest == "", nil
		return "DONE -\r\n", true
	case "FETCH":
		if err := k.CheckRead(shard, epoch); err != nil {
			return refuse(err)
		}
		return "ROW x\r\nDONE " + v.member + "." + qid + "\r\n", true
	case "STORE":
		e, err := k.Write(shard, epoch, qid, []byte(rest))
		if err != nil {
			return refuse(err)
		}
		v.service.checkCapacity()
		if v.service.LoseAnswers > 0 {
			v.service.LoseAnswers--
			return "", false
		}
		return "DONE " + shardnode.EffectPosition(shard, e) + "\r\n", true
	}
	return "FAIL MALFORMED\r\n", true
}

// inShard runs a statement of an open transaction on a shard. The lock is held.
func (v *session) shardTransactionQuery(qid, text string) (string, bool) {
	verb, rest := wire.CutField(text)
	switch verb {
	case "FETCH":
		return "ROW x\r\nDONE " + v.member + "." + qid + "\r\n", true
	case "STORE":
		v.writes = append(v.writes, rest)
		return "DONE " + v.member + "." + qid + "\r\n", true
	case "ABORT":
		v.endShard()
		return "DONE -\r\n", true
	case "COMMIT":
		defer v.endShard()
		if len(v.writes) == 0 {
			return "DONE " + v.member + "." + qid + "\r\n", true
		}
		e, err := v.service.Shards.CommitTransaction(v.shard, v.epoch, qid, []byte(strings.Join(v.writes, "|")))
		if err != nil {
			return "FAIL ABORTED\r\n", true
		}
		v.service.checkCapacity()
		if v.service.LoseAnswers > 0 {
			v.service.LoseAnswers--
			return "", false
		}
		return "DONE " + shardnode.EffectPosition(v.shard, e) + "\r\n", true
	}
	return "FAIL MALFORMED\r\n", true
}

// Effects counts effects by the id of their try, over who holds each shard; strays are copies that are nobody's.
func (w *Deployment) Effects(holders map[string]string) (ran map[string]int, strays []string) {
	ran = map[string]int{}
	for name, s := range w.Nodes {
		s.mu.Lock()
		for shard, c := range maps.All(s.Shards.Replicas) {
			if holders[shard] != name || c.State != shardnode.StateOpen {
				strays = append(strays, fmt.Sprint(shard, " ", c.State, " at ", name))
				continue
			}
			for _, e := range c.Log {
				if !e.Aborted {
					ran[e.AttemptID]++
				}
			}
		}
		s.mu.Unlock()
	}
	return ran, strays
}

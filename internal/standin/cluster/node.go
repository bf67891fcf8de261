package cluster

// This file has nodes that hold shards: sessions over shardnode's store, with a disk of limited capacity, and the
// copying of entries between nodes.

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"time"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/member/memberconn"
	"weirwind/internal/member/wire"
	"weirwind/internal/shard/shardnode"
	"weirwind/internal/standin/replicaset"
)

const (
	firstNode    = 10 // index of the first node's address among the members'
	fetchTimeout = time.Second
)

// AddNode starts a service of one member that holds shards, on a disk of limit bytes, with heartbeats.
func (d *Deployment) AddNode(name string, limit int64) *Service {
	d.t.Helper()
	s := newService(name, "0", nodeMember(name))
	s.Shards = shardnode.NewStore(limit, limit/20)
	ctx, cancel := context.WithCancel(context.Background())
	d.t.Cleanup(cancel)
	if err := s.listen(ctx, nodeMember(name), d.ip(memberNet, firstNode+len(d.Nodes))+":0"); err != nil {
		d.t.Fatal(err)
	}
	if d.Nodes == nil {
		d.Nodes = map[string]*Service{}
	}
	d.Nodes[name] = s
	d.sendHeartbeats(ctx, s, nodeMember(name))
	return s
}

// nodeMember returns the id of a node's only member.
func nodeMember(node string) string { return node + "-m" }

// CrashNode closes a node's connections and rejects new ones until RestartNode.
func (s *Service) CrashNode() { s.Crash(nodeMember(s.Name)) }

// RestartNode restarts a node with the content of its disk.
func (s *Service) RestartNode() {
	s.With(func(group *replicaset.Group) {
		group.Member(nodeMember(s.Name)).Restart()
		s.Shards.Recover()
	})
}

// endShardTransaction ends the open transaction on a shard, if any. The caller holds the lock.
func (c *session) endShardTransaction() {
	if c.shard != "" && c.service.Shards != nil {
		c.service.Shards.EndTransaction(c.shard, c.epoch)
	}
	c.shard, c.open, c.failed, c.writes, c.shardWrites = "", false, false, nil, nil
}

// shardCommand executes the control plane's commands on shards. A command that copies entries fetches them from the
// other node without holding the lock.
func (c *session) shardCommand(text string) (answer string, ok bool) {
	s := c.service
	rows, fetch, memberUp, err := s.executeShardCommand(c.member, text)
	if !memberUp {
		return "", false
	}
	if fetch == nil {
		return shardAnswer(rows, err), true
	}
	until := time.Now().Add(fetchTimeout)
	source, _, err := memberconn.Dial(directory.Member{ID: fetch.Member, Service: fetch.Service, Addr: fetch.Addr}, until)
	if err != nil {
		return "", false
	}
	defer source.Close()
	entries, err := source.Query(fetch.EntriesStatement, until)
	var failure *memberconn.MemberError
	if errors.As(err, &failure) {
		return wire.MsgFail + " " + failure.Text + "\r\n", true
	}
	if err != nil {
		return "", false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows, err = s.Shards.ApplyFetch(fetch, entries)
	s.checkCapacity()
	return shardAnswer(rows, err), true
}

// executeShardCommand runs a command at the store; memberUp is false while the member is down.
func (s *Service) executeShardCommand(
	member, text string,
) (rows []string, fetch *shardnode.FetchRequest, memberUp bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.group.Member(member).Up {
		return nil, nil, false, nil
	}
	rows, fetch, err = s.Shards.Execute(text)
	s.checkCapacity()
	return rows, fetch, true, err
}

// shardAnswer formats rows, or an error's code, as an answer.
func shardAnswer(rows []string, err error) string {
	if err != nil {
		return wire.MsgFail + " " + shardnode.Code(err) + "\r\n"
	}
	var b strings.Builder
	for _, r := range rows {
		b.WriteString(wire.MsgRow + " " + r + "\r\n")
	}
	return b.String() + answerDone
}

// shardStatement runs a statement that names its shard and epoch. The caller holds the lock.
func (c *session) shardStatement(shard string, epoch uint64, id, text string) (answer string, ok bool) {
	store := c.service.Shards
	verb, rest := wire.CutField(text)
	switch verb {
	case "BEGIN":
		if err := store.BeginTransaction(shard, epoch); err != nil {
			return shardAnswer(nil, err), true
		}
		c.shard, c.epoch, c.open, c.mayWrite, c.shardWrites = shard, epoch, true, rest == "", nil
		return answerDone, true
	case "FETCH":
		if err := store.CheckRead(shard, epoch); err != nil {
			return shardAnswer(nil, err), true
		}
		return "ROW x\r\n" + c.done(id), true
	case "STORE":
		e, err := store.Write(shard, epoch, id, []byte(rest))
		if err != nil {
			return shardAnswer(nil, err), true
		}
		return c.answerShardWrite(shard, e)
	}
	return answerMalformed, true
}

// answerShardWrite returns the answer to a write that ran. The caller holds the lock.
func (c *session) answerShardWrite(shard string, entry shardnode.Entry) (answer string, ok bool) {
	c.service.checkCapacity()
	if c.service.consumeLostAnswer() {
		return "", false
	}
	return "DONE " + shardnode.EffectPosition(shard, entry) + "\r\n", true
}

// shardTransactionStatement runs a statement of the open transaction on a shard. The caller holds the lock.
func (c *session) shardTransactionStatement(id, text string) (answer string, ok bool) {
	verb, rest := wire.CutField(text)
	switch verb {
	case "FETCH":
		return "ROW x\r\n" + c.done(id), true
	case "STORE":
		c.shardWrites = append(c.shardWrites, rest)
		return c.done(id), true
	case "ABORT":
		c.endShardTransaction()
		return answerDone, true
	case "COMMIT":
		defer c.endShardTransaction()
		if len(c.shardWrites) == 0 {
			return c.done(id), true
		}
		content := []byte(strings.Join(c.shardWrites, "|"))
		e, err := c.service.Shards.CommitTransaction(c.shard, c.epoch, id, content)
		if err != nil {
			return answerAborted, true
		}
		return c.answerShardWrite(c.shard, e)
	}
	return answerMalformed, true
}

// Effects counts the effects of each attempt at the nodes that own the shards. misplaced lists the replicas that are at
// other nodes or not open.
func (d *Deployment) Effects(owners map[string]string) (executions map[string]int, misplaced []string) {
	executions = map[string]int{}
	for name, s := range d.Nodes {
		s.mu.Lock()
		for shard, replica := range maps.All(s.Shards.Replicas) {
			if owners[shard] != name || replica.State != shardnode.StateOpen {
				misplaced = append(misplaced, fmt.Sprint(shard, " ", replica.State, " at ", name))
				continue
			}
			for _, e := range replica.Log {
				if !e.Aborted {
					executions[e.AttemptID]++
				}
			}
		}
		s.mu.Unlock()
	}
	return executions, misplaced
}

package shardmap

import (
	"fmt"

	"weirwind/internal/shard/shardnode"
)

// This file implements the scenario's clients and checks the outcome of their requests.

// startClient starts a client that writes to one shard and repeats each write until it has a final answer.
func (sc *scenario) startClient(name, shard string, meanInterval float64, bodySize int) {
	seq := 0
	var next func()
	next = func() {
		if !sc.clientsActive {
			return
		}
		seq++
		request := &request{}
		sc.requests[fmt.Sprint(name, ".", seq)] = request
		sc.attempt(name, shard, seq, request, sc.Now+2000, bodySize, func() { sc.After(meanInterval*(0.2+1.6*sc.random.Float64()), next) })
	}
	sc.After(meanInterval*sc.random.Float64(), next)
}

// attempt sends a write under a new attempt id, resolves the attempt if its answer is lost, and follows the shard when
// it moves.
func (sc *scenario) attempt(name, shard string, seq int, request *request, deadline float64, bodySize int, done func()) {
	id := fmt.Sprintf("%s.%d.%d", name, seq, len(request.attempts))
	request.attempts = append(request.attempts, id)
	proxy := sc.proxies[sc.random.IntN(len(sc.proxies))]
	rejected := func() {
		request.rejected = append(request.rejected, id)
		if sc.Now < deadline-200 && len(request.attempts) < 4 {
			sc.After(50, func() { sc.attempt(name, shard, seq, request, deadline, bodySize, done) })
			return
		}
		done()
	}
	sent := false
	var send func()
	send = func() {
		assignment, ok := proxy.routes.Owner(shard)
		sc.record("where", proxy.routes.Version(), assignment, ok)
		if sc.Now >= deadline {
			if sent {
				request.unknown = true
				done()
			} else {
				rejected()
			}
			return
		}
		if !ok || proxy.frozen {
			sc.After(10, send)
			return
		}
		var err error
		resolve := sent
		sc.call(assignment.Node, func(store *shardnode.Store) {
			if resolve { // sent before, and not answered
				_, err = store.ResolveAttempt(shard, assignment.Epoch, id)
			} else if sc.random.IntN(3) == 0 { // as a transaction
				if err = store.BeginTransaction(shard, assignment.Epoch); err == nil {
					_, err = store.CommitTransaction(shard, assignment.Epoch, id, make([]byte, bodySize))
					store.EndTransaction(shard, assignment.Epoch)
				}
			} else {
				_, err = store.Write(shard, assignment.Epoch, id, make([]byte, bodySize))
			}
		}, func(ok bool) {
			moved, isMoved := err.(*shardnode.MovedError)
			switch {
			case !ok:
				sent = true
				sc.After(5, send)
			case err == nil:
				request.acknowledged = append(request.acknowledged, id)
				done()
			case isMoved:
				sc.record("missed", proxy.routes.HandleMoved(shard, assignment.Epoch, moved.HighestEpoch))
				sc.After(5, send)
			default: // no capacity, or aborted: the attempt never takes effect
				rejected()
			}
		})
	}
	send()
}

// verify returns the problems with the final state of shards and attempts.
func (sc *scenario) verify() (problems []string) {
	effects := map[string]int{} // by attempt
	for shard, assignment := range sc.current.Shards {
		replica := sc.nodes[assignment.Node].store.Replicas[shard]
		if replica == nil || replica.State != shardnode.StateOpen || replica.Epoch != assignment.Epoch {
			problems = append(problems, fmt.Sprintf("%s is not open at %s by %d: %+v", shard, assignment.Node, assignment.Epoch,
				replica))
			continue
		}
		for _, entry := range replica.Log {
			if !entry.Aborted {
				effects[entry.AttemptID]++
			}
		}
		for id, other := range sc.nodes {
			if leftover := other.store.Replicas[shard]; id != assignment.Node && leftover != nil {
				problems = append(problems, fmt.Sprintf("%s is still at %s: %s %d", shard, id, leftover.State, leftover.Epoch))
			}
		}
	}
	for name, request := range sc.requests {
		problems = append(problems, request.verify(name, effects)...)
	}
	if sc.overCapacity != "" {
		problems = append(problems, sc.overCapacity)
	}
	return problems
}

// verify compares the outcomes of a request's attempts with the number of effects that they had.
func (r *request) verify(name string, effects map[string]int) (problems []string) {
	total := 0
	for _, id := range r.attempts {
		total += effects[id]
	}
	for _, id := range r.acknowledged {
		if effects[id] != 1 {
			problems = append(problems, fmt.Sprintf("%s: %s was acknowledged and has %d effects", name, id, effects[id]))
		}
	}
	for _, id := range r.rejected {
		if effects[id] != 0 {
			problems = append(problems, fmt.Sprintf("%s: %s was rejected and has %d effects", name, id, effects[id]))
		}
	}
	if total > 1 {
		problems = append(problems, fmt.Sprintf("%s: %d effects", name, total))
	}
	return problems
}

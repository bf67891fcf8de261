package shardmap

import (
	"fmt"

	"weirwind/internal/shard/shardnode"
)

// This file owns the scenario's clients, and the check of what became of their requests.

// startClient sends writes of one shard, each until it has a final answer.
func (e *scenario) startClient(name, shard string, gap float64, size int) {
	seq := 0
	var next func()
	next = func() {
		if !e.clientsRun {
			return
		}
		seq++
		request := &request{}
		e.requests[fmt.Sprint(name, ".", seq)] = request
		e.attempt(name, shard, seq, request, e.Now+2000, size, func() { e.After(gap*(0.2+1.6*e.random.Float64()), next) })
	}
	e.After(gap*e.random.Float64(), next)
}

// attempt sends a write under an id of its own, resolves it if the answer is lost, and follows the shard as it moves.
func (e *scenario) attempt(name, shard string, seq int, request *request, until float64, size int, done func()) {
	id := fmt.Sprintf("%s.%d.%d", name, seq, len(request.attempts))
	request.attempts = append(request.attempts, id)
	proxy := e.proxies[e.random.IntN(len(e.proxies))]
	rejected := func() {
		request.rejected = append(request.rejected, id)
		if e.Now < until-200 && len(request.attempts) < 4 {
			e.After(50, func() { e.attempt(name, shard, seq, request, until, size, done) })
			return
		}
		done()
	}
	sent := false
	var send func()
	send = func() {
		assignment, ok := proxy.routes.Owner(shard)
		e.record("where", proxy.routes.Version(), assignment, ok)
		if e.Now >= until {
			if sent {
				request.unknown = true
				done()
			} else {
				rejected()
			}
			return
		}
		if !ok || proxy.frozen {
			e.After(10, send)
			return
		}
		var err error
		resolve := sent
		e.call(assignment.Node, func(store *shardnode.Store) {
			if resolve { // what was sent and not answered
				_, err = store.ResolveAttempt(shard, assignment.Epoch, id)
			} else if e.random.IntN(3) == 0 { // as a transaction
				if err = store.BeginTransaction(shard, assignment.Epoch); err == nil {
					_, err = store.CommitTransaction(shard, assignment.Epoch, id, make([]byte, size))
					store.EndTransaction(shard, assignment.Epoch)
				}
			} else {
				_, err = store.Write(shard, assignment.Epoch, id, make([]byte, size))
			}
		}, func(ok bool) {
			moved, isMoved := err.(*shardnode.MovedError)
			switch {
			case !ok:
				sent = true
				e.After(5, send)
			case err == nil:
				request.acknowledged = append(request.acknowledged, id)
				done()
			case isMoved:
				e.record("missed", proxy.routes.HandleMoved(shard, assignment.Epoch, moved.HighestEpoch))
				e.After(5, send)
			default: // no capacity, or aborted: it never runs
				rejected()
			}
		})
	}
	send()
}

// verify gives what is wrong with where all shards and attempts ended.
func (e *scenario) verify() (wrong []string) {
	effects := map[string]int{} // by attempt
	for shard, assignment := range e.current.Shards {
		replica := e.nodes[assignment.Node].store.Replicas[shard]
		if replica == nil || replica.State != shardnode.StateOpen || replica.Epoch != assignment.Epoch {
			wrong = append(wrong, fmt.Sprintf("%s is not open at %s by %d: %+v", shard, assignment.Node, assignment.Epoch,
				replica))
			continue
		}
		for _, entry := range replica.Log {
			if !entry.Aborted {
				effects[entry.AttemptID]++
			}
		}
		for id, other := range e.nodes {
			if rest := other.store.Replicas[shard]; id != assignment.Node && rest != nil {
				wrong = append(wrong, fmt.Sprintf("%s is still at %s: %s %d", shard, id, rest.State, rest.Epoch))
			}
		}
	}
	for name, request := range e.requests {
		wrong = append(wrong, request.verify(name, effects)...)
	}
	if e.overCapacity != "" {
		wrong = append(wrong, e.overCapacity)
	}
	return wrong
}

// verify checks a request's attempts against the effects that they had.
func (r *request) verify(name string, effects map[string]int) (wrong []string) {
	total := 0
	for _, id := range r.attempts {
		total += effects[id]
	}
	for _, id := range r.acknowledged {
		if effects[id] != 1 {
			wrong = append(wrong, fmt.Sprintf("%s: %s was acknowledged and has %d effects", name, id, effects[id]))
		}
	}
	for _, id := range r.rejected {
		if effects[id] != 0 {
			wrong = append(wrong, fmt.Sprintf("%s: %s was rejected and has %d effects", name, id, effects[id]))
		}
	}
	if total > 1 {
		wrong = append(wrong, fmt.Sprintf("%s: %d effects", name, total))
	}
	return wrong
}

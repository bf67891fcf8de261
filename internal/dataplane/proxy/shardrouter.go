package proxy

import (
	"weirwind/internal/shard/shardmap"
)

const maxQueuedAtShard = 4000 // requests that wait for one shard's owner

// shardRouter owns the shards' routing table and the requests that wait for a shard without an owner. It belongs to
// the router's goroutine.
type shardRouter struct {
	table  *shardmap.RoutingTable
	queues map[string]*waitQueue[*shardRequest] // by shard; a shard that nothing waits for has none
}

// shardRequest asks which node owns a shard.
type shardRequest struct {
	deadline float64                  // milliseconds
	reply    chan shardmap.Assignment // closed without an answer if there was no owner in time
}

func newShardRouter() *shardRouter {
	return &shardRouter{table: shardmap.NewRoutingTable(), queues: map[string]*waitQueue[*shardRequest]{}}
}

// resolve answers with a shard's owner, or queues the request until there is one.
func (r *shardRouter) resolve(shard string, request *shardRequest) {
	if owner, ok := r.table.Owner(shard); ok {
		request.reply <- owner
		return
	}
	queue := r.queues[shard]
	if queue == nil {
		queue = &waitQueue[*shardRequest]{max: maxQueuedAtShard}
		r.queues[shard] = queue
	}
	if !queue.push(request) {
		close(request.reply)
	}
}

// dispatch answers what waited for shards that have an owner again, and what has run out of time.
func (r *shardRouter) dispatch(now float64) {
	for shard, queue := range r.queues {
		owner, ok := r.table.Owner(shard)
		queue.removeIf(func(request *shardRequest) bool {
			switch {
			case ok:
				request.reply <- owner
			case now >= request.deadline:
				close(request.reply)
			default:
				return false
			}
			return true
		})
		if queue.len() == 0 {
			delete(r.queues, shard)
		}
	}
}

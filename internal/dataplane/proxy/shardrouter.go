package proxy

import (
	"weirwind/internal/shard/shardmap"
)

const maxQueuedPerShard = 4000 // requests that may wait for the owner of one shard

// shardRouter owns the routing table of the shards and the requests that wait for a shard without an owner. It belongs
// to the router's goroutine.
type shardRouter struct {
	table  *shardmap.RoutingTable
	queues map[string]*waitQueue[*shardRequest] // by shard, only for shards with waiting requests
}

// shardRequest is a request for the node that owns a shard.
type shardRequest struct {
	deadline float64                  // milliseconds
	reply    chan shardmap.Assignment // closed without an answer if there is no owner in time
}

func newShardRouter() *shardRouter {
	return &shardRouter{table: shardmap.NewRoutingTable(), queues: map[string]*waitQueue[*shardRequest]{}}
}

// resolve answers a request with the shard's owner, or queues it until there is an owner.
func (r *shardRouter) resolve(shard string, request *shardRequest) {
	if owner, ok := r.table.Owner(shard); ok {
		request.reply <- owner
		return
	}
	queue := r.queues[shard]
	if queue == nil {
		queue = &waitQueue[*shardRequest]{max: maxQueuedPerShard}
		r.queues[shard] = queue
	}
	if !queue.push(request) {
		close(request.reply)
	}
}

// dispatch answers the queued requests for shards that have an owner again, and rejects those past their deadline.
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

package controlplane

import (
	"encoding/json"
	"net/http"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/shard/shardmap"
	"weirwind/internal/shard/shardnode"
)

// shardsResource serves the calls that read and change the shard map.
type shardsResource struct{ server *Server }

// ShardsView is the body of GET /shards. Only the leader knows the nodes' reports and the transfers in progress.
type ShardsView struct {
	Leading     bool                        `json:"leads"`
	Leader      string                      `json:"leader"` // control address; empty if unknown
	Map         *shardmap.Map               `json:"map"`
	Nodes       map[string]shardnode.Report `json:"nodes,omitempty"`
	Transfers   map[string]string           `json:"runs,omitempty"` // state by shard
	BytesMoved  int64                       `json:"moved"`
	WriteGapsMs []float64                   `json:"gapsMs,omitempty"` // time without service in the newest hand-overs
	Progress    []progressPoint             `json:"points,omitempty"`
}

// change handles an operator's change, which is JSON. Changes that only the rebalancer may propose are rejected.
func (s *shardsResource) change(w http.ResponseWriter, r *http.Request) {
	var change shardmap.Change
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOperatorBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		text := shardmap.WithPublishedTypes(err).Error()
		writeError(w, &invalidCallError{"the change can't be read: " + text})
		return
	}
	switch change.Kind {
	case shardmap.ChangeHandOver, shardmap.ChangeRollBack, shardmap.ChangeEndTask:
		writeError(w, &invalidCallError{"that is said by who moves shards"})
		return
	}
	writeAnswer(w, s.server.submit(controlmsg.Request{ShardChange: &change}), contentTypeText)
}

// show answers with the shard map and its transfers from the soft state, and the leader from the loop.
func (s *shardsResource) show(w http.ResponseWriter, _ *http.Request) {
	var view ShardsView
	err := s.server.state.call(func() { view = s.server.state.shardsView() })
	if err != nil {
		return
	}
	view.Leader, _ = callLoop(s.server.loop, func() string { // "" if the loop does not answer
		leader, _ := s.server.loop.node.Leader()
		return leader.Addr
	})
	s.server.setContactHeader(w)
	w.Header().Set(headerContentType, contentTypeJSON)
	_ = json.NewEncoder(w).Encode(view)
}

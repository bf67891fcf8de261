package driver

import (
	"context"
	"time"

	"weirwind/internal/discovery"
	"weirwind/internal/roster"
	"weirwind/logic"
)

const (
	// watchTimeout is how long discovery may keep a watch waiting, and discoveryTimeout ends a call: a connection that
	// fell silent is found out, and the list counts as received, within 2 s after the wait.
	watchTimeout     = 1500 * time.Millisecond
	discoveryTimeout = 1700 * time.Millisecond
)

// watchDiscovery watches discovery's list from each request of the module until a call fails. A call follows an answer
// at once, so that no change is missed in between.
func (s *Service) watchDiscovery(ctx context.Context) {
	defer s.discovery.Close()
	complete := s.registryConfig != nil // whether a complete list is needed, whatever is held already
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.listRequested:
		}
		for ok := true; ok; {
			complete, ok = s.callDiscovery(ctx, complete)
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// callDiscovery makes one call, and says whether the next has to be for a complete list, and whether to go on. Where
// discovery has moved, the call that is out ends at once, and the next one starts with a complete list.
func (s *Service) callDiscovery(ctx context.Context, complete bool) (nextComplete, ok bool) {
	call, cancel := context.WithCancel(ctx)
	complete = s.takeMove(cancel) || complete
	var response discovery.Response
	var err error
	if complete {
		response, err = s.discovery.List(call)
	} else {
		response, err = s.discovery.Watch(call, s.discoveryRevision(), watchTimeout)
	}
	cancel()
	switch {
	case ctx.Err() != nil:
		return complete, false
	case err != nil && s.movePending():
		return complete, true
	case err != nil:
		s.counters.ListsFailed.Add(1)
		s.sourceDisconnected(roster.SourceDiscovery)
		s.log.Warn("list_failed", "error", err)
		s.decider.updateMembership(logic.ListFailed, nil)
		return complete, false
	}
	s.counters.Lists.Add(1)
	held := s.discoveryRevision()
	if s.updateMembership(discoveryUpdate(response)) != roster.VerdictGap {
		return false, true
	}
	s.log.Warn("list_went_back", "from", held, "to", response.Revision)
	return true, true
}

// moveDiscovery has the watch follow discovery to another address. The caller holds discoveryMu.
func (s *Service) moveDiscovery(address string) {
	s.newDiscovery = address
	if s.cancelDiscoveryCall != nil {
		s.cancelDiscoveryCall()
	}
	s.requestList()
}

// takeMove makes calls go to where discovery has moved, and cancel end the call to come.
func (s *Service) takeMove(cancel func()) (moved bool) {
	s.discoveryMu.Lock()
	defer s.discoveryMu.Unlock()
	if s.cancelDiscoveryCall = cancel; s.newDiscovery == "" {
		return false
	}
	s.discovery.Close()
	s.discovery.Address, s.newDiscovery = s.newDiscovery, ""
	return true
}

// movePending says whether discovery has moved since the last call began.
func (s *Service) movePending() bool {
	s.discoveryMu.Lock()
	defer s.discoveryMu.Unlock()
	return s.newDiscovery != ""
}

package driver

import (
	"context"
	"time"

	"weirwind/internal/discovery"
	"weirwind/internal/roster"
	"weirwind/logic"
)

const (
	// watchTimeout is how long discovery may delay the response to a watch. A call ends discoveryTimeout after that, so
	// that within 2 s after the wait either a list is received or a dead connection is detected.
	watchTimeout     = 1500 * time.Millisecond
	discoveryTimeout = 1700 * time.Millisecond
)

// watchDiscovery watches discovery's list, from each request of the module until a call fails. Each response is
// followed by the next call at once, so that no change is missed in between.
func (s *Service) watchDiscovery(ctx context.Context) {
	defer s.discovery.Close()
	complete := s.registryConfig != nil // whether to request a complete list, even if there is a known revision
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.listRequested:
		}
		for continueWatch := true; continueWatch; {
			complete, continueWatch = s.callDiscovery(ctx, complete)
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// callDiscovery makes one call. It reports whether the next call has to request a complete list, and whether to
// continue the watch. If the address of discovery changes, the current call ends at once and the next one requests a
// complete list.
func (s *Service) callDiscovery(ctx context.Context, complete bool) (nextComplete, continueWatch bool) {
	callCtx, cancel := context.WithCancel(ctx)
	complete = s.applyDiscoveryAddress(cancel) || complete
	var response discovery.Response
	var err error
	if complete {
		response, err = s.discovery.List(callCtx)
	} else {
		response, err = s.discovery.Watch(callCtx, s.discoveryRevision(), watchTimeout)
	}
	cancel()
	switch {
	case ctx.Err() != nil:
		return complete, false
	case err != nil && s.discoveryAddressChanged():
		return complete, true
	case err != nil:
		s.counters.ListsFailed.Add(1)
		s.sourceDisconnected(roster.SourceDiscovery)
		s.log.Warn("list_failed", "error", err)
		s.decider.updateMembership(logic.ListFailed, nil)
		return complete, false
	}
	s.counters.Lists.Add(1)
	previous := s.discoveryRevision()
	if s.updateMembership(discoveryUpdate(response)) != roster.VerdictGap {
		return false, true
	}
	s.log.Warn("list_went_back", "from", previous, "to", response.Revision)
	return true, true
}

// setDiscoveryAddress makes the watch switch to another address of discovery. The caller holds discoveryMu.
func (s *Service) setDiscoveryAddress(address string) {
	s.newDiscoveryAddress = address
	if s.cancelDiscoveryCall != nil {
		s.cancelDiscoveryCall()
	}
	s.requestList()
}

// applyDiscoveryAddress switches to a new address of discovery, if there is one, and registers cancel to end the next
// call.
func (s *Service) applyDiscoveryAddress(cancel func()) (changed bool) {
	s.discoveryMu.Lock()
	defer s.discoveryMu.Unlock()
	if s.cancelDiscoveryCall = cancel; s.newDiscoveryAddress == "" {
		return false
	}
	s.discovery.Close()
	s.discovery.Address, s.newDiscoveryAddress = s.newDiscoveryAddress, ""
	return true
}

// discoveryAddressChanged reports whether the address of discovery has changed since the last call began.
func (s *Service) discoveryAddressChanged() bool {
	s.discoveryMu.Lock()
	defer s.discoveryMu.Unlock()
	return s.newDiscoveryAddress != ""
}

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
func (v *Service) watchDiscovery(ctx context.Context) {
	defer v.discovery.Close()
	complete := v.registryConfig != nil // whether a complete list is needed, whatever is held already
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.listRequested:
		}
		for ok := true; ok; {
			complete, ok = v.callDiscovery(ctx, complete)
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// callDiscovery makes one call, and says whether the next has to be for a complete list, and whether to go on. Where
// discovery has moved, the call that is out ends at once, and the next one starts with a complete list.
func (v *Service) callDiscovery(ctx context.Context, complete bool) (nextComplete, ok bool) {
	call, cancel := context.WithCancel(ctx)
	complete = v.takeMove(cancel) || complete
	var response discovery.Response
	var err error
	if complete {
		response, err = v.discovery.List(call)
	} else {
		response, err = v.discovery.Watch(call, v.discoveryRevision(), watchTimeout)
	}
	cancel()
	switch {
	case ctx.Err() != nil:
		return complete, false
	case err != nil && v.movePending():
		return complete, true
	case err != nil:
		v.counters.ListsFailed.Add(1)
		v.sourceDisconnected(roster.SourceDiscovery)
		v.log.Warn("list_failed", "error", err)
		v.decider.updateMembership(logic.ListFailed, nil)
		return complete, false
	}
	v.counters.Lists.Add(1)
	held := v.discoveryRevision()
	if v.updateMembership(discoveryUpdate(response)) != roster.VerdictGap {
		return false, true
	}
	v.log.Warn("list_went_back", "from", held, "to", response.Revision)
	return true, true
}

// moveDiscovery has the watch follow discovery to another address. The caller holds discoveryMu.
func (v *Service) moveDiscovery(address string) {
	v.newDiscovery = address
	if v.cancelDiscoveryCall != nil {
		v.cancelDiscoveryCall()
	}
	v.requestList()
}

// takeMove makes calls go to where discovery has moved, and cancel end the call to come.
func (v *Service) takeMove(cancel func()) (moved bool) {
	v.discoveryMu.Lock()
	defer v.discoveryMu.Unlock()
	if v.cancelDiscoveryCall = cancel; v.newDiscovery == "" {
		return false
	}
	v.discovery.Close()
	v.discovery.Address, v.newDiscovery = v.newDiscovery, ""
	return true
}

// movePending says whether discovery has moved since the last call began.
func (v *Service) movePending() bool {
	v.discoveryMu.Lock()
	defer v.discoveryMu.Unlock()
	return v.newDiscovery != ""
}

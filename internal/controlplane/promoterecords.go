package controlplane

import (
	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/failover"
	"weirwind/internal/member/wire"
	"weirwind/internal/util/events"
)

// This file replicates the records of promotes that may take effect, and reads them for the controllers of failovers.

// recordPromote proposes a service's record. The controller asks for it until it is committed.
func (f *failovers) recordPromote(service string, record failover.PromoteRecord) {
	loop, promote := f.owner.server.loop, encodePromote(record)
	loop.offer(func() {
		if loop.proposeChange(func(s *config.State) *config.State { return s.WithPromote(service, promote) }) {
			f.owner.server.log.Event(events.PromoteRecord, "svc", service, "number", record.Number, "to", record.Candidate,
				"from", record.OldPrimary, "repeated", record.Repeated, "accepted", record.Accepted)
		}
	})
}

// clearPromote proposes to remove a service's record. The controller asks for it until that is committed.
func (f *failovers) clearPromote(service string, record failover.PromoteRecord) {
	loop := f.owner.server.loop
	loop.offer(func() {
		if loop.proposeChange(func(s *config.State) *config.State { return s.WithoutPromote(service, record.Number) }) {
			f.owner.server.log.Event(events.PromoteRecord, "svc", service, "number", record.Number, "to", record.Candidate,
				"resolved", true)
		}
	})
}

// pendingPromote returns a service's committed record, nil if there is none.
func (s *softState) pendingPromote(service string) *failover.PromoteRecord {
	promote, found := s.committed.Promotes[service]
	if !found {
		return nil
	}
	return &failover.PromoteRecord{Number: promote.Number, Candidate: promote.Candidate, OldPrimary: promote.OldPrimary,
		Position: wire.Position{Term: promote.PositionTerm, Number: promote.PositionNumber}, Term: promote.Term,
		Repeated: promote.Repeated, Accepted: promote.Accepted}
}

func encodePromote(record failover.PromoteRecord) config.Promote {
	return config.Promote{Number: record.Number, Candidate: record.Candidate, OldPrimary: record.OldPrimary,
		PositionTerm: record.Position.Term, PositionNumber: record.Position.Number, Term: record.Term,
		Repeated: record.Repeated, Accepted: record.Accepted}
}

package zones

// This file implements the Paxos acceptor. It must never promise or accept a ballot below the one promised, or vote if
// an earlier vote may have been forgotten.

// receivePrepare answers a Prepare (phase 1a).
func (c *consensus) receivePrepare(now float64, msg *Message, reply func(Message)) {
	if !c.mayVote(now) || !c.isVoter() {
		return
	}
	answer := msg.answer(Reject)
	answer.Ballot = c.acceptor.Promised
	if c.acceptor.Prepare(msg.Ballot) {
		c.unsaved = true
		answer.Kind, answer.Ballot = Promise, msg.Ballot
		answer.Accepted, answer.Plan = c.acceptor.Accepted, c.acceptor.Value
	}
	reply(answer)
}

// receiveAccept answers an Accept (phase 2a). Voters of the proposed plan accept it even if the current plan lacks
// them.
func (c *consensus) receiveAccept(now float64, msg *Message, reply func(Message)) {
	if msg.Plan == nil || msg.Plan.Epoch != c.plan.Epoch+1 || msg.Plan.BaseSum != c.planSum || !c.mayVote(now) {
		return
	}
	answer := msg.answer(Reject)
	answer.Ballot = c.acceptor.Promised
	if c.acceptor.Accept(msg.Ballot, msg.Plan) {
		c.acceptedAt, c.unsaved = now, true
		answer.Kind, answer.Ballot = Accepted, msg.Ballot
	}
	reply(answer)
}

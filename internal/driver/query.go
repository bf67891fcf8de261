package driver

import (
	"bytes"

	"weirwind/internal/pgwire"
)

// answer finds the answer to one message: nil for none. Where the connection is to end there is a reason.
func (c *client) answer(msg message) (answer []byte, endReason clientClose) {
	switch msg.kind {
	case 'Q':
		if c.skipUntilSync = false; msg.overBudget || msg.overPipelined {
			c.service.counters.BusyReplied.Add(1)
			return busyAnswer(0), clientGoesOn
		}
		return c.query(msg.body)
	case 'P', 'B', 'D', 'E', 'C': // the extended protocol: one error, then nothing up to Sync
		if c.skipUntilSync {
			return nil, clientGoesOn
		}
		c.skipUntilSync = true
		c.service.counters.BadInput.Add(1)
		return unsupportedAnswer, clientGoesOn
	case 'S':
		c.skipUntilSync = false
		return pgwire.AppendReadyForQuery(nil), clientGoesOn
	case 'F':
		c.service.counters.BadInput.Add(1)
		return pgwire.AppendReadyForQuery(bytes.Clone(unsupportedAnswer)), clientGoesOn
	case 'H', 'd', 'c', 'f':
		return nil, clientGoesOn
	}
	c.service.counters.BadInput.Add(1)
	c.write(pgwire.AppendErrorResponse(nil, "FATAL", pgwire.CodeProtocolViolation, "unknown kind of message", ""))
	return nil, clientFramingLost
}

// query answers a simple query; nil with a reason where the client has left meanwhile.
func (c *client) query(body []byte) (answer []byte, endReason clientClose) {
	text, ok := pgwire.QueryText(body)
	if !ok {
		return c.badInput(pgwire.CodeProtocolViolation, "a query's text ends in one zero byte"), clientGoesOn
	}
	if len(bytes.TrimSpace(text)) == 0 {
		return pgwire.AppendReadyForQuery(pgwire.AppendEmptyQuery(nil)), clientGoesOn
	}
	statement, err := pgwire.ParseStatement(text)
	if err != nil {
		return c.badInput(pgwire.CodeProtocolViolation, err.Error()), clientGoesOn
	}
	opType, ok := c.service.decider.knows(statement.OpType, statement.Group)
	if !ok {
		return c.badInput(pgwire.CodeInvalidParameterValue, "unknown op type or group"), clientGoesOn
	}
	c.ops++
	if answer = c.service.perform(newOp(opType, statement), c.disconnected); answer == nil {
		return nil, c.endReason
	}
	return answer, clientGoesOn
}

func (c *client) badInput(code, text string) (answer []byte) {
	c.service.counters.BadInput.Add(1)
	return errorAnswer(code, text)
}

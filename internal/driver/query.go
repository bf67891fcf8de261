package driver

import (
	"bytes"

	"weirwind/internal/pgwire"
)

// answer returns the answer to one message, nil if there is none, and a reason if the connection has to end.
func (c *client) answer(msg message) (answer []byte, endReason clientClose) {
	switch msg.kind {
	case 'Q':
		if c.skipUntilSync = false; msg.overBudget || msg.overPipelined {
			c.service.counters.BusyReplied.Add(1)
			return busyAnswer(0), clientOpen
		}
		return c.query(msg.body)
	case 'P', 'B', 'D', 'E', 'C': // extended protocol: one error, then no answer until Sync
		if c.skipUntilSync {
			return nil, clientOpen
		}
		c.skipUntilSync = true
		c.service.counters.BadInput.Add(1)
		return unsupportedAnswer, clientOpen
	case 'S':
		c.skipUntilSync = false
		return pgwire.AppendReadyForQuery(nil), clientOpen
	case 'F':
		c.service.counters.BadInput.Add(1)
		return pgwire.AppendReadyForQuery(bytes.Clone(unsupportedAnswer)), clientOpen
	case 'H', 'd', 'c', 'f':
		return nil, clientOpen
	}
	c.service.counters.BadInput.Add(1)
	c.write(pgwire.AppendErrorResponse(nil, "FATAL", pgwire.CodeProtocolViolation, "unknown kind of message", ""))
	return nil, clientFramingError
}

// query returns the answer to a simple query, or nil and a reason if the client has disconnected meanwhile.
func (c *client) query(body []byte) (answer []byte, endReason clientClose) {
	text, ok := pgwire.QueryText(body)
	if !ok {
		return c.badInput(pgwire.CodeProtocolViolation, "a query's text ends in one zero byte"), clientOpen
	}
	if len(bytes.TrimSpace(text)) == 0 {
		return pgwire.AppendReadyForQuery(pgwire.AppendEmptyQuery(nil)), clientOpen
	}
	statement, err := pgwire.ParseStatement(text)
	if err != nil {
		return c.badInput(pgwire.CodeProtocolViolation, err.Error()), clientOpen
	}
	opType, ok := c.service.decider.lookupOpType(statement.OpType, statement.Group)
	if !ok {
		return c.badInput(pgwire.CodeInvalidParameterValue, "unknown op type or group"), clientOpen
	}
	c.opCount++
	if answer = c.service.perform(newOp(opType, statement), c.disconnected); answer == nil {
		return nil, c.endReason
	}
	return answer, clientOpen
}

func (c *client) badInput(code, text string) (answer []byte) {
	c.service.counters.BadInput.Add(1)
	return errorAnswer(code, text)
}

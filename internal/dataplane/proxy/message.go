package proxy

import (
	"weirwind/internal/controlplane/config"
	"weirwind/internal/dataplane/group"
	"weirwind/internal/dataplane/sessionstate"
	"weirwind/internal/member/wire"
)

// internalQueryID is the id of queries that the proxy itself makes. No client may use it.
const internalQueryID = wire.NoStamp

// statement is a client's statement that a member runs: COMMIT, a read or a write.
type statement struct {
	id, text   string // unchanged from the client's QUERY
	parsed     wire.Statement
	receivedAt float64 // milliseconds
}

// handleMessage processes a message from the client and buffers the answer. It returns false if the session ends.
func (s *session) handleMessage(line string) bool {
	word, rest := wire.CutField(line)
	if word == wire.MsgBye {
		return false
	}
	id, text := wire.CutField(rest)
	if word != wire.MsgQuery || id == "" || text == "" {
		s.rejectSession(errQueryExpected)
		return false
	}
	parsed := wire.ParseStatement(text)
	if s.tx != nil && s.refusesStatements() && parsed.Verb != "COMMIT" {
		s.failIdleTransaction()
	}
	switch {
	case !parsed.Valid || id == internalQueryID:
		s.replyError(errInvalidText, s.state())
	case s.tx != nil && s.tx.failed:
		s.handleInFailedTransaction(parsed.Verb)
	default:
		s.handleStatement(id, text, parsed)
	}
	return true
}

// handleInFailedTransaction answers a statement in a failed transaction, where only COMMIT and ABORT are accepted.
func (s *session) handleInFailedTransaction(verb string) {
	switch verb {
	case "ABORT":
		s.tx = nil
		s.replyDone()
	case "COMMIT":
		s.tx = nil
		s.replyError(errFailedTransactionCommit, wire.StateIdle)
	default:
		err := s.tx.unreportedError
		if err == nil {
			err = errTransactionFailed
		}
		s.tx.unreportedError = nil
		s.replyError(err, wire.StateFailedTransaction)
	}
}

// handleStatement runs a statement: in the session if it only changes the session's state, else at a member.
func (s *session) handleStatement(id, text string, parsed wire.Statement) {
	switch parsed.Verb {
	case "SET":
		s.replyResult(s.sessionState.SetValue(parsed.Name, parsed.Args), errTooManyValues)
	case "PREP":
		prepared := sessionstate.Statement{Kind: parsed.PreparedVerb, Text: parsed.Args}
		s.replyResult(s.sessionState.Prepare(parsed.Name, prepared), errTooManyPrepared)
	case "UNPREP":
		if !s.sessionState.Unprepare(parsed.Name) {
			s.replyError(statementError(parsed.Name), s.state())
			return
		}
		s.replyDone()
	case "BEGIN":
		s.begin(id, text, parsed.ReadOnly)
	case "ABORT":
		s.abort()
	default:
		s.runStatement(&statement{id: id, text: text, parsed: parsed, receivedAt: s.proxy.now()})
	}
}

// replyResult answers a statement that only changes the session's state, with the failure unless ok.
func (s *session) replyResult(ok bool, failure error) {
	if !ok {
		s.replyError(failure, s.state())
		return
	}
	s.replyDone()
}

// runStatement runs a statement at a member, inside the open transaction or as a single statement.
func (s *session) runStatement(st *statement) {
	switch st.parsed.Verb {
	case "COMMIT":
		if s.tx == nil {
			s.replyError(errNoTransaction, wire.StateIdle)
			return
		}
	case "EXEC":
		if _, known := s.sessionState.Prepared(st.parsed.Name); !known {
			s.replyError(statementError(st.parsed.Name), s.state())
			return
		}
	}
	if s.tx != nil {
		s.runInTransaction(st)
		return
	}
	if route, tenant, ok := s.startOperation(); ok {
		s.runSingle(st, route, tenant)
	}
}

// startOperation returns the route and the tenant of a new single statement or transaction. If it may not start, the
// client is answered and ok is false.
func (s *session) startOperation() (route *config.Route, tenant string, ok bool) {
	if s.refusesStatements() {
		s.replyError(errRetryLater, wire.StateIdle)
		return nil, "", false
	}
	route = s.route()
	if route == nil {
		s.replyError(databaseError(s.host), wire.StateIdle)
		return nil, "", false
	}
	tenant, err := s.tenantFor(route)
	if err != nil {
		s.deny()
		return nil, "", false
	}
	return route, tenant, true
}

// route returns the route of the session's host in the current configuration, nil if there is none. A single statement,
// or a whole transaction, keeps the route that it started with.
func (s *session) route() *config.Route {
	if cfg := s.proxy.config.Load(); cfg != nil {
		return cfg.RouteForHost(s.host)
	}
	return nil
}

// isWrite reports whether a statement writes.
func (s *session) isWrite(st *statement) bool {
	if st.parsed.Verb == "EXEC" {
		prepared, _ := s.sessionState.Prepared(st.parsed.Name)
		return prepared.Kind == "STORE"
	}
	return st.parsed.Verb == "STORE"
}

// readRequirement returns what a read, or a read-only transaction, must see if it began at startedAt.
func (s *session) readRequirement(route *config.Route, startedAt float64) group.Requirement {
	switch {
	case route.Shard != "":
	case route.Consistency == config.ConsistencyBoundedStaleness:
		return group.Requirement{AckedBefore: startedAt - route.MaxStaleness}
	case route.Consistency == config.ConsistencySession:
		// Writes that the client made before this session, perhaps through another proxy, were acknowledged before the
		// session started.
		return group.Requirement{AckedBefore: max(startedAt-route.MaxStaleness, s.startedAt),
			SessionCommit: s.lastCommit, SessionCommitAt: s.lastCommitAt}
	}
	return group.Requirement{Linearizable: true}
}

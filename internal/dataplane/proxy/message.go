package proxy

import (
	"weirwind/internal/controlplane/config"
	"weirwind/internal/dataplane/group"
	"weirwind/internal/dataplane/sessionstate"
	"weirwind/internal/member/wire"
)

// internalQueryID is the id of the proxy's own queries to members. No client may use it.
const internalQueryID = wire.NoStamp

// statement is what a client wants to be run: BEGIN, COMMIT, or what reads or writes.
type statement struct {
	id, text   string // as the client sent them
	parsed     wire.Statement
	receivedAt float64 // milliseconds
}

// handleMessage carries out a message of the client and collects its answer. false: the session ends.
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
	if s.tx != nil && s.refuses() && parsed.Verb != "COMMIT" {
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

// handleInFailedTransaction answers in a transaction that has failed: only COMMIT or ABORT is accepted.
func (s *session) handleInFailedTransaction(verb string) {
	switch verb {
	case "ABORT":
		s.tx = nil
		s.replyDone()
	case "COMMIT":
		s.tx = nil
		s.replyError(errCommitOfFailed, wire.StateIdle)
	default:
		err := s.tx.unreported
		if err == nil {
			err = errTransactionFailed
		}
		s.tx.unreported = nil
		s.replyError(err, wire.StateFailedTransaction)
	}
}

// handleStatement carries out a statement: by the session alone if it only changes the session's state, else by a
// member.
func (s *session) handleStatement(id, text string, parsed wire.Statement) {
	switch parsed.Verb {
	case "SET":
		s.replyResult(s.kept.SetValue(parsed.Name, parsed.Args), errTooManyValues)
	case "PREP":
		prepared := sessionstate.Statement{Kind: parsed.PreparedVerb, Text: parsed.Args}
		s.replyResult(s.kept.Prepare(parsed.Name, prepared), errTooManyPrepared)
	case "UNPREP":
		if !s.kept.Unprepare(parsed.Name) {
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

// replyResult answers a statement that only changes the session's state.
func (s *session) replyResult(ok bool, otherwise error) {
	if !ok {
		s.replyError(otherwise, s.state())
		return
	}
	s.replyDone()
}

// runStatement has a member run a statement, inside the open transaction or on its own.
func (s *session) runStatement(st *statement) {
	switch st.parsed.Verb {
	case "COMMIT":
		if s.tx == nil {
			s.replyError(errNoTransaction, wire.StateIdle)
			return
		}
	case "EXEC":
		if _, known := s.kept.Prepared(st.parsed.Name); !known {
			s.replyError(statementError(st.parsed.Name), s.state())
			return
		}
	}
	if s.tx != nil {
		s.runInTransaction(st)
		return
	}
	if s.refuses() {
		s.replyError(errRetryLater, wire.StateIdle)
		return
	}
	route := s.route()
	if route == nil {
		s.replyError(databaseError(s.host), wire.StateIdle)
		return
	}
	tenant, err := s.tenantFor(route)
	if err != nil {
		s.deny()
		return
	}
	s.runSingle(st, route, tenant)
}

// route is the host's in the configuration of the moment, nil for none any more. It binds a single statement, or a
// whole transaction.
func (s *session) route() *config.Route {
	if cfg := s.proxy.config.Load(); cfg != nil {
		return cfg.RouteForHost(s.host)
	}
	return nil
}

// writes says whether a statement writes.
func (s *session) writes(st *statement) bool {
	if st.parsed.Verb == "EXEC" {
		prepared, _ := s.kept.Prepared(st.parsed.Name)
		return prepared.Kind == "STORE"
	}
	return st.parsed.Verb == "STORE"
}

// readRequirement is what a read, or a transaction that only reads, must see if it began at startedAt.
func (s *session) readRequirement(route *config.Route, startedAt float64) group.Requirement {
	switch {
	case route.Shard != "":
	case route.Consistency == config.ConsistencyBoundedStaleness:
		return group.Requirement{AckedBefore: startedAt - route.MaxStaleness}
	case route.Consistency == config.ConsistencySession:
		// What the client wrote before this session began, perhaps at another proxy, was acknowledged before it began.
		return group.Requirement{AckedBefore: max(startedAt-route.MaxStaleness, s.startedAt),
			SessionCommit: s.lastCommit, SessionCommitAt: s.lastCommitAt}
	}
	return group.Requirement{Linearizable: true}
}

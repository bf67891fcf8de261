package soak

// This file has the clients, which use each session until it ends.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"weirwind/internal/member/wire"
)

// route is a route that clients use, with the maximum staleness of its reads.
type route struct {
	name           string // name of the route and of its host
	kind           string // the route's type in the configuration
	maxStale       time.Duration
	readsOwnWrites bool // reads must see the session's own writes
	writes         bool
}

var routes = []route{
	{name: "prim", kind: "primary", writes: true},
	{name: "stale", kind: "stale_ok", maxStale: 1500 * time.Millisecond},
	{name: "self", kind: "self", maxStale: 2500 * time.Millisecond, readsOwnWrites: true, writes: true},
}

const (
	routeTimeout  = 3 * time.Second // of a statement
	answerTimeout = 4 * time.Second // a client's deadline: by then a statement is answered or its connection has ended
	dialTimeout   = 2 * time.Second
	attachTimeout = 2 * time.Second
	redialDelay   = 50 * time.Millisecond

	maxStatementPause = 60 * time.Millisecond // maximum pause between two statements of a transaction
	preparedName      = "ps"                  // the name of every session's prepared statement

	idleInTransactionTimeout = 2800 * time.Millisecond // txIdleMs of the configuration
	maxCommitPause           = 3 * time.Second         // maximum rest before the end of a transaction
)

// thinkTimes are clients' maximum pauses between operations: some clients never pause, some are mostly idle.
var thinkTimes = []time.Duration{0, 60 * time.Millisecond, 2 * time.Second}

// errSessionEnded is returned when a connection ends before an answer is complete.
var errSessionEnded = errors.New("the session has ended")

// client opens a session, uses it until it ends, and opens the next one.
type client struct {
	run          *run
	random       *rand.Rand
	name         string
	route        route
	queries      int
	key          string
	maxThinkTime time.Duration // maximum pause between two operations

	conn       net.Conn
	reader     *wire.Reader
	proxy      string
	prepared   bool
	lastCommit *commit   // the session's last acknowledged commit
	state      string    // transaction state in the last READY message
	answeredAt time.Time // of the session's last READY message
}

// serve uses sessions until the context is done.
func (c *client) serve(ctx context.Context) {
	for n := c.random.IntN(c.run.shape.Fronts); ctx.Err() == nil; n++ {
		if !c.attach(n % c.run.shape.Fronts) {
			pause(ctx, redialDelay)
			continue
		}
		for ctx.Err() == nil && c.runOperation(ctx) {
			c.randomPause(ctx, c.maxThinkTime)
		}
		_ = c.conn.Close()
	}
}

// randomPause pauses for a random time below longest; not at all if longest is 0.
func (c *client) randomPause(ctx context.Context, longest time.Duration) {
	if longest > 0 {
		pause(ctx, time.Duration(c.random.Int64N(int64(longest))))
	}
}

// pause waits for a duration, or until the context is done.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// attach opens a session at a proxy.
func (c *client) attach(front int) bool {
	c.proxy, c.prepared, c.lastCommit, c.state = proxyName(front), false, nil, "I"
	conn, err := net.DialTimeout("tcp4", c.run.deployment.ProxyAddr(front), dialTimeout)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, wire.NewReader(conn)
	_ = conn.SetDeadline(time.Now().Add(attachTimeout)) // an error comes back from the read
	if _, err := fmt.Fprintf(conn, "ATTACH %s u1\r\n", c.route.name); err == nil {
		if line, err := c.reader.ReadMessage(); err == nil && line == "READY I -" {
			c.answeredAt = time.Now()
			return true
		}
	}
	_ = conn.Close()
	return false
}

// nextID returns a statement id that is unique in the soak.
func (c *client) nextID() string {
	c.queries++
	return fmt.Sprintf("%s.%d", c.name, c.queries)
}

// runOperation runs a random operation. It returns false if the session has ended.
func (c *client) runOperation(ctx context.Context) bool {
	var err error
	switch n := c.random.IntN(10); {
	case !c.prepared && n < 2:
		err = c.prepare()
	case n < 5:
		err = c.read()
	case n < 8 && c.route.writes:
		err = c.write()
	default:
		err = c.transaction(ctx)
	}
	if err == nil && c.state != "I" {
		_, err = c.query(c.nextID(), "ABORT")
	}
	return err == nil
}

func (c *client) prepare() error {
	verb := "FETCH"
	if c.route.writes {
		verb = "STORE"
	}
	answer, err := c.query(c.nextID(), "PREP "+preparedName+" "+verb+" shape")
	c.prepared = err == nil && strings.HasPrefix(answer, "DONE")
	return err
}

// requiredCommit returns the commit that a read which is sent now must see; nil if there is none.
func (c *client) requiredCommit() *commit {
	required := c.run.ledger.newestBefore(time.Now().Add(-c.route.maxStale))
	if own := c.lastCommit; c.route.readsOwnWrites && own != nil && (required == nil || required.number < own.number) {
		return own
	}
	return required
}

func (c *client) read() error {
	text := "FETCH " + c.key
	if c.prepared && !c.route.writes {
		text = "EXEC " + preparedName + " " + c.key
	}
	return c.fetch(text, c.requiredCommit())
}

// fetch runs a read that must see the required commit.
func (c *client) fetch(text string, required *commit) error {
	id := c.nextID()
	defer c.run.ledger.beginRead(id, c.route.name, required)()
	answer, err := c.query(id, text)
	c.checkStamp(id, text, answer)
	c.count("read", answer, err)
	return err
}

func (c *client) write() error {
	id, text := c.nextID(), "STORE "+c.key+" "+c.value()
	if c.prepared {
		text = "EXEC " + preparedName + " " + c.key + " " + c.value()
	}
	c.run.ledger.recordSent(id)
	answer, err := c.query(id, text)
	c.checkStamp(id, text, answer)
	c.count("write", answer, err)
	c.resolve(id, answer)
	return err
}

// value returns a new value, which contains the client's key so that rows of other keys are recognised.
func (c *client) value() string { return c.key + "=" + fmt.Sprint(c.queries) }

func (c *client) resolve(id, answer string) {
	result := outcomeUnknown
	switch {
	case strings.HasPrefix(answer, "DONE"):
		result = outcomeAcked
	case guaranteesNoEffect(answer):
		result = outcomeRefused
	}
	if commit := c.run.ledger.resolve(id, result); commit != nil {
		c.lastCommit = commit
	}
}

// transaction runs a transaction of a few statements, with pauses, and commits it or rolls it back. Some rest before
// their end, so that the primary may have changed by then.
func (c *client) transaction(ctx context.Context) error {
	mayWrite, required := c.route.writes && c.random.IntN(3) > 0, c.requiredCommit()
	begin := "BEGIN"
	if !mayWrite {
		begin = "BEGIN FETCH"
	}
	answer, err := c.query(c.nextID(), begin)
	if err != nil || !strings.HasPrefix(answer, "DONE") {
		c.count("transaction", answer, err)
		return err
	}
	for range 1 + c.random.IntN(3) {
		c.randomPause(ctx, maxStatementPause)
		if mayWrite && c.random.IntN(2) == 0 {
			err = c.storeInTransaction()
		} else {
			err = c.fetch("FETCH "+c.key, required)
		}
		if err != nil || c.state != "T" {
			return err
		}
	}
	if c.random.IntN(4) == 0 {
		c.randomPause(ctx, maxCommitPause)
	}
	return c.endTransaction()
}

func (c *client) storeInTransaction() error {
	id, text := c.nextID(), "STORE "+c.key+" "+c.value()
	answer, err := c.query(id, text)
	c.checkStamp(id, text, answer)
	return err
}

func (c *client) endTransaction() error {
	id := c.nextID()
	c.run.ledger.recordSent(id)
	if c.random.IntN(5) == 0 {
		c.run.ledger.resolve(id, outcomeRollback)
		_, err := c.query(id, "ABORT")
		return err
	}
	answer, err := c.query(id, "COMMIT")
	c.checkStamp(id, "COMMIT", answer)
	c.count("transaction", answer, err)
	c.resolveCommit(id, answer)
	return err
}

// resolveCommit records the answer to a COMMIT. A successful one that wrote nothing is in no log and is ignored.
func (c *client) resolveCommit(id, answer string) {
	if strings.HasPrefix(answer, "DONE") && !c.run.ledger.isCommitted(id) {
		return
	}
	c.resolve(id, answer)
}

// query sends a statement, reads its answer and checks the answer's rows. It returns the line that is not a row.
func (c *client) query(id, text string) (answer string, err error) {
	sent := time.Now()
	_ = c.conn.SetDeadline(sent.Add(answerTimeout)) // an error comes back from the read
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return "", c.checkSessionEnd(id, text, sent, err)
	}
	var rows []string
	for {
		line, err := c.reader.ReadMessage()
		if err != nil {
			return "", c.checkSessionEnd(id, text, sent, err)
		}
		kind, rest := wire.CutField(line)
		switch kind {
		case wire.MsgReady:
			c.state, _ = wire.CutField(rest)
			c.answeredAt = time.Now()
			return answer, nil
		case wire.MsgRow:
			rows = append(rows, rest)
		default:
			answer = line
			c.checkRows(id, text, rows)
			if strings.Contains(line, "NOSTMT") {
				c.run.ledger.violate("pinned", "%s %s at %s: %s, though the PREP was acknowledged", id, text, c.proxy, line)
			}
		}
	}
}

// checkRows checks that rows have values of the client's key.
func (c *client) checkRows(id, text string, rows []string) {
	for _, row := range rows {
		if row != "" && !strings.HasPrefix(row, c.key+"=") {
			c.run.ledger.violate("mixed", "%s %s at %s: row %s", id, text, c.proxy, row)
		}
	}
}

// checkStamp checks that a successful answer ends with the id of its statement, which the member adds.
func (c *client) checkStamp(id, text, answer string) {
	if strings.HasPrefix(answer, "DONE") && !strings.HasSuffix(answer, "."+id) {
		c.run.ledger.violate("mixed", "%s %s at %s: %s", id, text, c.proxy, answer)
	}
}

// checkSessionEnd checks whether a connection that ended, or an answer that was not received in time, violates an
// invariant. It returns the error for the session's end.
func (c *client) checkSessionEnd(id, text string, sent time.Time, err error) error {
	now, l, j := time.Now(), c.run.ledger, c.run.journal
	since := sent.Add(-time.Second) // a process that was starved just before may not have caught up
	var timeout net.Error
	timedOut := errors.As(err, &timeout) && timeout.Timeout()
	frozen := j.disturbed(c.proxy, sent, now, KindFreeze)
	killed := j.disturbed(c.proxy, c.answeredAt, now, KindKill) // also while the client rested
	switch {
	case timedOut && !frozen:
		c.run.recordMissed(c.proxy, since, "no answer", "%s %s at %s: neither answer nor end within %v",
			id, text, c.proxy, answerTimeout)
	case timedOut, killed, frozen:
	case !j.disturbed(c.proxy, sent.Add(-contactTime), now, KindRestart):
		l.violate("cut", "%s %s at %s, which is not being stopped: %v after %v, %v after the last answer", id, text,
			c.proxy, err, now.Sub(sent), now.Sub(c.answeredAt))
	case (l.hasReached(id) || now.Sub(sent) > lossSlack) && j.faultFree(sent, now):
		c.run.recordMissed(c.proxy, since, "lost answer", "%s %s at %s: %v after %v, at a member: %v",
			id, text, c.proxy, err, now.Sub(sent), l.hasReached(id))
	}
	return fmt.Errorf("%w: %w", errSessionEnded, err)
}

// count counts an operation by its outcome.
func (c *client) count(what, answer string, err error) {
	result, _, _ := strings.Cut(answer, ".")
	switch {
	case err != nil:
		result = "ended"
	case strings.HasPrefix(answer, "DONE"):
		result = "done"
	}
	c.run.ledger.count(what + " " + result)
}

// guaranteesNoEffect reports whether an answer guarantees that its attempt had no effect.
func guaranteesNoEffect(answer string) bool {
	for _, code := range []string{"RETRY", "ABORTED", "LAGGING", "RDONLY", "WRONGHOST", "FULL"} {
		if strings.HasPrefix(answer, "FAIL "+code) {
			return true
		}
	}
	return false
}

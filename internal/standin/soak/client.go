package soak

// This file owns clients: sessions that are used until they break.

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

// route is what a client uses, and how old what it reads may be.
type route struct {
	name     string // of the route and its host
	kind     string
	maxStale time.Duration
	ownReads bool // what its session wrote is not to be older
	writes   bool
}

var routes = []route{
	{name: "prim", kind: "primary", writes: true},
	{name: "stale", kind: "stale_ok", maxStale: 1500 * time.Millisecond},
	{name: "self", kind: "self", maxStale: 2500 * time.Millisecond, ownReads: true, writes: true},
}

const (
	routeTimeout  = 3 * time.Second // of a statement
	answerTime    = 4 * time.Second // in which a statement is answered or its connection ends: a client's deadline
	dialTimeout   = 2 * time.Second
	attachTimeout = 2 * time.Second
	redialPause   = 50 * time.Millisecond

	transactionThink = 60 * time.Millisecond // between two statements of a transaction, at most
	prepared         = "ps"                  // the name of every session's prepared statement
)

// thinks are clients' longest pauses between operations: some never pause, some are mostly idle.
var thinks = []time.Duration{0, 60 * time.Millisecond, 2 * time.Second}

// errSessionEnded is the error of a connection that ended before an answer was whole.
var errSessionEnded = errors.New("the session has ended")

// client opens a session, uses it until it breaks, and opens the next.
type client struct {
	run     *run
	random  *rand.Rand
	name    string
	route   route
	queries int
	key     string
	think   time.Duration // the longest pause between two operations

	conn       net.Conn
	reader     *wire.Reader
	proxy      string
	prepared   bool
	lastCommit *commit // of this session
	state      string  // of the last READY
}

// serve uses sessions until the context ends.
func (c *client) serve(ctx context.Context) {
	for n := c.random.IntN(c.run.shape.Fronts); ctx.Err() == nil; n++ {
		if !c.attach(n % c.run.shape.Fronts) {
			pause(ctx, redialPause)
			continue
		}
		for ctx.Err() == nil && c.operate(ctx) {
			c.rest(ctx, c.think)
		}
		_ = c.conn.Close()
	}
}

// rest pauses for a time that is drawn, up to the longest; 0: not at all.
func (c *client) rest(ctx context.Context, longest time.Duration) {
	if longest > 0 {
		pause(ctx, time.Duration(c.random.Int64N(int64(longest))))
	}
}

// pause waits, less where the context ends.
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
			return true
		}
	}
	_ = conn.Close()
	return false
}

// nextID gives an id that no other statement of the soak has.
func (c *client) nextID() string {
	c.queries++
	return fmt.Sprintf("%s.%d", c.name, c.queries)
}

// operate runs an operation; false: the session has ended.
func (c *client) operate(ctx context.Context) bool {
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
		_, err = c.ask(c.nextID(), "ABORT")
	}
	return err == nil
}

func (c *client) prepare() error {
	verb := "FETCH"
	if c.route.writes {
		verb = "STORE"
	}
	answer, err := c.ask(c.nextID(), "PREP "+prepared+" "+verb+" shape")
	c.prepared = err == nil && strings.HasPrefix(answer, "DONE")
	return err
}

// mustSee is what a read that is sent now must see.
func (c *client) mustSee() *commit {
	must := c.run.ledger.newest(time.Now().Add(-c.route.maxStale))
	if own := c.lastCommit; c.route.ownReads && own != nil && (must == nil || must.number < own.number) {
		return own
	}
	return must
}

func (c *client) read() error {
	text := "FETCH " + c.key
	if c.prepared && !c.route.writes {
		text = "EXEC " + prepared + " " + c.key
	}
	return c.fetch(text, c.mustSee())
}

// fetch reads what must be as new as a commit.
func (c *client) fetch(text string, must *commit) error {
	id := c.nextID()
	defer c.run.ledger.reading(id, c.route.name, must)()
	answer, err := c.ask(id, text)
	c.checkStamp(id, text, answer)
	c.count("read", answer, err)
	return err
}

func (c *client) write() error {
	id, text := c.nextID(), "STORE "+c.key+" "+c.value()
	if c.prepared {
		text = "EXEC " + prepared + " " + c.key + " " + c.value()
	}
	c.run.ledger.sending(id)
	answer, err := c.ask(id, text)
	c.checkStamp(id, text, answer)
	c.count("write", answer, err)
	c.resolve(id, answer)
	return err
}

// value names its client's key, so that a row of another key is known.
func (c *client) value() string { return c.key + "=" + fmt.Sprint(c.queries) }

func (c *client) resolve(id, answer string) {
	out := outcomeUnknown
	switch {
	case strings.HasPrefix(answer, "DONE"):
		out = outcomeAcked
	case promisesNothingKept(answer):
		out = outcomeRefused
	}
	if done := c.run.ledger.resolve(id, out); done != nil {
		c.lastCommit = done
	}
}

// transaction runs some statements, with pauses, and commits or rolls back.
func (c *client) transaction(ctx context.Context) error {
	mayWrite, must := c.route.writes && c.random.IntN(3) > 0, c.mustSee()
	begin := "BEGIN"
	if !mayWrite {
		begin = "BEGIN FETCH"
	}
	answer, err := c.ask(c.nextID(), begin)
	if err != nil || !strings.HasPrefix(answer, "DONE") {
		c.count("transaction", answer, err)
		return err
	}
	for range 1 + c.random.IntN(3) {
		c.rest(ctx, transactionThink)
		if mayWrite && c.random.IntN(2) == 0 {
			err = c.storeInTransaction()
		} else {
			err = c.fetch("FETCH "+c.key, must)
		}
		if err != nil || c.state != "T" {
			return err
		}
	}
	return c.endTransaction()
}

func (c *client) storeInTransaction() error {
	id, text := c.nextID(), "STORE "+c.key+" "+c.value()
	answer, err := c.ask(id, text)
	c.checkStamp(id, text, answer)
	return err
}

func (c *client) endTransaction() error {
	id := c.nextID()
	c.run.ledger.sending(id)
	if c.random.IntN(5) == 0 {
		c.run.ledger.resolve(id, outcomeRollback)
		_, err := c.ask(id, "ABORT")
		return err
	}
	answer, err := c.ask(id, "COMMIT")
	c.checkStamp(id, "COMMIT", answer)
	c.count("transaction", answer, err)
	c.resolveCommit(id, answer)
	return err
}

// resolveCommit notes the answer to a COMMIT. One that wrote nothing is in no log: it counts for nothing.
func (c *client) resolveCommit(id, answer string) {
	if strings.HasPrefix(answer, "DONE") && !c.run.ledger.isCommitted(id) {
		return
	}
	c.resolve(id, answer)
}

// ask sends a statement and reads its answer: the first line but rows, with the rows before it.
func (c *client) ask(id, text string) (answer string, err error) {
	sent := time.Now()
	_ = c.conn.SetDeadline(sent.Add(answerTime)) // an error comes back from the read
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return "", c.ended(id, text, sent, err)
	}
	var rows []string
	for {
		line, err := c.reader.ReadMessage()
		if err != nil {
			return "", c.ended(id, text, sent, err)
		}
		kind, rest := wire.CutField(line)
		switch kind {
		case wire.MsgReady:
			c.state, _ = wire.CutField(rest)
			return answer, nil
		case wire.MsgRow:
			rows = append(rows, rest)
		default:
			answer = line
			c.checkRows(id, text, rows)
			if strings.Contains(line, "NOSTMT") {
				c.run.ledger.violate("pinned", "%s %s at %s: %s, though its preparing was acknowledged", id, text, c.proxy, line)
			}
		}
	}
}

// checkRows checks that rows are those of the client's key.
func (c *client) checkRows(id, text string, rows []string) {
	for _, row := range rows {
		if row != "" && !strings.HasPrefix(row, c.key+"=") {
			c.run.ledger.violate("mixed", "%s %s at %s: row %s", id, text, c.proxy, row)
		}
	}
}

// checkStamp checks that a success has the stamp that a member gave this statement.
func (c *client) checkStamp(id, text, answer string) {
	if strings.HasPrefix(answer, "DONE") && !strings.HasSuffix(answer, "."+id) {
		c.run.ledger.violate("mixed", "%s %s at %s: %s", id, text, c.proxy, answer)
	}
}

// ended judges a statement whose connection ended or whose answer didn't come in time.
func (c *client) ended(id, text string, sent time.Time, err error) error {
	now, l, j := time.Now(), c.run.ledger, c.run.journal
	since := sent.Add(-time.Second) // a process that didn't run before may not have caught up
	var timeout net.Error
	waited := errors.As(err, &timeout) && timeout.Timeout()
	frozen := j.disturbed(c.proxy, sent, now, KindFreeze)
	killed := j.disturbed(c.proxy, sent, now, KindKill)
	switch {
	case waited && !frozen:
		c.run.late(c.proxy, since, "no answer", "%s %s at %s: neither answer nor end within %v",
			id, text, c.proxy, answerTime)
	case waited, killed, frozen:
	case !j.disturbed(c.proxy, sent.Add(-contactTime), now, KindRestart):
		l.violate("cut", "%s %s at %s, which nobody ends: %v after %v", id, text, c.proxy, err, now.Sub(sent))
	case (l.hasReached(id) || now.Sub(sent) > lossSlack) && j.faultFree(sent, now):
		c.run.late(c.proxy, since, "lost answer", "%s %s at %s: %v after %v, at a member: %v",
			id, text, c.proxy, err, now.Sub(sent), l.hasReached(id))
	}
	return fmt.Errorf("%w: %w", errSessionEnded, err)
}

// count counts an operation by its outcome.
func (c *client) count(what, answer string, err error) {
	end, _, _ := strings.Cut(answer, ".")
	switch {
	case err != nil:
		end = "ended"
	case strings.HasPrefix(answer, "DONE"):
		end = "done"
	}
	c.run.ledger.count(what + " " + end)
}

// promisesNothingKept says whether an answer promises that nothing of its attempt took effect.
func promisesNothingKept(answer string) bool {
	for _, code := range []string{"RETRY", "ABORTED", "LAGGING", "RDONLY", "WRONGHOST", "FULL"} {
		if strings.HasPrefix(answer, "FAIL "+code) {
			return true
		}
	}
	return false
}

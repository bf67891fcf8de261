package proxy

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"weirwind/internal/member/wire"
)

var (
	modelSeeds = flag.Int("model.seeds", 20, "number of seeds that TestReadsAreNeverStale plays")
	modelFirst = flag.Uint64("model.first", 1, "the first seed")
)

// Guards against stale reads by any order of answers, heartbeats and changes of the primary, whatever clients do in
// transactions meanwhile.
func TestReadsAreNeverStale(t *testing.T) {
	for seed := *modelFirst; seed < *modelFirst+uint64(*modelSeeds); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newStaleModel(seed)
				m.play()
				if n := len(m.violations); n > 0 {
					t.Errorf("%d stale reads, the first: %s", n, m.violations[0])
				}
				if n := len(m.group.LostCommits); n > 0 {
					t.Errorf("the model's own members lost %d commits", n)
				}
				if m.reads < minModelReads || len(m.acked) < minModelCommits || m.group.Promotions < minModelPromotions {
					t.Errorf("too little was played")
				}
				t.Logf("%d reads, %d commits, %d promotions", m.reads, len(m.acked), m.group.Promotions)
			})
		})
	}
}

// modelRoute is a route of transcriptConfig.
type modelRoute struct {
	host       string
	maxStale   time.Duration
	ownCommits bool // reads see the session's own commits
	writes     bool
}

var modelRoutes = []modelRoute{
	{host: "db", writes: true},
	{host: "old", maxStale: 300 * time.Millisecond},
	{host: "own", maxStale: 300 * time.Millisecond, ownCommits: true, writes: true},
}

// modelClient is a client that opens one session after the other.
type modelClient struct {
	model   *staleModel
	name    string
	route   modelRoute
	random  *rand.Rand
	conn    net.Conn
	reader  *wire.Reader
	queries int
	state   string      // transaction state in the last READY message
	own     modelCommit // the session's last commit
}

var errRefused = errors.New("the statement was refused")

// serve uses sessions until the model ends.
func (c *modelClient) serve() {
	for c.model.running() {
		clientEnd, proxyEnd := net.Pipe()
		c.conn, c.reader, c.own = clientEnd, wire.NewReader(clientEnd), modelCommit{}
		ended := make(chan struct{})
		go func() {
			(&session{proxy: c.model.proxy, client: proxyEnd}).run()
			close(ended)
		}()
		fmt.Fprintf(clientEnd, "ATTACH %s who\r\n", c.route.host)
		_, err := c.reader.ReadMessage()
		for err == nil && c.model.running() {
			time.Sleep(randomDuration(c.random, maxThinkTime))
			err = c.runOperation()
		}
		clientEnd.Close()
		<-ended
	}
}

// runOperation runs a random operation. It returns an error if the session is to be closed.
func (c *modelClient) runOperation() error {
	switch n := c.random.IntN(8); {
	case n < 3 && c.route.writes:
		return c.commit("STORE x 1")
	case n < 5:
		return c.read(c.newRequirement())
	case n < 7 && c.route.writes:
		return c.transaction("BEGIN")
	}
	return c.transaction("BEGIN FETCH")
}

// nextID returns an id for the next statement that is unique in the model.
func (c *modelClient) nextID() string {
	c.queries++
	return fmt.Sprint(c.name, c.queries)
}

// newRequirement returns the commit that a read or transaction which is sent now must see.
func (c *modelClient) newRequirement() modelCommit {
	required := c.model.newestBefore(time.Now().Add(-c.route.maxStale))
	if c.route.ownCommits && c.own.number > required.number {
		return c.own
	}
	return required
}

func (c *modelClient) read(required modelCommit) error {
	id := c.nextID()
	c.model.mu.Lock()
	c.model.required[id] = required
	c.model.mu.Unlock()
	return c.query(id, "FETCH x")
}

// commit sends a statement that commits, and records the commit if it succeeds.
func (c *modelClient) commit(text string) error {
	id := c.nextID()
	if err := c.query(id, text); err != nil {
		return err
	}
	m := c.model
	m.mu.Lock()
	defer m.mu.Unlock()
	if number := m.numbers[id]; number > 0 { // it wrote
		c.own = modelCommit{id, number, time.Now()}
		m.acked = append(m.acked, c.own)
	}
	return nil
}

// transaction runs a transaction; some rest in it.
func (c *modelClient) transaction(begin string) error {
	required := c.newRequirement()
	if err := c.query(c.nextID(), begin); err != nil {
		return err
	}
	for range 1 + c.random.IntN(3) {
		var err error
		if begin == "BEGIN" && c.random.IntN(3) == 0 {
			err = c.query(c.nextID(), "STORE x 1")
		} else {
			err = c.read(required)
		}
		if err != nil && c.state != wire.StateInTransaction {
			return err
		}
		if c.random.IntN(3) == 0 {
			time.Sleep(randomDuration(c.random, maxRest))
		}
	}
	return c.commit("COMMIT")
}

// query sends a statement. It returns an error unless it succeeds.
func (c *modelClient) query(id, text string) error {
	fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text)
	var err error
	for {
		line, readErr := c.reader.ReadMessage()
		switch word, rest := wire.CutField(line); {
		case readErr != nil:
			return readErr
		case word == wire.MsgFail:
			err = fmt.Errorf("%w: %s", errRefused, line)
		case word == wire.MsgReady:
			c.state, _ = wire.CutField(rest)
			return err
		}
	}
}

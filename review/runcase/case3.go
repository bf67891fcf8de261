package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"weirwind/review/standin"
)

// Figures of case 3.
const (
	maxStale   = 1500 * time.Millisecond // maxStaleMs of the stale_ok route
	txRest     = 2600 * time.Millisecond // pause inside a transaction, below txIdleMs (3,000)
	leadIn     = 10 * time.Second        // traffic starts 10 s after the machines
	beforeCut  = 4 * time.Second
	cutFor     = 5 * time.Second
	afterCut   = 3 * time.Second
	fronts     = 2
	writers    = 4
	readers    = 8
	txClients  = 20
	writePause = 100 * time.Millisecond
	readPause  = 40 * time.Millisecond
)

// staleAfterReadOnlyCommit plays transactions that only read, rest and commit, beside writes and reads that may be
// 1.5 s old. For 5 s the primary is cut off from its replicas, so that another member is promoted.
func staleAfterReadOnlyCommit(record *standin.Record, trouble bool) (int, error) {
	d, err := standin.NewDeployment(record, fronts)
	if err != nil {
		return couldNot, err
	}
	defer d.Stop("E501", "E502", "E601", "E602", "E603")
	judge := standin.NewStaleJudge(maxStale)
	service := standin.NewService("svc1", record, judge, []string{"m-a", "m-b", "m-c"},
		[]string{d.MemberAddr(0), d.MemberAddr(1), d.MemberAddr(2)})
	if err := service.ServePlatform(d.PlatformAddr()); err != nil {
		return couldNot, err
	}
	if err := service.Serve(d.Controls()); err != nil {
		return couldNot, err
	}
	started := time.Now()
	if err := d.Start(); err != nil {
		return couldNot, err
	}
	if err := d.Configure(0, configuration()); err != nil {
		return couldNot, err
	}
	time.Sleep(time.Until(started.Add(leadIn)))
	t := &traffic{deployment: d, judge: judge, record: record, stop: make(chan struct{})}
	t.start()
	time.Sleep(beforeCut)
	if trouble {
		record.Log("trouble: the primary %s is cut off from its replicas for %v", service.Cut(true), cutFor)
	}
	time.Sleep(cutFor)
	if trouble {
		service.Cut(false)
		record.Log("trouble: all members are joined again")
	}
	time.Sleep(afterCut)
	close(t.stop)
	t.done.Wait()
	return t.verdict()
}

func configuration() map[string]any {
	route := func(name, kind string, timeout int) map[string]any {
		return map[string]any{"name": "r-" + name, "host": name, "prefix": "/", "type": kind, "timeoutMs": timeout,
			"targetMs": 600, "prio": 1, "svc": "svc1", "tries": 2, "maxStaleMs": maxStale.Milliseconds()}
	}
	return map[string]any{"gen": 1,
		"routes": []any{route("ledger", "primary", 1000), route("catalog", "stale_ok", 2000)},
		"svcs": []any{map[string]any{"name": "svc1", "check": "/health", "maxConns": 80, "proto": "h1", "tls": false,
			"syncN": 1}},
		"limits": map[string]any{"hdrBytes": 16384, "bodyBytes": 262144, "hdrMs": 3000, "idleMs": 15000, "txIdleMs": 3000}}
}

// traffic is the clients of both databases.
type traffic struct {
	deployment *standin.Deployment
	judge      *standin.StaleJudge
	record     *standin.Record
	stop       chan struct{}
	done       sync.WaitGroup

	mu       sync.Mutex
	next     int
	answered []string // reads on the stale_ok route that succeeded
	failed   int
}

func (t *traffic) start() {
	for front := range fronts {
		for range writers {
			t.session(front, "ledger", writePause, t.write)
		}
		for range readers {
			t.session(front, "catalog", readPause, t.read)
		}
		for n := range txClients {
			t.done.Add(1)
			time.AfterFunc(time.Duration(n)*txRest/txClients, func() {
				t.session(front, "ledger", writePause, t.transaction)
				t.done.Done()
			})
		}
	}
}

// session repeats an operation on a session, and attaches anew when it fails.
func (t *traffic) session(front int, database string, pause time.Duration, operation func(*standin.Client) error) {
	t.done.Add(1)
	go func() {
		defer t.done.Done()
		var c *standin.Client
		for !t.wait(pause) {
			var err error
			if c == nil {
				c, err = standin.Dial(t.deployment.Front(front), database)
			}
			if err == nil {
				err = operation(c)
			}
			if err != nil {
				t.count(&t.failed)
				if c != nil {
					c.Close()
				}
				c = nil
			}
		}
		if c != nil {
			c.Close()
		}
	}()
}

// wait pauses, and reports whether the traffic has ended.
func (t *traffic) wait(pause time.Duration) bool {
	select {
	case <-t.stop:
		return true
	case <-time.After(pause):
		return false
	}
}

func (t *traffic) count(n *int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*n++
}

func (t *traffic) id() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	return fmt.Sprintf("%08x", t.next)
}

// query sends a statement, and returns an error unless it succeeds.
func (t *traffic) query(c *standin.Client, id, text string) error {
	t.record.Log("sent %s %s", id, text)
	result, state, err := c.Query(id, text)
	t.record.Log("answer %s %s %s %v", id, result, state, err)
	if err == nil && !strings.HasPrefix(result, "DONE ") {
		err = fmt.Errorf("%s: %s", text, result)
	}
	return err
}

func (t *traffic) write(c *standin.Client) error {
	id := t.id()
	err := t.query(c, id, "STORE k "+id)
	if err == nil {
		t.judge.Acked(id)
	}
	return err
}

func (t *traffic) read(c *standin.Client) error {
	id := t.id()
	t.judge.Sent(id)
	err := t.query(c, id, "FETCH k")
	if err == nil {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.answered = append(t.answered, id)
	}
	return err
}

// transaction reads, rests and commits.
func (t *traffic) transaction(c *standin.Client) error {
	for _, text := range []string{"BEGIN", "FETCH k", "COMMIT"} {
		if text == "COMMIT" && t.wait(txRest) {
			return nil
		}
		if err := t.query(c, t.id(), text); err != nil {
			return err
		}
	}
	return nil
}

// verdict judges all reads that the clients got an answer to.
func (t *traffic) verdict() (int, error) {
	commits, reads := t.judge.Counts()
	stale := 0
	for _, id := range t.answered {
		if text, isStale := t.judge.Stale(id); isStale {
			stale++
			t.record.Log("STALE: %s", text)
		}
	}
	t.record.Log("%d commits acknowledged, %d reads ran, %d answered on the stale_ok route, %d operations failed, "+
		"%d reads stale", commits, reads, len(t.answered), t.failed, stale)
	if stale > 0 {
		return broken, nil
	}
	return held, nil
}

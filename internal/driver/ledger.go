package driver

// This file owns the way of ops with keys past internal/ledger, and its records to disk, in the order in which they
// were given out. It must never let the first byte for an op go out before its record is safe, and never decide what a
// key means.

import (
	"bytes"
	"fmt"
	"sync"
	"time"
	"unicode/utf8"

	"weirwind/internal/durable"
	"weirwind/internal/ledger"
	"weirwind/internal/operator"
	"weirwind/internal/pgwire"
	"weirwind/logic"
)

const (
	ledgerTag         = "WWLG"
	ledgerAnswerBytes = 4096 // bytes of an answer that are kept
	ledgerTimeShare   = 0.3  // of an op's time: the disk may take so long for its record
	maxKeyBytes       = 128
	maxQueuedRecords  = 4096 // records that wait for the disk
)

type opLedger struct {
	service *Service
	store   *durable.Store
	opTypes []logic.OpType
	queue   chan queuedRecord
	done    chan struct{}

	mu     sync.Mutex // guards the book and the order of the queue
	table  *ledger.Table
	closed bool
}

// queued is a record on its way to disk.
type queuedRecord struct {
	record  []byte
	written chan error // nil where nobody waits
}

// openLedger recovers the book. One that is damaged is an error: without it keys could run twice, so that operators are
// to say that they begin a new one, by moving the folder away.
func (v *Service) openLedger(o operator.Ledger, types []logic.OpType) error {
	limit := int64(o.LimitMB) << 20
	rules := ledger.Limits{Retention: milliseconds(o.Retention), Keys: o.MaxKeys, TotalBytes: int(limit / 4), AnswerBytes: ledgerAnswerBytes}
	if err := rules.Check(); err != nil {
		return err
	}
	store, found, err := durable.Open(durable.OS{}, durable.Options{Folder: o.Folder, Tag: ledgerTag, Limit: limit})
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	l := &opLedger{service: v, store: store, opTypes: types, queue: make(chan queuedRecord, maxQueuedRecords), done: make(chan struct{})}
	if found.RecordsLost {
		err = fmt.Errorf("%s has lost records; move it away to begin a new book", o.Folder)
	} else if l.table, err = ledger.Load(rules, v.decider.clock.now(), found.Snapshot, found.Records); err == nil {
		err = store.Compact(l.table.Snapshot())
	}
	if err != nil {
		_ = store.Close() // err is what went wrong
		return fmt.Errorf("ledger: %w", err)
	}
	open, acked, unknown, size := l.table.Counts()
	v.log.Info("ledger", "folder", o.Folder, "open", open, "acked", acked, "unknown", unknown, "bytes", size)
	v.ledger = l
	go l.writeLoop()
	return nil
}

// write takes records to disk, those that wait together in one write and sync.
func (l *opLedger) writeLoop() {
	defer close(l.done)
	for first := range l.queue {
		batch, records := []queuedRecord{first}, [][]byte{first.record}
		for more := true; more && len(batch) < 256; {
			select {
			case q, ok := <-l.queue:
				if more = ok; ok {
					batch, records = append(batch, q), append(records, q.record)
				}
			default:
				more = false
			}
		}
		err := l.store.Append(records...)
		if err != nil || l.store.NeedsCompaction() {
			// A snapshot holds what is in the queue already; records of it that follow change nothing but for the worse: a key
			// that is done may be in doubt.
			l.mu.Lock()
			snap := l.table.Snapshot()
			l.mu.Unlock()
			if e := l.store.Compact(snap); e != nil {
				l.service.log.Warn("ledger_failed", "error", e)
			} else if err != nil {
				err = l.store.Append(records...)
			}
		}
		if err != nil {
			l.service.log.Warn("ledger_failed", "error", err)
		}
		for _, q := range batch {
			if q.written != nil {
				q.written <- err
			}
		}
	}
}

// finish takes what is left to disk and lets go of the folder. Ops have ended by then.
func (l *opLedger) close() {
	l.mu.Lock()
	l.closed = true
	close(l.queue)
	l.mu.Unlock()
	select {
	case <-l.done:
		_ = l.store.Close() // what was appended is on disk
	case <-time.After(diskOpenTimeout): // the disk does not answer
	}
}

// minds says whether an op's effect is of the kind that the ledger is for.
func (l *opLedger) covers(o *op) bool { return l.opTypes[o.opType].Effect != logic.Retryable }

// perform carries an op with a key through.
func (l *opLedger) perform(o *op, disconnected <-chan struct{}) []byte {
	token := o.statement.IdempotencyKey
	if len(token) == 0 || len(token) > maxKeyBytes || !utf8.Valid(token) || bytes.ContainsAny(token, " '\"\x00\r\n") {
		return invalidKey
	}
	key, began := string(token), time.Now()
	verdict, answer, safe := l.begin(key, ledger.Fingerprint(statementForm(&o.statement)))
	switch verdict {
	case ledger.Replay:
		return answer
	case ledger.AnswerLost:
		return answerLost
	case ledger.InDoubt:
		return outcomeInDoubt
	case ledger.Conflict:
		return keyConflict
	case ledger.InProgress, ledger.TableFull:
		l.service.counters.BusyReplied.Add(1)
		return busyAnswer(0)
	}
	limit := time.NewTimer(duration(o.statement.Timeout * ledgerTimeShare))
	defer limit.Stop()
	var err error
	select {
	case err = <-safe:
	case <-limit.C:
		err = fmt.Errorf("the disk took longer than %.0f ms", o.statement.Timeout*ledgerTimeShare)
	case <-disconnected:
		l.finish(key, ledger.StateFree, nil)
		return nil
	}
	if err != nil { // nothing was sent
		l.finish(key, ledger.StateFree, nil)
		l.service.log.Warn("ledger_slow", "error", err)
		l.service.counters.BusyReplied.Add(1)
		return busyAnswer(0)
	}
	o.statement.Timeout = max(o.statement.Timeout-milliseconds(time.Since(began)), 0)
	answer, end := l.service.execute(o, disconnected)
	switch {
	case end == endAcked:
		l.finish(key, ledger.StateAcked, answer)
	case end == endNotStarted, end == endBusy && l.opTypes[o.opType].Effect == logic.NonRetryable:
		l.finish(key, ledger.StateFree, nil) // no send of it can have run
	default:
		l.finish(key, ledger.StateUnknown, nil)
	}
	return answer
}

// form is a statement without its comment, which differs with each try.
func statementForm(s *pgwire.Statement) []byte {
	text := s.Text
	if i := bytes.LastIndex(text, []byte(" /* ")); i >= 0 {
		text = text[:i]
	}
	return append(append(bytes.Clone(s.OpType), ' '), fmt.Sprintf("%d %s", s.Group, text)...)
}

func (l *opLedger) begin(key string, print uint64) (ledger.Verdict, []byte, chan error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, answer, record := l.table.Begin(l.service.decider.clock.now(), key, print)
	if v != ledger.Execute {
		return v, answer, nil
	}
	safe := make(chan error, 1)
	if !l.enqueue(queuedRecord{record, safe}) {
		l.table.Finish(l.service.decider.clock.now(), key, ledger.StateFree, nil) // it never began
		return ledger.TableFull, nil, nil
	}
	return v, nil, safe
}

func (l *opLedger) finish(key string, s ledger.State, answer []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if record := l.table.Finish(l.service.decider.clock.now(), key, s, answer); record != nil && !l.enqueue(queuedRecord{record: record}) {
		// The disk is far behind: without this record the key is in doubt behind a restart, which is the safe side.
		l.service.log.Warn("ledger_failed", "error", "the queue is full")
	}
}

// put queues a record in order; false where there is no room. The caller holds the lock.
func (l *opLedger) enqueue(q queuedRecord) bool {
	if l.closed {
		return false
	}
	select {
	case l.queue <- q:
		return true
	default:
		return false
	}
}

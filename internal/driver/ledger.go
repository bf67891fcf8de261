package driver

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
	ledgerTag         = "WWLG" // names this kind of state to the store
	ledgerAnswerBytes = 4096   // of an answer that is kept
	ledgerTimeShare   = 0.3    // of an op's time that the disk may take for its record
	maxKeyBytes       = 128
	maxQueuedRecords  = 4096 // that wait for the disk
	maxRecordBatch    = 256  // records in one write and sync
)

// opLedger carries ops with idempotency keys through. internal/ledger decides what a key means; opLedger brings its
// records to disk, in the order in which they were returned, and lets no byte for an op out before its record is safe.
type opLedger struct {
	service *Service
	store   *durable.Store
	opTypes []logic.OpType
	queue   chan queuedRecord
	done    chan struct{} // closed when writeLoop has ended

	mu     sync.Mutex // guards what follows, and the order of the queue
	table  *ledger.Table
	closed bool // the queue is
}

// queuedRecord is a record on its way to disk.
type queuedRecord struct {
	record  []byte
	written chan error // gets the result, without being waited for; nil where nobody waits
}

// openLedger recovers the table of keys. A damaged one is an error, as without it keys could run twice: operators have
// to say that they begin a new one, by moving the folder away.
func (s *Service) openLedger(block operator.Ledger, opTypes []logic.OpType) error {
	limitBytes := int64(block.LimitMB) << 20
	limits := ledger.Limits{
		Retention:   milliseconds(block.Retention),
		Keys:        block.MaxKeys,
		TotalBytes:  int(limitBytes / 4), // the store may hold two generations, each a snapshot and a log
		AnswerBytes: ledgerAnswerBytes,
	}
	if err := limits.Check(); err != nil {
		return err
	}
	store, found, err := durable.Open(durable.OS{},
		durable.Options{Folder: block.Folder, Tag: ledgerTag, Limit: limitBytes})
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	l := &opLedger{
		service: s,
		store:   store,
		opTypes: opTypes,
		queue:   make(chan queuedRecord, maxQueuedRecords),
		done:    make(chan struct{}),
	}
	if found.RecordsLost {
		err = fmt.Errorf("%s has lost records; move it away to begin a new book", block.Folder)
	} else if l.table, err = ledger.Load(limits, s.decider.clock.now(), found.Snapshot, found.Records); err == nil {
		err = store.Compact(l.table.Snapshot())
	}
	if err != nil {
		_ = store.Close() // err is what went wrong
		return fmt.Errorf("ledger: %w", err)
	}
	open, acked, unknown, size := l.table.Counts()
	s.log.Info("ledger", "folder", block.Folder, "open", open, "acked", acked, "unknown", unknown, "bytes", size)
	s.ledger = l
	go l.writeLoop()
	return nil
}

// writeLoop brings records to disk until the queue is closed; those that wait together share a write and a sync.
func (l *opLedger) writeLoop() {
	defer close(l.done)
	for first := range l.queue {
		batch, records := l.nextBatch(first)
		err := l.writeBatch(records)
		for _, q := range batch {
			if q.written != nil {
				q.written <- err
			}
		}
	}
}

// nextBatch takes what waits in the queue, up to a limit.
func (l *opLedger) nextBatch(first queuedRecord) (batch []queuedRecord, records [][]byte) {
	batch, records = []queuedRecord{first}, [][]byte{first.record}
	for len(batch) < maxRecordBatch {
		select {
		case q, ok := <-l.queue:
			if !ok {
				return batch, records
			}
			batch, records = append(batch, q), append(records, q.record)
		default:
			return batch, records
		}
	}
	return batch, records
}

// writeBatch appends records, and compacts the store where it needs that or can't append.
func (l *opLedger) writeBatch(records [][]byte) error {
	err := l.store.Append(records...)
	if err != nil || l.store.NeedsCompaction() {
		// The snapshot holds what is still in the queue already. Those records follow it in the log, where they can only make
		// a key that is finished in doubt, which is the safe side.
		l.mu.Lock()
		snapshot := l.table.Snapshot()
		l.mu.Unlock()
		if compactErr := l.store.Compact(snapshot); compactErr != nil {
			l.service.log.Warn("ledger_failed", "error", compactErr)
		} else if err != nil {
			err = l.store.Append(records...)
		}
	}
	if err != nil {
		l.service.log.Warn("ledger_failed", "error", err)
	}
	return err
}

// close brings what is left to disk and closes the store. Ops have ended by then.
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

// covers says whether an op is of a type that the ledger is for: others may be executed twice.
func (l *opLedger) covers(op *op) bool { return l.opTypes[op.opType].Effect != logic.Retryable }

// perform carries an op with a key through.
func (l *opLedger) perform(op *op, disconnected <-chan struct{}) []byte {
	if !validKey(op.statement.IdempotencyKey) {
		return invalidKey
	}
	key, began := string(op.statement.IdempotencyKey), time.Now()
	verdict, answer, written := l.begin(key, ledger.Fingerprint(statementForm(&op.statement)))
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
	limit := time.NewTimer(duration(op.statement.Timeout * ledgerTimeShare))
	defer limit.Stop()
	var err error
	select {
	case err = <-written:
	case <-limit.C:
		err = fmt.Errorf("the disk took longer than %.0f ms", op.statement.Timeout*ledgerTimeShare)
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
	op.statement.Timeout = max(op.statement.Timeout-milliseconds(time.Since(began)), 0)
	answer, end := l.service.execute(op, disconnected)
	l.finishOp(op, key, end, answer)
	return answer
}

// finishOp finishes the key of an op that was executed.
func (l *opLedger) finishOp(op *op, key string, end opEnd, answer []byte) {
	switch {
	case end == endAcked:
		l.finish(key, ledger.StateAcked, answer)
	case end == endNotStarted, end == endBusy && l.opTypes[op.opType].Effect == logic.NonRetryable:
		l.finish(key, ledger.StateFree, nil) // no attempt at it can have been executed
	default:
		l.finish(key, ledger.StateUnknown, nil)
	}
}

func validKey(key []byte) bool {
	return len(key) > 0 && len(key) <= maxKeyBytes && utf8.Valid(key) && !bytes.ContainsAny(key, " '\"\x00\r\n")
}

// statementForm is a statement without its comment, which differs between a client's attempts.
func statementForm(statement *pgwire.Statement) []byte {
	text := statement.Text
	if i := bytes.LastIndex(text, []byte(" /* ")); i >= 0 {
		text = text[:i]
	}
	return append(append(bytes.Clone(statement.OpType), ' '), fmt.Sprintf("%d %s", statement.Group, text)...)
}

// begin begins a key. With Execute written gets the result of writing its record.
func (l *opLedger) begin(key string, fingerprint uint64) (verdict ledger.Verdict, answer []byte, written chan error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	verdict, answer, record := l.table.Begin(l.service.decider.clock.now(), key, fingerprint)
	if verdict != ledger.Execute {
		return verdict, answer, nil
	}
	written = make(chan error, 1)
	if !l.enqueue(queuedRecord{record, written}) {
		l.table.Finish(l.service.decider.clock.now(), key, ledger.StateFree, nil) // its record is nowhere
		return ledger.TableFull, nil, nil
	}
	return verdict, nil, written
}

// finish finishes a key that was begun.
func (l *opLedger) finish(key string, state ledger.State, answer []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.table.Finish(l.service.decider.clock.now(), key, state, answer)
	if record != nil && !l.enqueue(queuedRecord{record: record}) {
		// The disk is far behind. Without this record the key is in doubt after a restart, which is the safe side.
		l.service.log.Warn("ledger_failed", "error", "the queue is full")
	}
}

// enqueue queues a record in order; false where there is no room. The caller holds the lock.
func (l *opLedger) enqueue(queued queuedRecord) bool {
	if l.closed {
		return false
	}
	select {
	case l.queue <- queued:
		return true
	default:
		return false
	}
}

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
	ledgerTag         = "WWLG" // identifies this kind of state in the store
	ledgerAnswerBytes = 4096   // maximum size of a stored answer
	ledgerTimeShare   = 0.3    // share of an op's timeout that writing its record may take
	maxKeyBytes       = 128
	maxQueuedRecords  = 4096 // records that wait for the disk
	maxRecordBatch    = 256  // records per write and sync
)

// opLedger executes ops with idempotency keys. internal/ledger decides what to do for a key; opLedger writes its
// records to disk, in the order in which they were returned, and sends nothing for an op before its record is on disk.
type opLedger struct {
	service *Service
	store   *durable.Store
	opTypes []logic.OpType
	queue   chan queuedRecord
	done    chan struct{} // closed when writeLoop has ended

	mu     sync.Mutex // guards what follows, and the order of the queue
	table  *ledger.Table
	closed bool // whether the queue is closed
}

// queuedRecord is a record that is waiting to be written.
type queuedRecord struct {
	record  []byte
	written chan error // receives the result and is buffered; nil if no caller waits for it
}

// openLedger recovers the table of keys. A damaged table is an error, because without it an op could be executed twice:
// operators have to move the folder away to start with an empty ledger.
func (s *Service) openLedger(block operator.Ledger, opTypes []logic.OpType) error {
	storeLimitBytes := int64(block.LimitMB) << 20
	limits := ledger.Limits{
		Retention:   milliseconds(block.Retention),
		Keys:        block.MaxKeys,
		TotalBytes:  int(storeLimitBytes / 4), // the store may hold two generations, each a snapshot and a log
		AnswerBytes: ledgerAnswerBytes,
	}
	if err := limits.Check(); err != nil {
		return err
	}
	store, found, err := durable.Open(durable.OS{},
		durable.Options{Folder: block.Folder, Tag: ledgerTag, Limit: storeLimitBytes})
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
		err = fmt.Errorf("%s has lost records; move it away to start with an empty ledger", block.Folder)
	} else if l.table, err = ledger.Load(limits, s.decider.clock.now(), found.Snapshot, found.Records); err == nil {
		err = store.Compact(l.table.Snapshot())
	}
	if err != nil {
		_ = store.Close() // the earlier error is returned
		return fmt.Errorf("ledger: %w", err)
	}
	open, acked, unknown, size := l.table.Counts()
	s.log.Info("ledger", "folder", block.Folder, "open", open, "acked", acked, "unknown", unknown, "bytes", size)
	s.ledger = l
	go l.writeLoop()
	return nil
}

// writeLoop writes records to disk until the queue is closed; records that wait together share a write and a sync.
func (l *opLedger) writeLoop() {
	defer close(l.done)
	for first := range l.queue {
		batch, records := l.nextBatch(first)
		err := l.writeBatch(records)
		for _, queued := range batch {
			if queued.written != nil {
				queued.written <- err
			}
		}
	}
}

// nextBatch takes the records waiting in the queue, up to maxRecordBatch.
func (l *opLedger) nextBatch(first queuedRecord) (batch []queuedRecord, records [][]byte) {
	batch, records = []queuedRecord{first}, [][]byte{first.record}
	for len(batch) < maxRecordBatch {
		select {
		case queued, ok := <-l.queue:
			if !ok {
				return batch, records
			}
			batch, records = append(batch, queued), append(records, queued.record)
		default:
			return batch, records
		}
	}
	return batch, records
}

// writeBatch appends records, and compacts the store if it needs compaction or the append failed.
func (l *opLedger) writeBatch(records [][]byte) error {
	err := l.store.Append(records...)
	if err != nil || l.store.NeedsCompaction() {
		// The snapshot already includes the records that are still queued. They follow it in the log, where at worst they
		// turn a finished key into one in doubt, which is safe.
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

// close writes the remaining records and closes the store. All ops must have ended.
func (l *opLedger) close() {
	l.mu.Lock()
	l.closed = true
	close(l.queue)
	l.mu.Unlock()
	select {
	case <-l.done:
		_ = l.store.Close() // what was appended is on disk
	case <-time.After(diskOpenTimeout): // the disk does not respond
	}
}

// covers reports whether an op's type needs the ledger: ops of other types may be executed twice.
func (l *opLedger) covers(op *op) bool { return l.opTypes[op.opType].Effect != logic.Retryable }

// perform executes an op with a key and returns its answer.
func (l *opLedger) perform(op *op, disconnected <-chan struct{}) []byte {
	if !validKey(op.statement.IdempotencyKey) {
		return invalidKey
	}
	key, beganAt := string(op.statement.IdempotencyKey), time.Now()
	verdict, answer, written := l.begin(key, ledger.Fingerprint(canonicalStatement(&op.statement)))
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
	timer := time.NewTimer(duration(op.statement.Timeout * ledgerTimeShare))
	defer timer.Stop()
	var err error
	select {
	case err = <-written:
	case <-timer.C:
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
	op.statement.Timeout = max(op.statement.Timeout-milliseconds(time.Since(beganAt)), 0)
	answer, end := l.service.execute(op, disconnected)
	l.finishOp(op, key, end, answer)
	return answer
}

// finishOp records the result of an executed op for its key.
func (l *opLedger) finishOp(op *op, key string, end opEnd, answer []byte) {
	switch {
	case end == endAcked:
		l.finish(key, ledger.StateAcked, answer)
	case end == endNotStarted, end == endBusy && l.opTypes[op.opType].Effect == logic.NonRetryable:
		l.finish(key, ledger.StateFree, nil) // no attempt can have been executed
	default:
		l.finish(key, ledger.StateUnknown, nil)
	}
}

func validKey(key []byte) bool {
	return len(key) > 0 && len(key) <= maxKeyBytes && utf8.Valid(key) && !bytes.ContainsAny(key, " '\"\x00\r\n")
}

// canonicalStatement returns a statement without its comment, which differs between a client's attempts.
func canonicalStatement(statement *pgwire.Statement) []byte {
	text := statement.Text
	if i := bytes.LastIndex(text, []byte(" /* ")); i >= 0 {
		text = text[:i]
	}
	return append(append(bytes.Clone(statement.OpType), ' '), fmt.Sprintf("%d %s", statement.Group, text)...)
}

// begin starts an op with a key. With verdict Execute, written receives the result of writing its record.
func (l *opLedger) begin(key string, fingerprint uint64) (verdict ledger.Verdict, answer []byte, written chan error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	verdict, answer, record := l.table.Begin(l.service.decider.clock.now(), key, fingerprint)
	if verdict != ledger.Execute {
		return verdict, answer, nil
	}
	written = make(chan error, 1)
	if !l.enqueue(queuedRecord{record, written}) {
		l.table.Finish(l.service.decider.clock.now(), key, ledger.StateFree, nil) // no record was written
		return ledger.TableFull, nil, nil
	}
	return verdict, nil, written
}

// finish sets the final state of a key that was begun.
func (l *opLedger) finish(key string, state ledger.State, answer []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.table.Finish(l.service.decider.clock.now(), key, state, answer)
	if record != nil && !l.enqueue(queuedRecord{record: record}) {
		// The disk is too slow. Without this record the key is in doubt after a restart, which is safe.
		l.service.log.Warn("ledger_failed", "error", "the queue is full")
	}
}

// enqueue appends a record to the queue, and reports whether there was room. The caller holds the lock.
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

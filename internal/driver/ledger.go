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
	ledgerTag    = "WWLG"
	ledgerAnswer = 4096 // bytes of an answer that are kept
	ledgerShare  = 0.3  // of an op's time: the disk may take so long for its record
	mostToken    = 128
	mostQueued   = 4096 // records that wait for the disk
)

type outcomes struct {
	v     *Service
	store *durable.Store
	types []logic.OpType
	queue chan queued
	done  chan struct{}

	mu   sync.Mutex // guards the book and the order of the queue
	book *ledger.Table
	off  bool
}

// queued is a record on its way to disk.
type queued struct {
	record []byte
	safe   chan error // nil where nobody waits
}

// openLedger recovers the book. One that is damaged is an error: without it keys could run twice, so that operators are
// to say that they begin a new one, by moving the folder away.
func (v *Service) openLedger(o operator.Ledger, types []logic.OpType) error {
	limit := int64(o.LimitMB) << 20
	rules := ledger.Limits{Retention: milliseconds(o.Keep), Keys: o.Keys, TotalBytes: int(limit / 4), AnswerBytes: ledgerAnswer}
	if err := rules.Check(); err != nil {
		return err
	}
	store, found, err := durable.Open(durable.OS{}, durable.Options{Folder: o.Folder, Tag: ledgerTag, Limit: limit})
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	l := &outcomes{v: v, store: store, types: types, queue: make(chan queued, mostQueued), done: make(chan struct{})}
	if found.Lost {
		err = fmt.Errorf("%s has lost records; move it away to begin a new book", o.Folder)
	} else if l.book, err = ledger.Load(rules, v.decide.clock.now(), found.Snapshot, found.Records); err == nil {
		err = store.Compact(l.book.Snapshot())
	}
	if err != nil {
		_ = store.Close() // err is what went wrong
		return fmt.Errorf("ledger: %w", err)
	}
	open, acked, unknown, size := l.book.Counts()
	v.log.Info("ledger", "folder", o.Folder, "open", open, "acked", acked, "unknown", unknown, "bytes", size)
	v.ledger = l
	go l.write()
	return nil
}

// write takes records to disk, those that wait together in one write and sync.
func (l *outcomes) write() {
	defer close(l.done)
	for first := range l.queue {
		batch, records := []queued{first}, [][]byte{first.record}
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
		if err != nil || l.store.Due() {
			// A snapshot holds what is in the queue already; records of it that follow change nothing but for the worse: a key
			// that is done may be in doubt.
			l.mu.Lock()
			snap := l.book.Snapshot()
			l.mu.Unlock()
			if e := l.store.Compact(snap); e != nil {
				l.v.log.Warn("ledger_failed", "error", e)
			} else if err != nil {
				err = l.store.Append(records...)
			}
		}
		if err != nil {
			l.v.log.Warn("ledger_failed", "error", err)
		}
		for _, q := range batch {
			if q.safe != nil {
				q.safe <- err
			}
		}
	}
}

// finish takes what is left to disk and lets go of the folder. Ops have ended by then.
func (l *outcomes) finish() {
	l.mu.Lock()
	l.off = true
	close(l.queue)
	l.mu.Unlock()
	select {
	case <-l.done:
		_ = l.store.Close() // what was appended is on disk
	case <-time.After(openTime): // the disk does not answer
	}
}

// minds says whether an op's effect is of the kind that the ledger is for.
func (l *outcomes) minds(o *op) bool { return l.types[o.opType].Effect != logic.Retryable }

var (
	badToken  = refusal(pgwire.CodeProtocol, "a key is 1 to 128 bytes of text without spaces and quotes")
	otherOp   = refusal(pgwire.CodeProtocol, "this key was another statement's")
	doneSince = refusal(pgwire.CodeFailed, "the op with this key was done; its answer was too long to be kept")
	inDoubt   = refusal(pgwire.CodeFailed,
		"an op with this key may have taken effect, and it can't be known; it is not sent again")
)

func refusal(code, text string) []byte {
	return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", code, text, ""))
}

// perform carries an op with a key through.
func (l *outcomes) perform(o *op, gone <-chan struct{}) []byte {
	token := o.statement.Token
	if len(token) == 0 || len(token) > mostToken || !utf8.Valid(token) || bytes.ContainsAny(token, " '\"\x00\r\n") {
		return badToken
	}
	key, began := string(token), time.Now()
	verdict, answer, safe := l.ask(key, ledger.Fingerprint(form(&o.statement)))
	switch verdict {
	case ledger.Replay:
		return answer
	case ledger.AnswerLost:
		return doneSince
	case ledger.InDoubt:
		return inDoubt
	case ledger.Conflict:
		return otherOp
	case ledger.InProgress, ledger.TableFull:
		l.v.count.BusyReplied.Add(1)
		return busy(0)
	}
	limit := time.NewTimer(duration(o.statement.Timeout * ledgerShare))
	defer limit.Stop()
	var err error
	select {
	case err = <-safe:
	case <-limit.C:
		err = fmt.Errorf("the disk took longer than %.0f ms", o.statement.Timeout*ledgerShare)
	case <-gone:
		l.end(key, ledger.StateFree, nil)
		return nil
	}
	if err != nil { // nothing was sent
		l.end(key, ledger.StateFree, nil)
		l.v.log.Warn("ledger_slow", "error", err)
		l.v.count.BusyReplied.Add(1)
		return busy(0)
	}
	o.statement.Timeout = max(o.statement.Timeout-milliseconds(time.Since(began)), 0)
	answer, end := l.v.carryOut(o, gone)
	switch {
	case end == endAcked:
		l.end(key, ledger.StateAcked, answer)
	case end == endUntaken, end == endBusy && l.types[o.opType].Effect == logic.NonRetryable:
		l.end(key, ledger.StateFree, nil) // no send of it can have run
	default:
		l.end(key, ledger.StateUnknown, nil)
	}
	return answer
}

// form is a statement without its comment, which differs with each try.
func form(s *pgwire.Statement) []byte {
	text := s.Text
	if i := bytes.LastIndex(text, []byte(" /* ")); i >= 0 {
		text = text[:i]
	}
	return append(append(bytes.Clone(s.OpType), ' '), fmt.Sprintf("%d %s", s.Group, text)...)
}

func (l *outcomes) ask(key string, print uint64) (ledger.Verdict, []byte, chan error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, answer, record := l.book.Begin(l.v.decide.clock.now(), key, print)
	if v != ledger.Execute {
		return v, answer, nil
	}
	safe := make(chan error, 1)
	if !l.put(queued{record, safe}) {
		l.book.Finish(l.v.decide.clock.now(), key, ledger.StateFree, nil) // it never began
		return ledger.TableFull, nil, nil
	}
	return v, nil, safe
}

func (l *outcomes) end(key string, s ledger.State, answer []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if record := l.book.Finish(l.v.decide.clock.now(), key, s, answer); record != nil && !l.put(queued{record: record}) {
		// The disk is far behind: without this record the key is in doubt behind a restart, which is the safe side.
		l.v.log.Warn("ledger_failed", "error", "the queue is full")
	}
}

// put queues a record in order; false where there is no room. The caller holds the lock.
func (l *outcomes) put(q queued) bool {
	if l.off {
		return false
	}
	select {
	case l.queue <- q:
		return true
	default:
		return false
	}
}

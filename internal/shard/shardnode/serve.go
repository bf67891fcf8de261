package shardnode

// This file owns what an owner serves: reads, writes, transactions, and the outcome of attempts whose answer was lost.

// served gives the replica that a request by this epoch may run on.
func (s *Store) openReplica(shard string, epoch uint64) (*Replica, error) {
	replica := s.Replicas[shard]
	if !replica.matches(epoch, StateOpen) {
		return nil, s.movedError(shard)
	}
	return replica, nil
}

// CheckRead says whether a read by this epoch may run.
func (s *Store) CheckRead(shard string, epoch uint64) error {
	_, err := s.openReplica(shard, epoch)
	return err
}

// Write runs an attempt once. A repeated attempt gives the entry of the first; ErrAborted means that it was resolved.
func (s *Store) Write(shard string, epoch uint64, attemptID string, body []byte) (Entry, error) {
	replica, err := s.openReplica(shard, epoch)
	if err != nil {
		return Entry{}, err
	}
	return s.applyOnce(replica, attemptID, body)
}

func (s *Store) applyOnce(replica *Replica, attemptID string, body []byte) (Entry, error) {
	if entry, ok := replica.findAttempt(attemptID); ok {
		if entry.Aborted {
			return Entry{}, ErrAborted
		}
		return entry, nil
	}
	if !s.evictUntilFree(int64(len(body))) {
		return Entry{}, ErrNoCapacity
	}
	return replica.appendEntry(Entry{AttemptID: attemptID, Bytes: int64(len(body)), Body: body}), nil
}

// BeginTransaction counts a transaction as open. CommitTransaction runs what it wrote, and EndTransaction counts it
// out, committed or not.
func (s *Store) BeginTransaction(shard string, epoch uint64) error {
	replica, err := s.openReplica(shard, epoch)
	if err == nil {
		replica.OpenTransactions++
	}
	return err
}

// CommitTransaction runs a transaction's writes as the one effect of an attempt. It still succeeds while the shard
// closes, and no longer once it is closed.
func (s *Store) CommitTransaction(shard string, epoch uint64, attemptID string, body []byte) (Entry, error) {
	replica := s.Replicas[shard]
	if !replica.matches(epoch, StateOpen, StateClosing) {
		return Entry{}, s.movedError(shard)
	}
	return s.applyOnce(replica, attemptID, body)
}

// EndTransaction counts a transaction out.
func (s *Store) EndTransaction(shard string, epoch uint64) {
	replica := s.Replicas[shard]
	if replica != nil && replica.Epoch == epoch && replica.OpenTransactions > 0 {
		replica.OpenTransactions--
		replica.finishClosing()
	}
}

// finishClosing ends a close that waits for no transaction any more.
func (r *Replica) finishClosing() {
	if r.State == StateClosing && r.OpenTransactions == 0 {
		r.State = StateClosed
	}
}

// ResolveAttempt determines for good what came of an attempt that was sent and not answered: its entry, or ErrAborted,
// after which it never runs.
func (s *Store) ResolveAttempt(shard string, epoch uint64, attemptID string) (Entry, error) {
	replica, err := s.openReplica(shard, epoch)
	if err != nil {
		return Entry{}, err
	}
	entry, found := replica.findAttempt(attemptID)
	if found && !entry.Aborted {
		return entry, nil
	}
	if !found {
		replica.appendEntry(Entry{AttemptID: attemptID, Aborted: true})
	}
	return Entry{}, ErrAborted
}

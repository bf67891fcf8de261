package shardnode

// This file implements the requests that a shard's owner serves: reads, writes, transactions, and the resolution of
// attempts whose answer was lost.

// openReplica returns the replica on which a request with this epoch may run.
func (s *Store) openReplica(shard string, epoch uint64) (*Replica, error) {
	replica := s.Replicas[shard]
	if !replica.matches(epoch, StateOpen) {
		return nil, s.movedError(shard)
	}
	return replica, nil
}

// CheckRead returns an error if a read with this epoch may not run.
func (s *Store) CheckRead(shard string, epoch uint64) error {
	_, err := s.openReplica(shard, epoch)
	return err
}

// Write runs an attempt at most once. For a repeated attempt it returns the entry of the first one, or ErrAborted if
// the attempt was aborted by ResolveAttempt.
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

// BeginTransaction counts a transaction as open. CommitTransaction applies its writes, and EndTransaction must be
// called at its end, committed or not.
func (s *Store) BeginTransaction(shard string, epoch uint64) error {
	replica, err := s.openReplica(shard, epoch)
	if err == nil {
		replica.OpenTransactions++
	}
	return err
}

// CommitTransaction applies a transaction's writes as the effect of one attempt. It still succeeds while the shard is
// closing, but not once it is closed.
func (s *Store) CommitTransaction(shard string, epoch uint64, attemptID string, body []byte) (Entry, error) {
	replica := s.Replicas[shard]
	if !replica.matches(epoch, StateOpen, StateClosing) {
		return Entry{}, s.movedError(shard)
	}
	return s.applyOnce(replica, attemptID, body)
}

// EndTransaction counts a transaction as ended.
func (s *Store) EndTransaction(shard string, epoch uint64) {
	replica := s.Replicas[shard]
	if replica != nil && replica.Epoch == epoch && replica.OpenTransactions > 0 {
		replica.OpenTransactions--
		replica.finishClosing()
	}
}

// finishClosing completes a close once no transaction is open.
func (r *Replica) finishClosing() {
	if r.State == StateClosing && r.OpenTransactions == 0 {
		r.State = StateClosed
	}
}

// ResolveAttempt determines the final outcome of an attempt whose answer was lost. It returns the attempt's entry, or
// ErrAborted if the attempt has not run; from then on it never runs.
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

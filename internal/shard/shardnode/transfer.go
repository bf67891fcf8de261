package shardnode

// This file implements the steps of a transfer. Each step is idempotent, and is refused if its epoch is outdated.

// Reserve creates a receiving replica at the target of a transfer and reserves bytes for it. epoch is the epoch of the
// shard's owner. It fails with ErrNoCapacity if the bytes are not free on the node's disk.
func (s *Store) Reserve(shard string, epoch uint64, bytes int64) error {
	if epoch < s.HighestEpochs[shard] {
		return ErrStaleEpoch
	}
	old := s.Replicas[shard]
	if old.matches(epoch, StateReceiving, StateSealed) { // of this transfer; a sealed replica needs no more space
		return nil
	}
	if old != nil {
		if old.State != StateReceiving && old.State != StateSealed || old.Epoch > epoch {
			return ErrWrongState
		}
		delete(s.Replicas, shard) // of an earlier transfer
	}
	if s.FreeBytes()-s.Headroom < bytes {
		if old != nil {
			s.Replicas[shard] = old
		}
		return ErrNoCapacity
	}
	s.observeEpoch(shard, epoch)
	s.Replicas[shard] = &Replica{Epoch: epoch, State: StateReceiving, Reserved: bytes}
	return nil
}

// AppendEntries appends the source's entries that the receiving replica lacks. If they exceed both the reservation and
// the free space, the replica is removed.
func (s *Store) AppendEntries(shard string, epoch uint64, entries []Entry) error {
	replica := s.Replicas[shard]
	if !replica.matches(epoch, StateReceiving) {
		return ErrWrongState
	}
	for _, entry := range entries {
		if entry.Index <= replica.LastIndex() {
			continue
		}
		if entry.Index != replica.LastIndex()+1 {
			return ErrIncomplete
		}
		if extra := entry.Bytes - replica.Reserved; extra > 0 && s.FreeBytes()-s.Headroom < extra {
			delete(s.Replicas, shard)
			return ErrNoCapacity
		}
		replica.Reserved = max(0, replica.Reserved-entry.Bytes)
		replica.appendEntry(entry)
	}
	return nil
}

// Seal seals a replica that is complete up to lastIndex. It is kept until it is activated or dropped.
func (s *Store) Seal(shard string, epoch, lastIndex uint64) error {
	replica := s.Replicas[shard]
	if !replica.matches(epoch, StateReceiving, StateSealed) {
		return ErrWrongState
	}
	if replica.LastIndex() != lastIndex {
		return ErrIncomplete
	}
	replica.State, replica.Reserved = StateSealed, 0
	return nil
}

// Close stops new work with this epoch on the source's replica. done is true once no transaction is open; lastIndex is
// then the log's final index.
func (s *Store) Close(shard string, epoch uint64) (lastIndex uint64, done bool, err error) {
	replica := s.Replicas[shard]
	if !replica.matches(epoch, StateOpen, StateClosing, StateClosed) {
		return 0, false, s.movedError(shard)
	}
	if replica.State == StateOpen {
		replica.State = StateClosing
	}
	replica.finishClosing()
	return replica.LastIndex(), replica.State == StateClosed, nil
}

// AbortTransactions counts the transactions of a closing shard as ended; the runner rolls them back.
func (s *Store) AbortTransactions(shard string) {
	if replica := s.Replicas[shard]; replica != nil && replica.State == StateClosing {
		replica.OpenTransactions = 0
		replica.finishClosing()
	}
}

// Activate opens the replica with an epoch that the core has committed: at the target of a hand-over, where the log
// must reach requiredIndex, at the source of a roll-back, or at the first owner of a new shard.
func (s *Store) Activate(shard string, epoch, requiredIndex uint64) error {
	replica := s.Replicas[shard]
	if replica == nil {
		return s.activateNew(shard, epoch, requiredIndex)
	}
	switch {
	case replica.matches(epoch, StateOpen):
		return nil
	case epoch <= s.HighestEpochs[shard]:
		return ErrStaleEpoch
	case replica.State == StateReceiving || replica.LastIndex() < requiredIndex:
		return ErrIncomplete
	}
	replica.Epoch, replica.State, replica.Reserved, replica.OpenTransactions = epoch, StateOpen, 0, 0
	s.observeEpoch(shard, epoch)
	return nil
}

// activateNew creates the replica of a new shard, which has no entries yet.
func (s *Store) activateNew(shard string, epoch, requiredIndex uint64) error {
	if requiredIndex != 0 || epoch <= s.HighestEpochs[shard] {
		return ErrIncomplete
	}
	s.observeEpoch(shard, epoch)
	s.Replicas[shard] = &Replica{Epoch: epoch, State: StateOpen}
	return nil
}

// Drop removes the replica of a shard that another node owns with a newer epoch, and records that epoch as observed.
func (s *Store) Drop(shard string, epoch uint64) error {
	replica := s.Replicas[shard]
	if replica == nil {
		s.observeEpoch(shard, epoch)
		return nil
	}
	if epoch <= replica.Epoch || epoch < s.HighestEpochs[shard] {
		return ErrStaleEpoch
	}
	if replica.State == StateOpen || replica.State == StateClosing {
		return ErrWrongState
	}
	delete(s.Replicas, shard)
	s.observeEpoch(shard, epoch)
	return nil
}

// Discard removes the receiving replica of a transfer with this epoch or an older one.
func (s *Store) Discard(shard string, epoch uint64) error {
	replica := s.Replicas[shard]
	if replica == nil || replica.State != StateReceiving {
		return nil
	}
	if replica.Epoch > epoch {
		return ErrStaleEpoch
	}
	delete(s.Replicas, shard)
	return nil
}

// entryOverhead is the size of an entry in an answer without its body, in bytes.
const entryOverhead = 32

// ReadEntries returns the entries after afterIndex, up to maxBytes but at least one, and the number of entries that
// remain after them. It succeeds only at the shard's owner with this epoch, whether the shard is open or closed.
func (s *Store) ReadEntries(shard string, epoch, afterIndex uint64, maxBytes int64) (
	entries []Entry, remaining uint64, err error) {
	replica := s.Replicas[shard]
	if !replica.matches(epoch, StateOpen, StateClosing, StateClosed) {
		return nil, 0, s.movedError(shard)
	}
	start := min(afterIndex, replica.LastIndex())
	size := int64(0)
	for _, entry := range replica.Log[start:] {
		if size += entry.Bytes + entryOverhead; len(entries) > 0 && size > maxBytes {
			break
		}
		entries = append(entries, entry)
	}
	return entries, replica.LastIndex() - start - uint64(len(entries)), nil
}

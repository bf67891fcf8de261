package shardnode

// This file owns the steps of a transfer. Each may be repeated; one by an older epoch is refused.

// Reserve creates a receiving replica at the target, of the shard that its owner has by this epoch, and reserves bytes
// for it. The node decides, by what is really free of its disk.
func (s *Store) Reserve(shard string, epoch uint64, bytes int64) error {
	if epoch < s.HighestEpochs[shard] {
		return ErrStaleEpoch
	}
	old := s.Replicas[shard]
	if old.matches(epoch, StateReceiving, StateSealed) { // this transfer's own; a sealed one needs no more space
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

// AppendEntries appends the source's entries that the receiving replica lacks. Beyond its reservation it needs space
// that is free; where there is none the replica is removed.
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

// Seal keeps a replica that is complete up to lastIndex, until it is activated or dropped.
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

// Close stops the source's replica from beginning anything more by this epoch. Once done, no transaction is open and
// lastIndex is the log's final one.
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

// AbortTransactions ends the transactions that are still open at a shard that closes; the runner rolls them back.
func (s *Store) AbortTransactions(shard string) {
	if replica := s.Replicas[shard]; replica != nil && replica.State == StateClosing {
		replica.OpenTransactions = 0
		replica.finishClosing()
	}
}

// Activate opens the shard here by an epoch that the core has agreed on: at the target of a hand-over, where the log
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

// activateNew creates a shard that has no entries anywhere.
func (s *Store) activateNew(shard string, epoch, requiredIndex uint64) error {
	if requiredIndex != 0 || epoch <= s.HighestEpochs[shard] {
		return ErrIncomplete
	}
	s.observeEpoch(shard, epoch)
	s.Replicas[shard] = &Replica{Epoch: epoch, State: StateOpen}
	return nil
}

// Drop removes a replica of a shard that another node owns by a newer epoch, which is observed from here on.
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

// Discard removes a receiving replica of a transfer by this epoch or an older one.
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

// entryOverhead is what an entry takes in an answer beside its body, in bytes.
const entryOverhead = 32

// ReadEntries gives the entries behind afterIndex, up to maxBytes and one at least, and how many are left behind them.
// Only the shard's owner by this epoch has them, open or closed.
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

package shardnode

// This file owns the statements that a node takes on the line protocol: the system's own, which begin with SHARD, and
// the prefix ON of a client's. docs/rebalance.md lists them.

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// CutShardPrefix takes ON shard epoch off the front of a client's statement; ok is false where it isn't there.
func CutShardPrefix(text string) (shard string, epoch uint64, rest string, ok bool) {
	fields := strings.SplitN(text, " ", 4)
	if len(fields) < 4 || fields[0] != "ON" {
		return "", 0, text, false
	}
	epoch, err := strconv.ParseUint(fields[2], 10, 64)
	return fields[1], epoch, fields[3], err == nil
}

// EffectPosition is what a client is told of its effect, the same wherever the shard has moved since.
func EffectPosition(shard string, entry Entry) string {
	return shard + "." + strconv.FormatUint(entry.Index, 10)
}

// FetchRequest is what FETCH asks the target of a transfer to do: the runner sends EntriesStatement to the source and
// gives the rows of its answer to ApplyFetch.
type FetchRequest struct {
	Shard            string
	Epoch            uint64
	MaxBytes         int64
	SealAt           uint64 // seal the replica once its last index is this; 0: not yet
	Addr             string // of the source
	Service, Member  string // of the source
	AfterIndex       uint64 // the replica's last index
	EntriesStatement string
}

// statement is a parsed SHARD statement.
type statement struct {
	verb  string
	shard string
	epoch uint64
	args  []string // behind the epoch
}

// parseStatement parses SHARD verb shard epoch args...
func parseStatement(fields []string) (*statement, error) {
	if len(fields) < 4 {
		return nil, ErrWrongState
	}
	epoch, err := parseNumber(fields[3])
	if err != nil {
		return nil, err
	}
	return &statement{verb: fields[1], shard: fields[2], epoch: epoch, args: fields[4:]}, nil
}

// number parses the i-th argument.
func (st *statement) number(i int) (uint64, error) {
	if i >= len(st.args) {
		return 0, ErrWrongState
	}
	return parseNumber(st.args[i])
}

// numbers parses the first two arguments.
func (st *statement) numbers() (first, second uint64, err error) {
	if first, err = st.number(0); err != nil {
		return 0, 0, err
	}
	second, err = st.number(1)
	return first, second, err
}

// parseNumber parses a number that fits an int64 too.
func parseNumber(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, ErrWrongState
	}
	return n, nil
}

// Execute runs a SHARD statement and gives the rows of its answer; the store is to be synced before they are sent. A
// FETCH gives what is to be fetched instead.
func (s *Store) Execute(text string) (rows []string, fetch *FetchRequest, err error) {
	fields := strings.Fields(text)
	if len(fields) < 2 || fields[0] != "SHARD" {
		return nil, nil, ErrWrongState
	}
	if fields[1] == "LOOK" {
		rows, err = s.executeReport()
		return rows, nil, err
	}
	st, err := parseStatement(fields)
	if err != nil {
		return nil, nil, err
	}
	switch st.verb {
	case "RESERVE":
		err = s.executeReserve(st)
	case "SEAL":
		err = s.executeSeal(st)
	case "HOLD":
		err = s.executeActivate(st)
	case "SETTLE":
		rows, err = s.executeResolve(st)
	case "DROP":
		err = s.Drop(st.shard, st.epoch)
	case "ABANDON":
		err = s.Discard(st.shard, st.epoch)
	case "CLOSE":
		rows, err = s.executeClose(st)
	case "CUT":
		rows, err = s.executeAbortTransactions(st)
	case "ENTRIES":
		rows, err = s.executeEntries(st)
	case "FETCH":
		fetch, err = s.executeFetch(st)
	default:
		err = ErrWrongState
	}
	return rows, fetch, err
}

// executeReport answers with the report, in JSON.
func (s *Store) executeReport() ([]string, error) {
	report, err := json.Marshal(s.Report())
	return []string{string(report)}, err
}

// executeReserve takes the bytes.
func (s *Store) executeReserve(st *statement) error {
	bytes, err := st.number(0)
	if err != nil {
		return err
	}
	return s.Reserve(st.shard, st.epoch, int64(bytes))
}

// executeSeal takes the last index.
func (s *Store) executeSeal(st *statement) error {
	lastIndex, err := st.number(0)
	if err != nil {
		return err
	}
	return s.Seal(st.shard, st.epoch, lastIndex)
}

// executeActivate takes the required index.
func (s *Store) executeActivate(st *statement) error {
	requiredIndex, err := st.number(0)
	if err != nil {
		return err
	}
	return s.Activate(st.shard, st.epoch, requiredIndex)
}

// executeResolve takes the attempt's id and answers with the effect's position.
func (s *Store) executeResolve(st *statement) ([]string, error) {
	if len(st.args) != 1 {
		return nil, ErrWrongState
	}
	entry, err := s.ResolveAttempt(st.shard, st.epoch, st.args[0])
	if err != nil {
		return nil, err
	}
	return []string{EffectPosition(st.shard, entry)}, nil
}

// executeClose answers with the last index and whether it is final.
func (s *Store) executeClose(st *statement) ([]string, error) {
	lastIndex, done, err := s.Close(st.shard, st.epoch)
	return []string{fmt.Sprint(lastIndex, " ", done)}, err
}

// executeAbortTransactions closes, and aborts the transactions that this would wait for.
func (s *Store) executeAbortTransactions(st *statement) ([]string, error) {
	if _, done, err := s.Close(st.shard, st.epoch); err == nil && !done {
		s.AbortTransactions(st.shard)
	}
	return s.executeClose(st)
}

// executeEntries takes the index behind which entries are wanted and the most bytes of them. It answers with how many
// are left, then with the entries in JSON.
func (s *Store) executeEntries(st *statement) ([]string, error) {
	afterIndex, maxBytes, err := st.numbers()
	if err != nil {
		return nil, err
	}
	entries, remaining, err := s.ReadEntries(st.shard, st.epoch, afterIndex, int64(maxBytes))
	if err != nil {
		return nil, err
	}
	rows := []string{strconv.FormatUint(remaining, 10)}
	for _, entry := range entries {
		row, err := json.Marshal(entry)
		if err != nil {
			return nil, err
		}
		rows = append(rows, string(row))
	}
	return rows, nil
}

// executeFetch takes the most bytes, the index to seal at, and the source's address, service and member.
func (s *Store) executeFetch(st *statement) (*FetchRequest, error) {
	maxBytes, sealAt, err := st.numbers()
	if err != nil {
		return nil, err
	}
	replica := s.Replicas[st.shard]
	if len(st.args) != 5 || !replica.matches(st.epoch, StateReceiving, StateSealed) {
		return nil, ErrWrongState
	}
	return &FetchRequest{
		Shard: st.shard, Epoch: st.epoch, MaxBytes: int64(maxBytes), SealAt: sealAt,
		Addr: st.args[2], Service: st.args[3], Member: st.args[4], AfterIndex: replica.LastIndex(),
		EntriesStatement: fmt.Sprintf("SHARD ENTRIES %s %d %d %d", st.shard, st.epoch, replica.LastIndex(), maxBytes),
	}, nil
}

// ApplyFetch appends the entries of the source's answer, seals the replica if that was asked for, and gives the row of
// FETCH's own answer: last index, entries that remain at the source, sealed, bytes.
func (s *Store) ApplyFetch(fetch *FetchRequest, rows []string) ([]string, error) {
	remaining, entries, err := parseEntries(rows)
	if err != nil {
		return nil, err
	}
	bytes := int64(0)
	for _, entry := range entries {
		bytes += entry.Bytes
	}
	if replica := s.Replicas[fetch.Shard]; replica == nil || replica.State != StateSealed {
		if err := s.AppendEntries(fetch.Shard, fetch.Epoch, entries); err != nil {
			return nil, err
		}
	}
	sealed := fetch.SealAt > 0 && s.Seal(fetch.Shard, fetch.Epoch, fetch.SealAt) == nil
	lastIndex := s.Replicas[fetch.Shard].LastIndex()
	return []string{fmt.Sprint(lastIndex, " ", remaining, " ", sealed, " ", bytes)}, nil
}

// parseEntries reads the answer to ENTRIES.
func parseEntries(rows []string) (remaining uint64, entries []Entry, err error) {
	if len(rows) == 0 {
		return 0, nil, ErrWrongState
	}
	if remaining, err = strconv.ParseUint(rows[0], 10, 64); err != nil {
		return 0, nil, ErrWrongState
	}
	for _, row := range rows[1:] {
		var entry Entry
		if json.Unmarshal([]byte(row), &entry) != nil {
			return 0, nil, ErrWrongState
		}
		entries = append(entries, entry)
	}
	return remaining, entries, nil
}

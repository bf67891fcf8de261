package shardnode

// This file parses and executes the statements that a node accepts on the line protocol: internal statements, which
// begin with SHARD, and the prefix ON of clients' statements. docs/rebalance.md lists them.

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// CutShardPrefix splits a client's statement of the form "ON shard epoch rest". ok is false if it doesn't have this
// form.
func CutShardPrefix(text string) (shard string, epoch uint64, rest string, ok bool) {
	fields := strings.SplitN(text, " ", 4)
	if len(fields) < 4 || fields[0] != "ON" {
		return "", 0, text, false
	}
	epoch, err := strconv.ParseUint(fields[2], 10, 64)
	return fields[1], epoch, fields[3], err == nil
}

// EffectPosition returns the position of an entry that is sent to the client. It doesn't change when the shard moves.
func EffectPosition(shard string, entry Entry) string {
	return shard + "." + strconv.FormatUint(entry.Index, 10)
}

// FetchRequest describes the fetch that a FETCH statement requests from the target of a transfer: the runner sends
// EntriesStatement to the source and passes the rows of its answer to ApplyFetch.
type FetchRequest struct {
	Shard            string
	Epoch            uint64
	MaxBytes         int64
	SealAt           uint64 // last index at which the replica is to be sealed; 0: don't seal
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
	args  []string // arguments after the epoch
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

// parseNumber parses a number that also fits into an int64.
func parseNumber(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, ErrWrongState
	}
	return n, nil
}

// Execute executes a SHARD statement and returns the rows of its answer. The caller must sync the store before it sends
// them. For FETCH it returns the request to be made to the source instead.
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

// executeReport returns the report, in JSON.
func (s *Store) executeReport() ([]string, error) {
	report, err := json.Marshal(s.Report())
	return []string{string(report)}, err
}

// executeReserve executes RESERVE with the argument bytes.
func (s *Store) executeReserve(st *statement) error {
	bytes, err := st.number(0)
	if err != nil {
		return err
	}
	return s.Reserve(st.shard, st.epoch, int64(bytes))
}

// executeSeal executes SEAL with the argument last index.
func (s *Store) executeSeal(st *statement) error {
	lastIndex, err := st.number(0)
	if err != nil {
		return err
	}
	return s.Seal(st.shard, st.epoch, lastIndex)
}

// executeActivate executes HOLD with the argument required index.
func (s *Store) executeActivate(st *statement) error {
	requiredIndex, err := st.number(0)
	if err != nil {
		return err
	}
	return s.Activate(st.shard, st.epoch, requiredIndex)
}

// executeResolve executes SETTLE with the argument attempt id, and returns the effect's position.
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

// executeClose executes CLOSE, and returns the last index and whether it is final.
func (s *Store) executeClose(st *statement) ([]string, error) {
	lastIndex, done, err := s.Close(st.shard, st.epoch)
	return []string{fmt.Sprint(lastIndex, " ", done)}, err
}

// executeAbortTransactions executes CUT: it closes the shard and aborts the transactions that are still open.
func (s *Store) executeAbortTransactions(st *statement) ([]string, error) {
	if _, done, err := s.Close(st.shard, st.epoch); err == nil && !done {
		s.AbortTransactions(st.shard)
	}
	return s.executeClose(st)
}

// executeEntries executes ENTRIES with the arguments index, after which entries are requested, and maximum number of
// bytes. It returns the number of remaining entries, followed by the entries in JSON.
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

// executeFetch executes FETCH with the arguments maximum number of bytes, index to seal at, and the source's address,
// service and member.
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

// ApplyFetch appends the entries of the source's answer, seals the replica if requested, and returns the row of FETCH's
// own answer: last index, number of entries that remain at the source, whether the replica is sealed, bytes fetched.
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

// parseEntries parses the answer to ENTRIES.
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

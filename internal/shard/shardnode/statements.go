package shardnode

// This file owns the words that a node takes on the line wire: texts of the system's own that begin with SHARD, and ON
// in front of a client's statement. docs/rebalance.md lists them.

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Codes of a node's FAIL, each a promise that nothing was done.
const (
	CodeMoved  = "MOVED" // and the newest epoch that the node has heard
	CodeNoRoom = "NOROOM"
	CodeVoid   = "VOID"
	CodeOld    = "OLD"
	CodeBehind = "BEHIND"
	CodeState  = "STATE"
)

// Code gives the words behind FAIL for a refusal.
func Code(err error) string {
	var moved *MovedError
	switch {
	case errors.As(err, &moved):
		return CodeMoved + " " + strconv.FormatUint(moved.HighestEpoch, 10)
	case errors.Is(err, ErrNoCapacity):
		return CodeNoRoom
	case errors.Is(err, ErrAborted):
		return CodeVoid
	case errors.Is(err, ErrStaleEpoch):
		return CodeOld
	case errors.Is(err, ErrIncomplete):
		return CodeBehind
	}
	return CodeState
}

// On takes ON shard epoch off the front of a text; ok is false where it isn't there.
func CutShardPrefix(text string) (shard string, epoch uint64, rest string, ok bool) {
	f := strings.SplitN(text, " ", 4)
	if len(f) < 4 || f[0] != "ON" {
		return "", 0, text, false
	}
	epoch, err := strconv.ParseUint(f[2], 10, 64)
	return f[1], epoch, f[3], err == nil
}

// Stamp is what an effect is answered with, the same wherever the shard has moved since.
func EffectPosition(shard string, e Entry) string {
	return shard + "." + strconv.FormatUint(e.Index, 10)
}

// Report is a node's, for LOOK.
type Report struct {
	Capacity int64                    `json:"limit"`
	External int64                    `json:"foreign"`
	Free     int64                    `json:"free"`
	Busy     int                      `json:"busy"`
	Slots    int                      `json:"slots"`
	Replicas map[string]ReplicaReport `json:"copies"`
}

// Have is a copy as its node says.
type ReplicaReport struct {
	Epoch     uint64 `json:"epoch"`
	State     State  `json:"state"`
	LastIndex uint64 `json:"last"`
	Size      int64  `json:"held"`
}

// Report says what the keeper holds.
func (k *Store) Report() Report {
	r := Report{Capacity: k.Capacity, External: k.External, Free: k.FreeBytes(), Replicas: map[string]ReplicaReport{}}
	for shard, c := range k.Replicas {
		r.Replicas[shard] = ReplicaReport{c.Epoch, c.State, c.LastIndex(), c.Size}
	}
	return r
}

// Fetch is what FETCH asks a node to do: to take entries from another. Its runner calls the other and gives them to
// Receive.
type FetchRequest struct {
	Shard            string
	Epoch            uint64
	MaxBytes         int64
	SealAt           uint64 // once it has that much, the copy is sealed; 0: not
	Addr             string // of the node that holds it, with the name of its service and its id
	Service, Member  string
	AfterIndex       uint64 // what is here
	EntriesStatement string // the question to put there
}

// Say answers a SHARD text with rows. A FETCH gives what is to be fetched instead; the state is to be synced before the
// answer.
func (k *Store) Execute(text string) (rows []string, fetch *FetchRequest, err error) {
	f := strings.Fields(text)
	if len(f) < 2 || f[0] != "SHARD" {
		return nil, nil, ErrWrongState
	}
	if f[1] == "LOOK" {
		b, err := json.Marshal(k.Report())
		return []string{string(b)}, nil, err
	}
	num := func(i int) uint64 {
		if i >= len(f) {
			err = ErrWrongState
			return 0
		}
		n, wrong := strconv.ParseUint(f[i], 10, 63)
		if wrong != nil {
			err = ErrWrongState
		}
		return n
	}
	if len(f) < 4 {
		return nil, nil, ErrWrongState
	}
	shard, epoch := f[2], num(3)
	if err != nil {
		return nil, nil, err
	}
	switch f[1] {
	case "RESERVE":
		if n := num(4); err == nil {
			err = k.Reserve(shard, epoch, int64(n))
		}
	case "SEAL":
		if n := num(4); err == nil {
			err = k.Seal(shard, epoch, n)
		}
	case "HOLD":
		if n := num(4); err == nil {
			err = k.Activate(shard, epoch, n)
		}
	case "SETTLE":
		if len(f) != 5 {
			return nil, nil, ErrWrongState
		}
		var e Entry
		if e, err = k.ResolveAttempt(shard, epoch, f[4]); err == nil {
			rows = []string{EffectPosition(shard, e)}
		}
	case "DROP":
		err = k.Drop(shard, epoch)
	case "ABANDON":
		err = k.Discard(shard, epoch)
	case "CLOSE", "CUT":
		var last uint64
		var done bool
		if last, done, err = k.Close(shard, epoch); err == nil && f[1] == "CUT" && !done {
			k.AbortTransactions(shard)
			last, done, err = k.Close(shard, epoch)
		}
		rows = []string{fmt.Sprint(last, " ", done)}
	case "ENTRIES":
		after, most := num(4), num(5)
		if err != nil {
			break
		}
		entries, more, wrong := k.ReadEntries(shard, epoch, after, int64(most))
		if err = wrong; err == nil {
			rows = append(rows, fmt.Sprint(more))
			for _, e := range entries {
				b, _ := json.Marshal(e)
				rows = append(rows, string(b))
			}
		}
	case "FETCH":
		bytes, last := num(4), num(5)
		c := k.Replicas[shard]
		switch {
		case err != nil:
		case len(f) != 9 || c == nil || c.Epoch != epoch || c.State != StateReceiving && c.State != StateSealed:
			err = ErrWrongState
		default:
			fetch = &FetchRequest{
				Shard: shard, Epoch: epoch, MaxBytes: int64(bytes), SealAt: last,
				Addr: f[6], Service: f[7], Member: f[8], AfterIndex: c.LastIndex(),
				EntriesStatement: fmt.Sprintf("SHARD ENTRIES %s %d %d %d", shard, epoch, c.LastIndex(), bytes),
			}
		}
	default:
		err = ErrWrongState
	}
	return rows, fetch, err
}

// Fetched takes the rows that the other node answered, and gives those of FETCH's own answer: last, more, sealed,
// bytes.
func (k *Store) ApplyFetch(f *FetchRequest, rows []string) ([]string, error) {
	if len(rows) == 0 {
		return nil, ErrWrongState
	}
	more, err := strconv.ParseUint(rows[0], 10, 64)
	if err != nil {
		return nil, ErrWrongState
	}
	var entries []Entry
	took := int64(0)
	for _, r := range rows[1:] {
		var e Entry
		if json.Unmarshal([]byte(r), &e) != nil {
			return nil, ErrWrongState
		}
		entries = append(entries, e)
		took += e.Bytes
	}
	if c := k.Replicas[f.Shard]; c == nil || c.State != StateSealed {
		if err := k.AppendEntries(f.Shard, f.Epoch, entries); err != nil {
			return nil, err
		}
	}
	sealed := f.SealAt > 0 && k.Seal(f.Shard, f.Epoch, f.SealAt) == nil
	return []string{fmt.Sprint(k.Replicas[f.Shard].LastIndex(), " ", more, " ", sealed, " ", took)}, nil
}

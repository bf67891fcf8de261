package shardmap

// This file owns what an act is called on the line wire, and what a node's answer to it says.

import (
	"encoding/json"
	"fmt"
	"strings"

	"weirwind/internal/shard/shardnode"
)

// Text is an act's. from is FETCH's other node: address, service and id.
func (a *Action) Statement(from string) string {
	switch a.Kind {
	case ActionReport:
		return "SHARD LOOK"
	case ActionReserve:
		return fmt.Sprintf("SHARD RESERVE %s %d %d", a.Shard, a.Epoch, a.Bytes)
	case ActionFetch:
		return fmt.Sprintf("SHARD FETCH %s %d %d %d %s", a.Shard, a.Epoch, a.Bytes, a.LastIndex, from)
	case ActionSeal:
		return fmt.Sprintf("SHARD SEAL %s %d %d", a.Shard, a.Epoch, a.LastIndex)
	case ActionActivate:
		return fmt.Sprintf("SHARD HOLD %s %d %d", a.Shard, a.Epoch, a.LastIndex)
	}
	return fmt.Sprintf("SHARD %s %s %d", map[ActionKind]string{ActionClose: "CLOSE", ActionAbortTransactions: "CUT", ActionDrop: "DROP",
		ActionDiscard: "ABANDON"}[a.Kind], a.Shard, a.Epoch)
}

// ResultOf reads a node's answer: its rows, or the text of its refusal.
func (a *Action) ParseResult(rows []string, refusal string) Result {
	if refusal != "" {
		return Result{Code: strings.ToLower(strings.Fields(refusal)[0])}
	}
	r := Result{}
	row := strings.Join(rows, " ")
	switch a.Kind {
	case ActionClose, ActionAbortTransactions:
		if n, _ := fmt.Sscan(row, &r.LastIndex, &r.Done); n != 2 {
			r.Code = resultWrongState
		}
	case ActionFetch:
		if n, _ := fmt.Sscan(row, &r.LastIndex, &r.Remaining, &r.Done, &r.Bytes); n != 4 {
			r.Code = resultWrongState
		}
	}
	return r
}

// ReadReport reads the answer to LOOK.
func ParseReport(rows []string) (r shardnode.Report, ok bool) {
	return r, len(rows) == 1 && json.Unmarshal([]byte(rows[0]), &r) == nil && r.Replicas != nil
}

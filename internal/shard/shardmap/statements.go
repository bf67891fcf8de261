package shardmap

// This file formats actions as statements of the line protocol and parses the nodes' answers.

import (
	"encoding/json"
	"fmt"
	"strings"

	"weirwind/internal/shard/shardnode"
)

// verbs holds the verbs of the statements whose only arguments are the shard and its epoch.
var verbs = map[ActionKind]string{
	ActionClose:             "CLOSE",
	ActionAbortTransactions: "CUT",
	ActionDrop:              "DROP",
	ActionDiscard:           "ABANDON",
}

// Statement returns the statement for an action that is sent to a node. source is the source of an ActionFetch: its
// address, service and member id.
func (a *Action) Statement(source string) string {
	switch a.Kind {
	case ActionReport:
		return "SHARD LOOK"
	case ActionReserve:
		return fmt.Sprintf("SHARD RESERVE %s %d %d", a.Shard, a.Epoch, a.Bytes)
	case ActionFetch:
		return fmt.Sprintf("SHARD FETCH %s %d %d %d %s", a.Shard, a.Epoch, a.Bytes, a.LastIndex, source)
	case ActionSeal:
		return fmt.Sprintf("SHARD SEAL %s %d %d", a.Shard, a.Epoch, a.LastIndex)
	case ActionActivate:
		return fmt.Sprintf("SHARD HOLD %s %d %d", a.Shard, a.Epoch, a.LastIndex)
	}
	return fmt.Sprintf("SHARD %s %s %d", verbs[a.Kind], a.Shard, a.Epoch)
}

// ParseResult parses a node's answer: its rows, or the text of its refusal.
func (a *Action) ParseResult(rows []string, refusal string) Result {
	if refusal != "" {
		return Result{Code: ResultCode(strings.ToLower(strings.Fields(refusal)[0]))}
	}
	result := Result{}
	row := strings.Join(rows, " ")
	switch a.Kind {
	case ActionClose, ActionAbortTransactions:
		if n, _ := fmt.Sscan(row, &result.LastIndex, &result.Done); n != 2 {
			result.Code = ResultWrongState
		}
	case ActionFetch:
		if n, _ := fmt.Sscan(row, &result.LastIndex, &result.Remaining, &result.Done, &result.Bytes); n != 4 {
			result.Code = ResultWrongState
		}
	}
	return result
}

// ParseReport parses the answer to an ActionReport.
func ParseReport(rows []string) (report shardnode.Report, ok bool) {
	ok = len(rows) == 1 && json.Unmarshal([]byte(rows[0]), &report) == nil && report.Replicas != nil
	return report, ok
}

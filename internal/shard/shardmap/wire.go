package shardmap

// This file owns what an act is called on the line wire, and what a node's answer to it says.

import (
	"encoding/json"
	"fmt"
	"strings"

	"weirwind/internal/shard/shardnode"
)

// Text is an act's. from is FETCH's other node: address, service and id.
func (a *Act) Text(from string) string {
	switch a.Kind {
	case Look:
		return "SHARD LOOK"
	case Reserve:
		return fmt.Sprintf("SHARD RESERVE %s %d %d", a.Shard, a.Epoch, a.Bytes)
	case Fetch:
		return fmt.Sprintf("SHARD FETCH %s %d %d %d %s", a.Shard, a.Epoch, a.Bytes, a.Last, from)
	case Seal:
		return fmt.Sprintf("SHARD SEAL %s %d %d", a.Shard, a.Epoch, a.Last)
	case Hold:
		return fmt.Sprintf("SHARD HOLD %s %d %d", a.Shard, a.Epoch, a.Last)
	}
	return fmt.Sprintf("SHARD %s %s %d", map[ActKind]string{Close: "CLOSE", Cut: "CUT", Drop: "DROP",
		Abandon: "ABANDON"}[a.Kind], a.Shard, a.Epoch)
}

// ResultOf reads a node's answer: its rows, or the text of its refusal.
func (a *Act) ResultOf(rows []string, refusal string) Result {
	if refusal != "" {
		return Result{Err: strings.ToLower(strings.Fields(refusal)[0])}
	}
	r := Result{}
	row := strings.Join(rows, " ")
	switch a.Kind {
	case Close, Cut:
		if n, _ := fmt.Sscan(row, &r.Last, &r.Done); n != 2 {
			r.Err = badState
		}
	case Fetch:
		if n, _ := fmt.Sscan(row, &r.Last, &r.More, &r.Done, &r.Took); n != 4 {
			r.Err = badState
		}
	}
	return r
}

// ReadReport reads the answer to LOOK.
func ReadReport(rows []string) (r shardnode.Report, ok bool) {
	return r, len(rows) == 1 && json.Unmarshal([]byte(rows[0]), &r) == nil && r.Copies != nil
}

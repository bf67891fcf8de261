package hollow

import (
	"bytes"
	"testing"

	"github.com/parquet-go/parquet-go"

	"weirwind/internal/standin/golden"
)

// The columns of results and the text printed for a phase are as recorded.
func TestRecordedResults(t *testing.T) {
	rows := []Row{{Phase: "steady", Drivers: 10, Members: 42, Role: "core", Machines: 5, Seconds: 10, Events: 3,
		KnownAfter: 1.25, Link: "raft", Direction: "sent", Purpose: "append", Frames: 100, Bytes: 25000}}
	usage := rows[0]
	usage.Link, usage.Direction, usage.Purpose, usage.Bytes, usage.CPU, usage.Memory = "", "", "", 0, 2.5, 5<<20
	agent := rows[0]
	agent.Role, agent.Purpose, agent.Bytes = "agent", "renewal", 70
	none := rows[0]
	none.Purpose, none.Bytes = "idle", 0
	var out bytes.Buffer
	printPhase(&out, append(rows, usage, agent, none))
	golden.Text(t, "testdata/results.golden", []golden.Case[string]{golden.Of("printed", out.String()),
		golden.Of("columns", parquet.SchemaOf(Row{}).String())})
}

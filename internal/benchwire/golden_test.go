package benchwire

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"testing"

	"weirwind/internal/standin/golden"
	"weirwind/logic"
)

// recordedTurns is the digest of the output for the batches below, recorded from the build before a refactoring.
const recordedTurns = "6435bbfa2c49f4d6"

// Compares the output for random batches with every kind of line with a recorded digest.
func TestRecordedTurns(t *testing.T) {
	digest, written := fnv.New64a(), map[string]int{}
	for seed := range uint64(20) {
		out, err := serve(drawTurns(rand.New(rand.NewPCG(seed, 3))))
		fmt.Fprintf(digest, "%s%v\n", out, err)
		for line := range strings.Lines(out) {
			name, _, _ := strings.Cut(strings.TrimSpace(line), " ")
			written[name]++
		}
		if err != nil {
			t.Error(err)
		}
	}
	for _, name := range []string{"ATTEMPT", "DECLINE", "RESPOND_ERROR", "TIMER", "LISTEN", "NOTE_DOWN", "FOR"} {
		if written[name] == 0 {
			t.Errorf("no %s in the output: the digest doesn't cover it; lines by name: %v", name, written)
		}
	}
	if got := fmt.Sprintf("%016x", digest.Sum64()); got != recordedTurns {
		t.Errorf("digest %s, recorded %s", got, recordedTurns)
	}
}

func drawTurns(random *rand.Rand) string {
	var b strings.Builder
	b.WriteString(openedInput + "END\n")
	lastOp := 0
	for turn := range 60 {
		fmt.Fprintf(&b, "TURN wall=%d serial=%d\nTARGET_INSTANCE who=driver-%d\n", 1000000+(turn+1)*20000, turn+2, random.IntN(12)/11)
		for range 1 + random.IntN(5) {
			switch random.IntN(8) {
			case 0, 1, 2:
				lastOp++
				fmt.Fprintf(&b, "WORK_ITEM txn=t%d category=%c grace=%d cluster_no=%d\n", lastOp, "rw"[random.IntN(2)],
					1000*random.IntN(900), random.IntN(3))
			case 3, 4:
				results := []string{"pass", "none_here", "no_room", "no_route", "stale_send", "fault", "too_slow", "cut", "undone"}
				fmt.Fprintf(&b, "VERDICT txn=t%d attempt=0 member=%c:1 result=%s settled=%d progress=%d usage=x0:%g,x1:%d,y:z\n",
					1+random.IntN(lastOp+1), "ab"[random.IntN(2)], results[random.IntN(len(results))], random.IntN(2), random.IntN(9), random.Float64(), random.IntN(2))
			case 5:
				fmt.Fprintf(&b, "STATUS_BACK member=%c:1 delay_seen=%d result=pass usage=x1:%d\n", "ab"[random.IntN(2)],
					random.IntN(90000), random.IntN(2))
			case 6:
				fmt.Fprintf(&b, "CLIENT_GONE txn=t%d\nBELL handle=0\nMAIL payload=AAEC\n", 1+random.IntN(lastOp+1))
			default:
				fmt.Fprintf(&b, "LIST table=4 items=1\nENTRY member=%c:1 phase=%s cluster=1 head=%d zone=z born=%d\n"+
					"TARGETS how=%s table=4\n", "abc"[random.IntN(3)], []string{"healthy", "cordoned", "deregistered"}[random.IntN(3)],
					random.IntN(2), random.IntN(1000000), []string{"Partial", "Partial", "Complete", "Error"}[random.IntN(4)])
			}
		}
		b.WriteString("END\n")
	}
	return b.String()
}

// Compares errors and their line numbers with texts recorded from the build before a refactoring.
func TestRecordedErrors(t *testing.T) {
	var cases []golden.Case[string]
	for i, bad := range []string{
		"WORK_ITEM txn=01 category=w grace=soon cluster_no=1", "WORK_ITEM txn=01 category=x grace=1 cluster_no=1",
		"WORK_ITEM txn=01 category=w cluster_no=1", "WORK_ITEM", "VERDICT txn=01 attempt=0 member=a:1 result=fine",
		"VERDICT txn=01", "TARGETS how=Partial index=1 table=9", "TARGETS how=Odd index=1 table=3", "TARGETS", "BELL handle",
		"MAIL who=1 payload=!", "MAIL who=1", "STATUS_BACK member=a:1 result=pass usage=x0:many", "STATUS_BACK",
		"LIST table=1 items=2\nENTRY member=a:1 phase=healthy\nEND", "LIST table=1 items=1\nENTRY member", "LIST",
		"LIST table=1 items=-1", "LIST table=1 items=1\nENTRY member=a phase=odd", "LIST table=1 items=1\nENTRY member=a",
		"OPEN_INSTANCE init_seed=1 setup={", "OPEN_INSTANCE init_seed=x setup={}", "OPEN_INSTANCE", "TURN wall=1 serial=2",
		"ENTRY", "TARGET_INSTANCE", "CLIENT_GONE", "STOP x=1", "OPEN_INSTANCE init_seed=-3 setup=" + setupText,
	} {
		_, err := serve(openedInput + bad + "\nEND\n")
		cases = append(cases, golden.Of(fmt.Sprintf("line %02d", i), fmt.Sprint(err)))
	}
	for i, in := range []string{"", "\n\r\n", "END\n", "TURN\n", "TURN wall=1 serial=1\n", "TURN wall=x serial=1\nEND\n",
		"TURN wall=1 serial=1\nBELL x=1\nEND\n", "TURN wall=1 serial=1\nTARGET_INSTANCE who=a\nLIST table=1 items=1\n",
		"TURN wall=1 serial=1\nSTOP\nSTOP\nEND"} {
		out, err := serve(in)
		cases = append(cases, golden.Of(fmt.Sprintf("input %02d", i), fmt.Sprintf("%s %v", out, err)))
	}
	golden.Text(t, "testdata/errors.txt", cases)
}

// Compares the line of each kind of action with a recorded one.
func TestRecordedActions(t *testing.T) {
	var cases []golden.Case[string]
	for kind := logic.ActionKind(0); kind < 12; kind++ {
		for i, a := range []logic.Action{{Op: "o", Member: "m", Wait: 12.3456, Send: 2, Text: "a\nb", Data: []byte{1, 2}}, {}} {
			a.Kind = kind
			var out strings.Builder
			s := &server{out: bufio.NewWriter(&out)}
			s.writeAction(&a)
			if err := s.out.Flush(); err != nil {
				t.Fatal(err)
			}
			cases = append(cases, golden.Of(fmt.Sprintf("action %02d %d", kind, i), out.String()))
		}
	}
	golden.Text(t, "testdata/actions.txt", cases)
}

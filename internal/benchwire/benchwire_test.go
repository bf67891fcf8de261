package benchwire

import (
	"bufio"
	"strings"
	"testing"

	"weirwind/logic"
)

const setupText = `{"family_info":{"checks":"bounce","needs_by_class":["eventual","mutate"],"oldest_data":[0,0],` +
	`"position_zero":0,"shows_role":"static","stamps":true,"later":1},"policy_limits":{"send_cap":4,"may_probe":true},` +
	`"profiles":[{"name":"r","aim":300000,"deadline":1e6,"effect":"repeatable","points":1},` +
	`{"name":"w","aim":300000,"deadline":1e6,"effect":"once","points":2}],"tick":5000,"new_key":[1,2]}`

const openedInput = "TURN wall=1000000 serial=1\nTARGET_INSTANCE who=driver-0\nOPEN_INSTANCE init_seed=5 setup=" + setupText +
	"\nLIST table=3 items=2\nENTRY member=a:1 phase=healthy cluster=1 head=1 unheard=2\n" +
	"ENTRY member=b:1 phase=healthy cluster=1\nTARGETS how=Persisted index=1 table=3\n"

func serve(in string) (string, error) {
	var out strings.Builder
	err := Serve(strings.NewReader(in), &out)
	return out.String(), err
}

func TestOpenedInstanceSendsAnAttempt(t *testing.T) {
	out, err := serve(openedInput + "WORK_ITEM txn=00ff category=w session=4 grace=900000.0 cluster_no=1.0 update=1\nEND\n")
	if err != nil || !strings.Contains(out, "ATTEMPT txn=00ff member=a:1 limit=") || !strings.HasSuffix(out, "END serial=1\n") {
		t.Fatalf("%v\n%s", err, out)
	}
}

// A list number may be redefined within a batch, and an instance may be stopped and opened again within it.
func TestListNumbersAndRestartsFollowInputOrder(t *testing.T) {
	again := strings.SplitAfterN(openedInput, "\n", 2)[1]
	out, err := serve(openedInput + "LIST table=3 items=1\nENTRY member=c:1 phase=healthy cluster=1 head=1\n" +
		"STOP\n" + strings.ReplaceAll(again, "a:1", "z:1") + "WORK_ITEM txn=01 category=w grace=900000 cluster_no=1\nEND\n")
	if err != nil || !strings.Contains(out, "member=z:1") {
		t.Fatalf("%v\n%s", err, out)
	}
}

func TestMalformedLinesAreReportedWithTheirNumber(t *testing.T) {
	for bad, want := range map[string]string{
		"WORK_ITEM txn=01 category=w grace=soon cluster_no=1":       "line 8: WORK_ITEM: grace is not a number",
		"WORK_ITEM txn=01 category=x grace=1 cluster_no=1":          `line 8: category "x" is not among the profiles`,
		"WORK_ITEM txn=01 category=w cluster_no=1":                  "line 8: WORK_ITEM lacks grace",
		"VERDICT txn=01 attempt=0 member=a:1 result=fine":           `line 8: VERDICT has the unknown result "fine"`,
		"TARGETS how=Partial index=1 table=9":                       "line 8: TARGETS names list 9, which was never given",
		"TARGETS how=Odd index=1 table=3":                           `line 8: TARGETS has the unknown kind "Odd"`,
		"BELL handle":                                               "line 8: BELL: not a name=value part",
		"MAIL who=1 payload=!":                                      "line 8: payload:",
		"STATUS_BACK member=a:1 result=pass usage=x0:many":          "line 8: STATUS_BACK: report value x0 is not a number",
		"LIST table=1 items=2\nENTRY member=a:1 phase=healthy\nEND": "line 10: want ENTRY, have END",
		"LIST table=1 items=1\nENTRY member":                        "line 9: ENTRY: not a name=value part",
		"WORK_ITEM txn=01 category=w grace=NaN cluster_no=1":        "line 8: WORK_ITEM: grace is not a number",
		"OPEN_INSTANCE init_seed=1 setup={":                         "line 8: setup:",
		"TURN wall=1 serial=2":                                      "line 8: TURN inside a batch",
	} {
		t.Run(bad, func(t *testing.T) {
			if _, err := serve(openedInput + bad + "\nEND\n"); err == nil || !strings.HasPrefix(err.Error(), want) {
				t.Errorf("want %q, have %v", want, err)
			}
		})
	}
	if _, err := serve(openedInput); err == nil {
		t.Error("no error for input that ends inside a batch")
	}
}

func TestUnknownLinesAndOpsAreSkipped(t *testing.T) {
	out, err := serve(openedInput + "CLIENT_GONE txn=77\nVERDICT txn=78 attempt=3 member=q:9 result=pass settled=1\n" +
		"SOMETHING_NEW x=1\nSTATUS_BACK member=q:9 result=pass usage=x0:1.5,odd:2,x1:0\nEND\n" +
		"TURN wall=1005000 serial=2\nTARGET_INSTANCE who=driver-4\nBELL handle=1\nEND\n")
	if err != nil || !strings.HasSuffix(out, "END serial=2\n") {
		t.Fatalf("%v\n%s", err, out)
	}
}

// A panic of the module is reported as the action PANIC with the panic's text.
func TestPanicIsReported(t *testing.T) {
	var buf strings.Builder
	s := &server{now: 1, out: bufio.NewWriter(&buf)}
	s.step(&instance{name: "driver-0", driver: &logic.Driver{}, events: []logic.Event{{Kind: logic.EvOpen}}})
	s.out.Flush()
	if !strings.HasPrefix(buf.String(), "FOR who=driver-0\nPANIC line=") {
		t.Fatal(buf.String())
	}
}

func TestPayloadsRoundTrip(t *testing.T) {
	for _, data := range [][]byte{nil, {0}, {1, 2, 255}} {
		decoded, err := decodePayload(encodePayload(data))
		if err != nil || string(decoded) != string(data) {
			t.Errorf("payload %v was decoded as %v, error %v", data, decoded, err)
		}
	}
}

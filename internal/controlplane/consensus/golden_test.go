package consensus

import (
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

var update = flag.Bool("update", false, "write testdata/wire.txt anew")

// TestWireForm holds the bytes of each kind of message, and of what is stored and exported, against those
// that were recorded: they are what other machines of another build send, and what their disks hold.
func TestWireForm(t *testing.T) {
	const file = "testdata/wire.txt"
	voters := []Voter{{"0@a:1", "a:1"}, {"7f3a@b:2", "b:2"}}
	entry := Entry{Term: 3, Index: 7, Voters: voters, Value: []byte("value")}
	from := voters[1]
	values := []struct {
		name  string
		value any
	}{
		{"vote request", &Message{Kind: 1, From: from, Term: 4, LastTerm: 3, LastIndex: 7}},
		{"vote request of a leadership transfer", &Message{Kind: 1, From: from, Term: 4, LastTerm: 3, LastIndex: 7,
			Granted: true}},
		{"vote granted", &Message{Kind: 2, From: from, Term: 4, Granted: true}},
		{"vote denied", &Message{Kind: 2, From: from, Term: 4}},
		{"append with entry", &Message{Kind: 3, From: from, Term: 4, LastTerm: 3, LastIndex: 7, Entry: &entry, Commit: 6,
			Round: 300, Contact: 1234.5, Incarnation: 0xfeedbeef}},
		{"heartbeat", &Message{Kind: 3, From: from, Term: 4, LastTerm: 3, LastIndex: 7, Commit: 7, Round: 301}},
		{"append response", &Message{Kind: 4, From: from, Term: 4, LastTerm: 3, LastIndex: 7, Round: 301,
			Clock: 77.25, Incarnation: 9}},
		{"append response of a leaver", &Message{Kind: 4, From: from, Term: 4, LastTerm: 3, LastIndex: 7, Granted: true,
			Round: 301, Clock: 77.25, Incarnation: 9}},
		{"join", &Message{Kind: 5, From: from}},
		{"join, forwarded", &Message{Kind: 5, From: from, Granted: true}},
		{"pre-vote request", &Message{Kind: 6, From: from, Term: 5, LastTerm: 3, LastIndex: 7}},
		{"pre-vote granted", &Message{Kind: 7, From: from, Term: 5, Granted: true}},
		{"leave", &Message{Kind: 8, From: from}},
		{"leadership transfer", &Message{Kind: 9, From: from, Term: 4}},
		{"entry", &entry},
		{"entry without value", &Entry{Index: 1, Voters: voters}},
		{"hard state", &HardState{ID: "0@a:1", Term: 4, Vote: "7f3a@b:2", Last: entry, Commit: 6, CommitTerm: 3}},
		{"hard state, bootstrap", ref(Bootstrap("b:2", []string{"c:3", "a:1", "b:2"}))},
		{"hard state, restored", ref(Restore("b:2", []string{"c:3", "b:2"}, entry, 1<<20+4))},
		{"hard state, restored elsewhere", ref(Restore("d:4", []string{"c:3", "b:2"}, entry, 1<<20+4))},
		{"hard state, empty disk", ref(Empty("7f3a@b:2"))},
	}
	var now strings.Builder
	for _, v := range values {
		b, err := cbor.Marshal(v.value)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&now, "%s: %x\n", v.name, b)
	}
	if *update {
		if err := os.WriteFile(file, []byte(now.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	if len(lines) != len(values) {
		t.Fatalf("%d forms are recorded, and %d are tested", len(lines), len(values))
	}
	for i, v := range values {
		t.Run(v.name, func(t *testing.T) {
			name, recorded, _ := strings.Cut(lines[i], ": ")
			raw, err := hex.DecodeString(recorded)
			if err != nil || name != v.name {
				t.Fatal(name, err)
			}
			if b, _ := cbor.Marshal(v.value); string(b) != string(raw) {
				t.Errorf("encodes as %x, recorded was %x", b, raw)
			}
			back := reflect.New(reflect.TypeOf(v.value).Elem())
			if err := cbor.Unmarshal(raw, back.Interface()); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(back.Interface(), v.value) {
				t.Errorf("decodes as %+v, want %+v", back.Interface(), v.value)
			}
		})
	}
}

// TestStatusForm holds what the control plane's status call shows of voters.
func TestStatusForm(t *testing.T) {
	n := New(Options{Addr: "a:1", MinVoters: 3, HeartbeatInterval: 200, ElectionTimeout: 900, RemoveAfter: 1575,
		Random: lowest}, Bootstrap("a:1", []string{"a:1", "b:2", "c:3"}), 1000)
	n.preCampaign(1000)
	n.Step(&Message{Kind: PreVoteResponse, From: Voter{"0@b:2", "b:2"}, Term: 1, Granted: true}, 1000)
	n.Step(&Message{Kind: VoteResponse, From: Voter{"0@b:2", "b:2"}, Term: 1, Granted: true}, 1000)
	n.Step(&Message{Kind: AppendEntriesResponse, From: Voter{"0@b:2", "b:2"}, Term: 1, LastTerm: 1, LastIndex: 2,
		Round: 1}, 1010.5)
	b, err := json.Marshal(map[string]any{"voters": n.HardState.Last.Voters, "others": n.PeerStatuses(1020)})
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"others":[{"ID":"0@b:2","Addr":"b:2","Index":2,"Behind":false,"Silent":9.5},` +
		`{"ID":"0@c:3","Addr":"c:3","Index":0,"Behind":true,"Silent":20}],` +
		`"voters":[{"ID":"0@a:1","Addr":"a:1"},{"ID":"0@b:2","Addr":"b:2"},{"ID":"0@c:3","Addr":"c:3"}]}`
	if string(b) != want {
		t.Errorf("%s\nwant %s", b, want)
	}
}

func ref[T any](v T) *T { return &v }

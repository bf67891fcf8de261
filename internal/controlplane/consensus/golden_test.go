package consensus

import (
	"encoding/json"
	"flag"
	"testing"

	"weirwind/internal/standin/golden"
)

var update = flag.Bool("update", false, "rewrite testdata/transcripts")

var (
	goldenVoters = []Voter{{"0@a:1", "a:1"}, {"7f3a@b:2", "b:2"}}
	goldenEntry  = Entry{Term: 3, Index: 7, Voters: goldenVoters, Value: []byte("value")}
)

// TestMessageEncoding compares the encoding of each kind of message with a recorded one: other builds send the same.
func TestMessageEncoding(t *testing.T) {
	from := goldenVoters[1]
	golden.CBOR(t, "testdata/messages.golden", []golden.Case[Message]{
		golden.Of("vote request", Message{Kind: 1, From: from, Term: 4, LastTerm: 3, LastIndex: 7}),
		golden.Of("vote request of a leadership transfer", Message{Kind: 1, From: from, Term: 4, LastTerm: 3, LastIndex: 7,
			Granted: true}),
		golden.Of("vote granted", Message{Kind: 2, From: from, Term: 4, Granted: true}),
		golden.Of("vote denied", Message{Kind: 2, From: from, Term: 4}),
		golden.Of("append with entry", Message{Kind: 3, From: from, Term: 4, LastTerm: 3, LastIndex: 7, Entry: &goldenEntry,
			Commit: 6, Round: 300, Contact: 1234.5, Incarnation: 0xfeedbeef}),
		golden.Of("heartbeat", Message{Kind: 3, From: from, Term: 4, LastTerm: 3, LastIndex: 7, Commit: 7, Round: 301}),
		golden.Of("append response", Message{Kind: 4, From: from, Term: 4, LastTerm: 3, LastIndex: 7, Round: 301,
			Clock: 77.25, Incarnation: 9}),
		golden.Of("append response of a leaver", Message{Kind: 4, From: from, Term: 4, LastTerm: 3, LastIndex: 7,
			Granted: true, Round: 301, Clock: 77.25, Incarnation: 9}),
		golden.Of("join", Message{Kind: 5, From: from}),
		golden.Of("join, forwarded", Message{Kind: 5, From: from, Granted: true}),
		golden.Of("pre-vote request", Message{Kind: 6, From: from, Term: 5, LastTerm: 3, LastIndex: 7}),
		golden.Of("pre-vote granted", Message{Kind: 7, From: from, Term: 5, Granted: true}),
		golden.Of("leave", Message{Kind: 8, From: from}),
		golden.Of("leadership transfer", Message{Kind: 9, From: from, Term: 4}),
	})
}

// TestStoredEncoding compares the encodings of entries, which are stored, exported and sent, and of hard states with
// recorded ones.
func TestStoredEncoding(t *testing.T) {
	golden.CBOR(t, "testdata/entries.golden", []golden.Case[Entry]{
		golden.Of("entry", goldenEntry),
		golden.Of("entry without value", Entry{Index: 1, Voters: goldenVoters}),
	})
	golden.CBOR(t, "testdata/hardstates.golden", []golden.Case[HardState]{
		golden.Of("after a vote", HardState{ID: "0@a:1", Term: 4, Vote: "7f3a@b:2", Last: goldenEntry, Commit: 6,
			CommitTerm: 3}),
		golden.Of("bootstrap", Bootstrap("b:2", []string{"c:3", "a:1", "b:2"})),
		golden.Of("restored", Restore("b:2", []string{"c:3", "b:2"}, goldenEntry, 1<<20+4)),
		golden.Of("restored elsewhere", Restore("d:4", []string{"c:3", "b:2"}, goldenEntry, 1<<20+4)),
		golden.Of("empty disk", Empty("7f3a@b:2")),
	})
}

// TestStatusJSON checks the JSON form of voters and peers in the control plane's status response.
func TestStatusJSON(t *testing.T) {
	n := New(Options{Addr: "a:1", MinVoters: 3, HeartbeatInterval: 200, ElectionTimeout: 900, RemoveAfter: 1575,
		Random: zeroRandom}, Bootstrap("a:1", []string{"a:1", "b:2", "c:3"}), 1000)
	other := Voter{"0@b:2", "b:2"}
	n.preCampaign(1000)
	n.Step(&Message{Kind: PreVoteResponse, From: other, Term: 1, Granted: true}, 1000)
	n.Step(&Message{Kind: VoteResponse, From: other, Term: 1, Granted: true}, 1000)
	n.Step(&Message{Kind: AppendEntriesResponse, From: other, Term: 1, LastTerm: 1, LastIndex: 2, Round: 1}, 1010.5)
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

package sessionstate

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
)

// The exact commands that Sync returns as two sessions share a connection.
func TestSyncTexts(t *testing.T) {
	var c Conn
	var first, second Session
	first.SetValue("zone", "eu west")
	first.SetValue("app", "")
	second.SetValue("app", "x")
	fetch, store := &Statement{"FETCH", "a b"}, &Statement{"STORE", "a b"}
	for i, step := range []struct {
		session    *Session
		statement  *Statement
		texts      []string
		name       string
		valuesHash uint64
	}{
		{&first, nil, []string{"SET app", "SET zone eu west"}, "", 0x530dcec767e63c09},
		{&first, nil, nil, "", 0x530dcec767e63c09},
		{&first, fetch, []string{"PREP w1 FETCH a b"}, "w1", 0x530dcec767e63c09},
		{&first, store, []string{"PREP w2 STORE a b"}, "w2", 0x530dcec767e63c09},
		{&first, fetch, nil, "w1", 0x530dcec767e63c09},
		{&second, fetch, []string{"RESET", "SET app x", "PREP w3 FETCH a b"}, "w3", 0x195492412f2ee2fd},
		{&Session{}, nil, []string{"RESET"}, "", 0},
	} {
		texts, name := c.Sync(step.session, step.statement)
		if !slices.Equal(texts, step.texts) || name != step.name || c.ValuesHash() != step.valuesHash {
			t.Errorf("step %d: %q %q %#x", i, texts, name, c.ValuesHash())
		}
	}
}

// The commands, names and hashes in random histories of sessions that share connections, up to the limits of sessions
// and connections. The texts that are hashed below are part of the expected value.
func TestSyncInRandomHistories(t *testing.T) {
	const want = uint64(0x4d966a84e01eba17)
	hash := fnv.New64a()
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var sessions [5]Session
		var conns [3]Conn
		for range 1500 {
			session := &sessions[rng.IntN(len(sessions))]
			name := fmt.Sprint("n", rng.IntN(300))
			switch rng.IntN(8) {
			case 0:
				fmt.Fprintln(hash, "set", session.SetValue(fmt.Sprint("v", rng.IntN(4)), fmt.Sprint(rng.IntN(3))), session.ValuesHash())
			case 1, 2:
				fmt.Fprintln(hash, "prepare", session.Prepare(name, Statement{"FETCH", fmt.Sprint("q", rng.IntN(200))}))
			case 3:
				fmt.Fprintln(hash, "unprepare", session.Unprepare(name))
			case 4:
				if rng.IntN(30) == 0 {
					*session = Session{}
				}
			default:
				var statement *Statement
				if prepared, ok := session.Prepared(name); ok {
					statement = &prepared
				}
				c := &conns[rng.IntN(len(conns))]
				texts, connName := c.Sync(session, statement)
				fmt.Fprintf(hash, "ready %q %q %x\n", texts, connName, c.ValuesHash())
			}
		}
	}
	var full Session
	for i := range MaxValues + 2 {
		fmt.Fprintln(hash, full.SetValue(fmt.Sprint(i), ""), full.Prepare(fmt.Sprint(i), Statement{"STORE", "x"}))
	}
	fmt.Fprintln(hash, full.SetValue("0", "again"), full.ValuesHash())
	if got := hash.Sum64(); got != want {
		t.Errorf("hash %#x, want %#x", got, want)
	}
}

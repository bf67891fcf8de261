package sessionstate

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
)

// What is said on a connection, byte for byte, as sessions share it.
func TestTextsBeforeStatements(t *testing.T) {
	var c Conn
	var first, second Session
	first.SetValue("zone", "eu west")
	first.SetValue("app", "")
	second.SetValue("app", "x")
	fetch, store := &Statement{"FETCH", "a b"}, &Statement{"STORE", "a b"}
	for i, step := range []struct {
		s     *Session
		shape *Statement
		texts []string
		name  string
		sum   uint64
	}{
		{&first, nil, []string{"SET app", "SET zone eu west"}, "", 0x530dcec767e63c09},
		{&first, nil, nil, "", 0x530dcec767e63c09},
		{&first, fetch, []string{"PREP w1 FETCH a b"}, "w1", 0x530dcec767e63c09},
		{&first, store, []string{"PREP w2 STORE a b"}, "w2", 0x530dcec767e63c09},
		{&first, fetch, nil, "w1", 0x530dcec767e63c09},
		{&second, fetch, []string{"RESET", "SET app x", "PREP w3 FETCH a b"}, "w3", 0x195492412f2ee2fd},
		{&Session{}, nil, []string{"RESET"}, "", 0},
	} {
		texts, name := c.Sync(step.s, step.shape)
		if !slices.Equal(texts, step.texts) || name != step.name || c.ValuesHash() != step.sum {
			t.Errorf("step %d: %q %q %#x", i, texts, name, c.ValuesHash())
		}
	}
}

// The texts, names and sums of seeded histories of sessions that share connections, their bounds met.
func TestDigestOfHistories(t *testing.T) {
	const want = uint64(0x4d966a84e01eba17)
	sum := fnv.New64a()
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var sessions [5]Session
		var conns [3]Conn
		for range 1500 {
			s := &sessions[rng.IntN(len(sessions))]
			name := fmt.Sprint("n", rng.IntN(300))
			switch rng.IntN(8) {
			case 0:
				fmt.Fprintln(sum, "set", s.SetValue(fmt.Sprint("v", rng.IntN(4)), fmt.Sprint(rng.IntN(3))), s.ValuesHash())
			case 1, 2:
				fmt.Fprintln(sum, "prepare", s.Prepare(name, Statement{"FETCH", fmt.Sprint("q", rng.IntN(200))}))
			case 3:
				fmt.Fprintln(sum, "unprepare", s.Unprepare(name))
			case 4:
				if rng.IntN(30) == 0 {
					*s = Session{}
				}
			default:
				var shape *Statement
				if sh, ok := s.Prepared(name); ok {
					shape = &sh
				}
				c := &conns[rng.IntN(len(conns))]
				texts, called := c.Sync(s, shape)
				fmt.Fprintf(sum, "ready %q %q %x\n", texts, called, c.ValuesHash())
			}
		}
	}
	var full Session
	for i := range MaxValues + 2 {
		fmt.Fprintln(sum, full.SetValue(fmt.Sprint(i), ""), full.Prepare(fmt.Sprint(i), Statement{"STORE", "x"}))
	}
	fmt.Fprintln(sum, full.SetValue("0", "again"), full.ValuesHash())
	if got := sum.Sum64(); got != want {
		t.Errorf("digest %#x, want %#x", got, want)
	}
}

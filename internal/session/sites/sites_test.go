package sites

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"weirwind/internal/standin/golden"
)

func TestGoldenForms(t *testing.T) {
	site := Site{"10.0.0.1:1", "10.0.0.1:2", "z1", "r1", 3, 4, StateDraining, 500}
	changes := []golden.Case[Change]{
		golden.Of("join", Change{Kind: ChangeJoin, Name: "a", Site: site}),
		golden.Of("lapse", Change{Kind: ChangeExpire, Name: "a", Epoch: 7}),
		golden.Of("leave", Change{Kind: ChangeLeave, Name: "a", Epoch: 8}),
		golden.Of("drain", Change{Kind: ChangeDrain, Name: "a", DrainRate: 9}),
		golden.Of("undrain", Change{Kind: ChangeUndrain, Name: "a"}),
	}
	golden.CBOR(t, "testdata/change.cbor", changes)
	golden.JSON(t, "testdata/change.json", changes)
	maps := []golden.Case[Map]{golden.Of("map", Map{Version: 5, Sites: map[string]Site{"a": site}})}
	golden.CBOR(t, "testdata/map.cbor", maps)
	golden.JSON(t, "testdata/map.json", maps)
}

// The digest covers random changes of a map: the resulting map or the error, and the candidates for replicas.
func TestDecisionDigest(t *testing.T) {
	const recorded = 0xcb07f8436d95ab21
	trace := fnv.New64a()
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 11))
		var m *Map
		for range 200 {
			name := fmt.Sprint("s", r.IntN(7))
			change := &Change{Kind: []ChangeKind{ChangeJoin, ChangeJoin, ChangeExpire, ChangeLeave, ChangeDrain, ChangeUndrain,
				"none"}[r.IntN(7)], Name: name,
				Epoch: uint64(r.IntN(4)), DrainRate: r.IntN(3), Site: Site{Addr: strings.Repeat("x", r.IntN(5)),
					Incarnation: uint64(r.IntN(4)),
					Zone:        fmt.Sprint("z", r.IntN(3)), Region: fmt.Sprint("r", r.IntN(2))}}
			next, err := m.Apply(change)
			_, _ = fmt.Fprint(trace, err, next == m)
			if err != nil {
				continue
			}
			m = next
			encoded, err := json.Marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = trace.Write(encoded)
			for _, count := range []int{1, 2, 3} {
				excluded := fmt.Sprint("s", r.IntN(7))
				candidates := m.ReplicaCandidates(name, fmt.Sprint("session", r.IntN(9)), count, func(s string) bool { return s == excluded })
				_, _ = fmt.Fprint(trace, strings.Join(candidates, " "), m.Alive(name), m.AliveAt(name, 2), slices.Contains(candidates, name))
			}
		}
	}
	if got := trace.Sum64(); got != recorded {
		t.Errorf("the digest is %#x, recorded: %#x", got, uint64(recorded))
	}
}

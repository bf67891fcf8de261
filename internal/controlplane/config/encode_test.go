package config

import (
	"bytes"
	"fmt"
	"testing"
)

// Equal states encode to equal bytes, regardless of the changes that led to their rosters and of Go's map order.
func TestEqualStatesEncodeToEqualBytes(t *testing.T) {
	state := &State{Version: 3}
	for service := range 12 {
		state = state.WithRoster(RosterChange{Add: []RosterMember{{Service: fmt.Sprint("s", service), ID: "a"}}})
	}
	first, err := state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for range 50 {
		again, err := state.WithRoster(RosterChange{Add: []RosterMember{{Service: "s1", ID: "b"}}}).
			WithRoster(RosterChange{Remove: []RosterMember{{Service: "s1", ID: "b"}}}).Encode()
		if err != nil || !bytes.Equal(again, first) {
			t.Fatalf("%x, want %x; %v", again, first, err)
		}
	}
}

// If an amendment has several errors, the same one is reported each time.
func TestAmendmentErrorIsDeterministic(t *testing.T) {
	state := &State{Version: 1, Raw: []byte(`{"gen":1,"routes":{},"svcs":{},"limits":{}}`)}
	body := []byte(`{"gen":2,"upsert":{"svcs":[{"name":"s"}],"routes":[{"name":"r"}],"limits":[{"name":"l"}]}}`)
	for range 50 {
		_, err := state.applyAmendment(body)
		if err == nil || err.Error() != `"limits" is no list of items` {
			t.Fatal(err)
		}
	}
}

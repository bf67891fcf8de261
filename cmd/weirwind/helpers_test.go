package main

// This file holds the helpers of all integration tests.

import (
	"os"
	"strings"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second // maximum time of any wait

func TestMain(m *testing.M) {
	if os.Getenv("PROXY_CONFIG") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// ackedKinds are the kinds of the messages of a successful answer.
const ackedKinds = "TDCZ"

// expect fails the test unless an answer has the wanted kinds of messages, and a result with the wanted prefix.
func expect(t *testing.T, kinds, result, wantKinds, wantResult string) {
	t.Helper()
	if kinds != wantKinds || !strings.HasPrefix(result, wantResult) {
		t.Errorf("got %q with %.20q, want %q with %q", kinds, result, wantKinds, wantResult)
	}
}

// next returns the next value of a channel.
func next[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatal("timeout")
		panic("")
	}
}

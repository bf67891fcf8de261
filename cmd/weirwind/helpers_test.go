package main

// This file owns what all integration tests share.

import (
	"os"
	"strings"
	"testing"
	"time"
)

const patience = 20 * time.Second // after which a test that waits has failed

func TestMain(m *testing.M) {
	if os.Getenv("PROXY_CONFIG") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// acked are the kinds of messages of a successful answer.
const acked = "TDCZ"

// expect fails the test unless an answer has the kinds of messages wanted, and a text that begins as wanted.
func expect(t *testing.T, kinds, said, wantKinds, wantSaid string) {
	t.Helper()
	if kinds != wantKinds || !strings.HasPrefix(said, wantSaid) {
		t.Errorf("heard %q saying %.20q, want %q saying %q", kinds, said, wantKinds, wantSaid)
	}
}

// next returns the next value of a channel.
func next[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatal("nothing came")
		panic("")
	}
}

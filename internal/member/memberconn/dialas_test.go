package memberconn

import (
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/member/wire"
)

// recordAttaches accepts connections, sends the first message on each to a channel, and replies with READY.
func recordAttaches(t *testing.T) (addr string, lines chan string) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	lines = make(chan string, 10)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			line, _ := wire.NewReader(conn).ReadMessage()
			lines <- line
			fmt.Fprint(conn, "READY I 1.1\r\n")
			conn.Close()
		}
	}()
	return ln.Addr().String(), lines
}

// The ATTACH message must have the name that was passed to DialAs, or the system's own name.
func TestDialSendsTheName(t *testing.T) {
	addr, lines := recordAttaches(t)
	member := directory.Member{ID: "i-7", Service: "orders", Addr: addr}
	if _, _, err := Dial(member, time.Now().Add(5*time.Second)); err != nil {
		t.Fatal(err)
	}
	if got, want := <-lines, "ATTACH orders weirwind i-7"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if _, _, err := DialAs(member, "north", time.Now().Add(5*time.Second)); err != nil {
		t.Fatal(err)
	}
	if got, want := <-lines, "ATTACH orders north i-7"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// A name that is not a single field must not be sent, as it would add a field or a message.
func TestDialRejectsInvalidNames(t *testing.T) {
	addr, lines := recordAttaches(t)
	for _, name := range []string{"", "north pole", "north\r\nQUERY 1 STORE x 1"} {
		_, absent, err := DialAs(directory.Member{ID: "i-7", Service: "orders", Addr: addr}, name, time.Now().Add(time.Second))
		if !errors.Is(err, ErrInvalidName) || absent {
			t.Errorf("%q: %v, absent %v", name, err, absent)
		}
	}
	if n := len(lines); n > 0 {
		t.Errorf("%d ATTACH messages were sent", n)
	}
}

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

// attachLines accepts connections and gives the first message on each.
func attachLines(t *testing.T) (addr string, lines chan string) {
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

// UNASKED: a member was told another tenant than that of the client's key.
func TestDialTellsInWhoseName(t *testing.T) {
	addr, lines := attachLines(t)
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

// A name that would end the field, or the message, is not sent.
func TestDialSendsNoNameThatIsNoField(t *testing.T) {
	addr, lines := attachLines(t)
	for _, name := range []string{"", "north pole", "north\r\nQUERY 1 STORE x 1"} {
		_, absent, err := DialAs(directory.Member{ID: "i-7", Service: "orders", Addr: addr}, name, time.Now().Add(time.Second))
		if !errors.Is(err, ErrInvalidName) || absent {
			t.Errorf("%q: %v, absent %v", name, err, absent)
		}
	}
	if n := len(lines); n > 0 {
		t.Errorf("%d sessions were asked for", n)
	}
}

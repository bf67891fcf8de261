package links

import (
	"io"
	"net"
	"testing"
	"time"
)

const timeout = 20 * time.Second

// endpoint has a process's own UDP socket and the datagrams that it received.
type endpoint struct {
	udp      *net.UDPConn
	received chan string
}

func openEndpoints(t *testing.T, l *Network, n int) (all []*endpoint) {
	t.Helper()
	for i := range n {
		addr, err := net.ResolveUDPAddr("udp", l.ListenAddr(i))
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.ListenUDP("udp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		e := &endpoint{c, make(chan string, 1000)}
		go func() {
			b := make([]byte, 100)
			for {
				n, err := c.Read(b)
				if err != nil {
					return
				}
				e.received <- string(b[:n])
			}
		}()
		all = append(all, e)
	}
	return all
}

func (e *endpoint) send(t *testing.T, to, text string) {
	t.Helper()
	addr, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := e.udp.WriteToUDP([]byte(text), addr); err != nil {
		t.Fatal(err)
	}
}

func (e *endpoint) next(t *testing.T) string {
	t.Helper()
	select {
	case s := <-e.received:
		return s
	case <-time.After(timeout):
		t.Fatal("no datagram received")
		return ""
	}
}

// Each direction of each pair is a separate link: blocking, loss, duplication and delay apply to that direction only.
func TestDatagramsOverLinks(t *testing.T) {
	l, err := New(3, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	e := openEndpoints(t, l, 3)
	flush := func() { // waits until the relay has handled the datagrams sent before
		t.Helper()
		e[2].send(t, l.AdvertisedAddr(1), "mark")
		if s := e[1].next(t); s != "mark" {
			t.Error(s)
		}
	}
	l.Set(0, 1, Link{Blocked: true})
	e[0].send(t, l.AdvertisedAddr(1), "cut")
	flush()
	e[1].send(t, l.AdvertisedAddr(0), "back")
	if s := e[0].next(t); s != "back" {
		t.Error(s)
	}
	e[0].send(t, l.AdvertisedAddr(2), "to another")
	if s := e[2].next(t); s != "to another" {
		t.Error(s)
	}
	l.Set(0, 1, Link{Duplicate: 1})
	e[0].send(t, l.AdvertisedAddr(1), "twice")
	if a, b := e[1].next(t), e[1].next(t); a != "twice" || b != "twice" {
		t.Error(a, b)
	}
	l.Set(0, 1, Link{Loss: 1})
	e[0].send(t, l.AdvertisedAddr(1), "lost")
	flush()
	l.Set(0, 1, Link{Delay: time.Second})
	e[0].send(t, l.AdvertisedAddr(1), "late")
	flush()
	l.Set(0, 1, Link{})
	e[0].send(t, l.AdvertisedAddr(1), "sooner")
	if a, b := e[1].next(t), e[1].next(t); a != "sooner" || b != "late" {
		t.Error(a, b)
	}
}

// A relay forwards TCP connections; while one direction's link is blocked its bytes wait, and Heal delivers them.
func TestConnectionsOverLinks(t *testing.T) {
	l, err := New(2, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ln, err := net.Listen("tcp", l.ListenAddr(1))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	received := make(chan string, 10)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				b := make([]byte, 5)
				for {
					if _, err := io.ReadFull(c, b); err != nil {
						return
					}
					received <- string(b)
					c.Write([]byte("thank"))
				}
			}()
		}
	}()
	ip, _, _ := net.SplitHostPort(l.ListenAddr(0))
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	c, err := d.Dial("tcp", l.AdvertisedAddr(1))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	expectReply := func() {
		t.Helper()
		c.SetReadDeadline(time.Now().Add(timeout))
		if _, err := io.ReadFull(c, make([]byte, 5)); err != nil {
			t.Fatal(err)
		}
	}
	c.Write([]byte("hello"))
	if s := <-received; s != "hello" {
		t.Error(s)
	}
	expectReply()
	l.Set(1, 0, Link{Blocked: true}) // only the replies' direction
	c.Write([]byte("again"))
	if s := <-received; s != "again" {
		t.Error(s)
	}
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, err := c.Read(make([]byte, 5)); err == nil {
		t.Errorf("%d bytes passed a blocked link", n)
	}
	l.Heal()
	expectReply()
}

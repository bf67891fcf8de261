package links

import (
	"io"
	"net"
	"testing"
	"time"
)

const patience = 20 * time.Second

// end is a process's own sockets.
type end struct {
	udp *net.UDPConn
	got chan string
}

func ends(t *testing.T, l *Network, n int) (all []*end) {
	t.Helper()
	for i := range n {
		at, err := net.ResolveUDPAddr("udp", l.ListenAddr(i))
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.ListenUDP("udp", at)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		e := &end{c, make(chan string, 1000)}
		go func() {
			b := make([]byte, 100)
			for {
				n, err := c.Read(b)
				if err != nil {
					return
				}
				e.got <- string(b[:n])
			}
		}()
		all = append(all, e)
	}
	return all
}

func (e *end) say(t *testing.T, to, what string) {
	t.Helper()
	at, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := e.udp.WriteToUDP([]byte(what), at); err != nil {
		t.Fatal(err)
	}
}

func (e *end) next(t *testing.T) string {
	t.Helper()
	select {
	case s := <-e.got:
		return s
	case <-time.After(patience):
		t.Fatal("nothing came")
		return ""
	}
}

// Each direction of each pair goes its own way: what is cut does not pass, the other direction and others do.
func TestWaysOfDatagrams(t *testing.T) {
	l, err := New(3, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	e := ends(t, l, 3)
	passed := func() { // what came to the relay before has been carried
		t.Helper()
		e[2].say(t, l.AdvertisedAddr(1), "mark")
		if s := e[1].next(t); s != "mark" {
			t.Error(s)
		}
	}
	l.Set(0, 1, Link{Blocked: true})
	e[0].say(t, l.AdvertisedAddr(1), "cut")
	passed()
	e[1].say(t, l.AdvertisedAddr(0), "back")
	if s := e[0].next(t); s != "back" {
		t.Error(s)
	}
	e[0].say(t, l.AdvertisedAddr(2), "to another")
	if s := e[2].next(t); s != "to another" {
		t.Error(s)
	}
	l.Set(0, 1, Link{Duplicate: 1})
	e[0].say(t, l.AdvertisedAddr(1), "twice")
	if a, b := e[1].next(t), e[1].next(t); a != "twice" || b != "twice" {
		t.Error(a, b)
	}
	l.Set(0, 1, Link{Loss: 1})
	e[0].say(t, l.AdvertisedAddr(1), "lost")
	passed()
	l.Set(0, 1, Link{Delay: time.Second})
	e[0].say(t, l.AdvertisedAddr(1), "late")
	passed()
	l.Set(0, 1, Link{})
	e[0].say(t, l.AdvertisedAddr(1), "sooner")
	if a, b := e[1].next(t), e[1].next(t); a != "sooner" || b != "late" {
		t.Error(a, b)
	}
}

// A connection goes through; where its way is cut bytes wait, and come with the heal.
func TestWaysOfConnections(t *testing.T) {
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
	came := make(chan string, 10)
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
					came <- string(b)
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
	back := func() {
		t.Helper()
		c.SetReadDeadline(time.Now().Add(patience))
		if _, err := io.ReadFull(c, make([]byte, 5)); err != nil {
			t.Fatal(err)
		}
	}
	c.Write([]byte("hello"))
	if s := <-came; s != "hello" {
		t.Error(s)
	}
	back()
	l.Set(1, 0, Link{Blocked: true}) // the answer's direction alone
	c.Write([]byte("again"))
	if s := <-came; s != "again" {
		t.Error(s)
	}
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, err := c.Read(make([]byte, 5)); err == nil {
		t.Errorf("%d bytes passed a cut", n)
	}
	l.Heal()
	back()
}

package main

import (
	"net"
	"testing"
	"time"
)

// Peers exchange what they know of members; a message that is too long, malformed or from a stranger changes nothing.
func TestPeers(t *testing.T) {
	m := newMember(t, "m", answersAs("writer"))
	s := newPlatform(t, m)
	peer, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stranger, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	free, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	free.Close()
	own := free.LocalAddr().String()
	s.config["peer_listen"], s.config["peers_all"] = own, peer.LocalAddr().String()
	s.config["peers"] = []string{own, peer.LocalAddr().String()}
	s.settings["siblings"] = 2
	s.settings["policy_limits"].(map[string]any)["peers"] = true
	p := s.start(t)
	c := p.connect()
	c.query(write(900))
	buf := make([]byte, 1000)
	peer.SetReadDeadline(time.Now().Add(patience))
	n, from, err := peer.ReadFrom(buf)
	if err != nil || n == 0 || n > 256 || from.String() != own {
		t.Fatalf("%d bytes from %v: %v", n, from, err)
	}
	for _, data := range [][]byte{{1}, make([]byte, 256), make([]byte, 257)} {
		peer.WriteTo(data, from)
		stranger.WriteTo(data, from)
	}
	for line := ""; field(line, "messagesbad") != "4" || field(line, "messagesin") != "2"; {
		if line = p.counters(); field(line, "messagesbad") > "4" {
			t.Fatal(line)
		}
	}
	kinds, said := c.query(write(900))
	expect(t, kinds, said, acked, "v:INSERT")
}

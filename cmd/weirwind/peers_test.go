package main

import (
	"net"
	"testing"
	"time"
)

// Peers exchange their knowledge of members; messages that are too long, malformed or from an unknown sender change
// nothing.
func TestPeers(t *testing.T) {
	m := newMember(t, "m", answersAs("writer"))
	s := newPlatform(t, m)
	peer, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unknownSender, err := net.ListenPacket("udp", "127.0.0.1:0")
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
	peer.SetReadDeadline(time.Now().Add(testTimeout))
	n, from, err := peer.ReadFrom(buf)
	if err != nil || n == 0 || n > 256 || from.String() != own {
		t.Fatalf("%d bytes from %v: %v", n, from, err)
	}
	for _, data := range [][]byte{{1}, make([]byte, 256), make([]byte, 257)} {
		peer.WriteTo(data, from)
		unknownSender.WriteTo(data, from)
	}
	for line := ""; field(line, "messagesbad") != "4" || field(line, "messagesin") != "2"; {
		if line = p.counters(); field(line, "messagesbad") > "4" {
			t.Fatal(line)
		}
	}
	kinds, result := c.query(write(900))
	expect(t, kinds, result, ackedKinds, "v:INSERT")
}

package controlmsg

import "weirwind/internal/util/transport"

// Welcome is the kind of a Hello that answers one.
const Welcome = "welcome"

// NewHello opens a link for a process of some kind.
func NewHello(kind, name, addr string) *Frame {
	return &Frame{Hello: &Hello{Kind: kind, Name: name, Addr: addr, Deflate: true}}
}

// TakeHello agrees on the form of frames with a peer that said Hello: a process of a version that knows no compressed frames says
// nothing of them, and is sent none.
func TakeHello(l *transport.Link[Frame], h *Hello) {
	if !h.Deflate {
		return
	}
	l.Compress()
	if h.Kind != Welcome {
		l.Send(&Frame{Hello: &Hello{Kind: Welcome, Deflate: true}})
	}
}

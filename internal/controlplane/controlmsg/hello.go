package controlmsg

import "weirwind/internal/util/transport"

// KindWelcome is the kind of a Hello that answers one.
const KindWelcome = "welcome"

// NewHello opens a link for a process of some kind.
func NewHello(kind, name, addr string) *Frame {
	return &Frame{Hello: &Hello{Kind: kind, Name: name, Addr: addr, AcceptsCompressed: true}}
}

// HandleHello agrees on the form of frames with a peer that said Hello: a process of a version that knows no compressed frames says
// nothing of them, and is sent none.
func HandleHello(l *transport.Link[Frame], h *Hello) {
	if !h.AcceptsCompressed {
		return
	}
	l.EnableCompression()
	if h.Kind != KindWelcome {
		l.Send(&Frame{Hello: &Hello{Kind: KindWelcome, AcceptsCompressed: true}})
	}
}

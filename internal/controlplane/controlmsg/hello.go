package controlmsg

// This file owns the opening of a link: who dialled, and which form of frames both sides read.

import "weirwind/internal/util/transport"

// KindWelcome is the kind of a Hello that answers one.
const KindWelcome = "welcome"

// Hello opens a link. Whoever dialled sends it as the first frame; a receiver that reads compressed frames answers
// with one of kind KindWelcome, and from then on both send long frames compressed. A process of a version that knows
// no compressed frames leaves AcceptsCompressed out, and is sent none.
type Hello struct {
	Kind string `cbor:"1,keyasint"` // kind of the process that dialled: "core", "agent"; or KindWelcome
	Name string `cbor:"2,keyasint"` // its host name
	Addr string `cbor:"3,keyasint"` // where its peers reach it: a core machine's control address, an agent's mesh address

	AcceptsCompressed bool `cbor:"4,keyasint,omitempty"` // the sender reads compressed frames
}

// NewHello returns the frame that opens a link of a process of some kind.
func NewHello(kind, name, addr string) *Frame {
	return &Frame{Hello: &Hello{Kind: kind, Name: name, Addr: addr, AcceptsCompressed: true}}
}

// HandleHello agrees on the form of frames with a peer that sent a Hello, and answers one that is not itself an answer.
func HandleHello(l *transport.Link[Frame], hello *Hello) {
	if !hello.AcceptsCompressed {
		return
	}
	l.EnableCompression()
	if hello.Kind != KindWelcome {
		l.Send(&Frame{Hello: &Hello{Kind: KindWelcome, AcceptsCompressed: true}})
	}
}

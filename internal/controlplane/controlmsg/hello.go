package controlmsg

// This file defines the handshake of a link: who dialled, and whether both sides read compressed frames.

import "weirwind/internal/util/transport"

// KindHelloReply is the kind of a Hello that answers another one.
const KindHelloReply = "welcome"

// Hello opens a link. The process that dialled sends it as the first frame; a receiver that reads compressed frames
// answers with one of kind KindHelloReply, and from then on both send long frames compressed. A process of a version
// without compression leaves AcceptsCompressed out, and is sent no compressed frames.
type Hello struct {
	Kind string `cbor:"1,keyasint"` // kind of the process that dialled, "core" or "agent"; or KindHelloReply
	Name string `cbor:"2,keyasint"` // host name of the sender
	Addr string `cbor:"3,keyasint"` // address for peers: a core machine's control address, an agent's mesh address

	AcceptsCompressed bool `cbor:"4,keyasint,omitempty"` // the sender reads compressed frames
}

// NewHello returns the frame that opens a link of a process of the given kind, host name and address.
func NewHello(kind, name, addr string) *Frame {
	return &Frame{Hello: &Hello{Kind: kind, Name: name, Addr: addr, AcceptsCompressed: true}}
}

// HandleHello handles a Hello from a peer: it enables compression if the peer accepts it, and answers unless the Hello
// is itself an answer.
func HandleHello(l *transport.Link[Frame], hello *Hello) {
	if !hello.AcceptsCompressed {
		return
	}
	l.EnableCompression()
	if hello.Kind != KindHelloReply {
		l.Send(&Frame{Hello: &Hello{Kind: KindHelloReply, AcceptsCompressed: true}})
	}
}

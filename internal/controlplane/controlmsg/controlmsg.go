// Package controlmsg is the words that the system's processes say to each other.
//
// This file owns their form and nothing else: who says what when is decided elsewhere.
package controlmsg

import (
	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/session/sites"
	"weirwind/internal/shard/shardmap"
)

// Frame is what goes over a link; one of its fields is set, or several that belong together.
type Frame struct {
	Hello    *Hello             `cbor:"1,keyasint,omitempty"`
	Agree    *consensus.Message `cbor:"2,keyasint,omitempty"`
	Renew    *Renew             `cbor:"3,keyasint,omitempty"`
	Update   *Update            `cbor:"4,keyasint,omitempty"`
	Digest   *Digest            `cbor:"5,keyasint,omitempty"`
	Beats    []Beat             `cbor:"6,keyasint,omitempty"`
	Report   *Report            `cbor:"7,keyasint,omitempty"`
	Request  *Request           `cbor:"8,keyasint,omitempty"`
	Response *Response          `cbor:"9,keyasint,omitempty"`
	Leases   []Lease            `cbor:"10,keyasint,omitempty"`
}

// Hello opens a link: who dialled. A Hello of kind Welcome answers it.
type Hello struct {
	Kind string `cbor:"1,keyasint"` // "core", "agent", "proxy", Welcome
	Name string `cbor:"2,keyasint"`
	Addr string `cbor:"3,keyasint"`

	Deflate bool `cbor:"4,keyasint,omitempty"` // the sender reads compressed frames
}

// Renew asks a core machine for the lease of a driver, and says what the driver has.
type Renew struct {
	Driver directory.Driver `cbor:"1,keyasint"`
	Has    Digest           `cbor:"2,keyasint"`
	End    bool             `cbor:"3,keyasint,omitempty"` // it gives the lease back
	Trial  bool             `cbor:"4,keyasint,omitempty"` // the driver stays elsewhere unless this machine has contact
}

// Digest is what a process has, in short.
type Digest struct {
	Gen     uint64 `cbor:"1,keyasint"`
	Members uint64 `cbor:"2,keyasint"`
	Drivers uint64 `cbor:"3,keyasint"`
	Quiet   bool   `cbor:"4,keyasint,omitempty"` // no digest is wanted back
	Shards  uint64 `cbor:"5,keyasint,omitempty"` // version of the map
	Apart   bool   `cbor:"6,keyasint,omitempty"` // no core machine serves the sender: it asks for the core's addresses too
}

// Update is what is new, or all of it.
type Update struct {
	Gen     uint64             `cbor:"1,keyasint,omitempty"`
	Config  []byte             `cbor:"2,keyasint,omitempty"`
	Members []directory.Member `cbor:"3,keyasint,omitempty"`
	Drivers []directory.Driver `cbor:"4,keyasint,omitempty"`
	Cores   []string           `cbor:"5,keyasint,omitempty"` // control addresses
	Count   int                `cbor:"6,keyasint,omitempty"` // of drivers, for a proxy
	Shards  *shardmap.Map      `cbor:"7,keyasint,omitempty"`
	Joined  []directory.Driver `cbor:"8,keyasint,omitempty"`  // drivers that came since; Drivers is all of them
	Left    []string           `cbor:"9,keyasint,omitempty"`  // and those that went
	Contact *float64           `cbor:"10,keyasint,omitempty"` // age of the core machine's contact with a majority, in milliseconds
}

// Beat says that a member's own word number Seq came in somewhere.
type Beat struct {
	ID   string `cbor:"1,keyasint"`
	Life uint64 `cbor:"2,keyasint"`
	Seq  uint64 `cbor:"3,keyasint"`
}

// Lease is a driver's, with what is left of it in milliseconds.
type Lease struct {
	Driver directory.Driver `cbor:"1,keyasint"`
	Left   float64          `cbor:"2,keyasint"`
}

// Report is what a proxy sees of a group's primary.
type Report struct {
	Svc    string  `cbor:"1,keyasint"`
	ID     string  `cbor:"2,keyasint"`
	Silent float64 `cbor:"3,keyasint"` // milliseconds that an answer is owed, with nothing heard since; 0: it speaks
	Driver string  `cbor:"4,keyasint"`
	Dead   bool    `cbor:"5,keyasint,omitempty"` // it takes no connection
	Stuck  bool    `cbor:"6,keyasint,omitempty"` // it speaks, but answers no commit
}

// Request passes an operator's call on to who leads.
type Request struct {
	Number uint64 `cbor:"1,keyasint"`
	Show   bool   `cbor:"2,keyasint,omitempty"`
	Amend  bool   `cbor:"3,keyasint,omitempty"`
	Base   uint64 `cbor:"4,keyasint,omitempty"`
	Body   []byte `cbor:"5,keyasint,omitempty"`
	Node   string `cbor:"6,keyasint"`

	Shards *shardmap.Change `cbor:"7,keyasint,omitempty"`  // a change of who holds which shard
	Sites  *sites.Change    `cbor:"8,keyasint,omitempty"`  // a change of the sites of open sessions
	Grant  *Grant           `cbor:"9,keyasint,omitempty"`  // a lease is asked for
	Forget string           `cbor:"10,keyasint,omitempty"` // a member that is gone for good is struck from the roster
}

// Grant asks for the lease of a site's life. It is answered only once a majority has confirmed who leads, so that a leader that was
// deposed grants none.
type Grant struct {
	Site string `cbor:"1,keyasint"`
	Life uint64 `cbor:"2,keyasint"`
}

// Response is the answer to a Request: an HTTP status and a body.
type Response struct {
	Number uint64 `cbor:"1,keyasint"`
	Status int    `cbor:"2,keyasint"`
	Body   []byte `cbor:"3,keyasint,omitempty"`
}

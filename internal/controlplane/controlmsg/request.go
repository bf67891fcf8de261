package controlmsg

// This file defines the messages that forward calls to the leader.

import (
	"weirwind/internal/session/sites"
	"weirwind/internal/shard/shardmap"
)

// Request forwards a call from the core machine that received it to the leader, which submits it to the replicated
// state and answers with a Response of the same number. At most one of the fields that select a kind is set; if none
// is, Body replaces the configuration.
type Request struct {
	Number      uint64 `cbor:"1,keyasint"`           // chosen by the sender to match the Response; unique on a link
	ReadConfig  bool   `cbor:"2,keyasint,omitempty"` // read the configuration
	Amend       bool   `cbor:"3,keyasint,omitempty"` // amend the configuration by Body
	BaseVersion uint64 `cbor:"4,keyasint,omitempty"` // version that Body is based on; rejected unless it is current
	Body        []byte `cbor:"5,keyasint,omitempty"` // JSON
	Origin      string `cbor:"6,keyasint"`           // host name of the machine that received the call

	ShardChange  *shardmap.Change  `cbor:"7,keyasint,omitempty"`  // change the shard map
	SiteChange   *sites.Change     `cbor:"8,keyasint,omitempty"`  // change the sites of open sessions
	SiteLease    *SiteLeaseRequest `cbor:"9,keyasint,omitempty"`  // grant a site's lease
	ForgetMember string            `cbor:"10,keyasint,omitempty"` // remove this permanently lost member from the roster
	ReadLog      bool              `cbor:"11,keyasint,omitempty"` // read the history of changes
}

// SiteLeaseRequest requests the lease of a site's incarnation, on behalf of the site that called a core machine. It is
// answered only once a majority has confirmed the leader, so that a deposed leader grants no leases.
type SiteLeaseRequest struct {
	Site        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"` // of the site's process
}

// Response is the answer to a Request, sent back on the same link. The receiver passes it to its caller unchanged.
type Response struct {
	Number uint64 `cbor:"1,keyasint"`           // of the Request
	Status int    `cbor:"2,keyasint"`           // HTTP status
	Body   []byte `cbor:"3,keyasint,omitempty"` // body of the HTTP answer
}

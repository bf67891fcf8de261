package controlmsg

// This file owns operators' calls as they are forwarded inside the core.

import (
	"weirwind/internal/session/sites"
	"weirwind/internal/shard/shardmap"
)

// Request forwards a call that came in at a core machine to the machine that leads, which submits it to the
// replicated state and answers with a Response of the same number. One of the kinds below is set; none: the
// configuration is replaced by Body.
type Request struct {
	Number      uint64 `cbor:"1,keyasint"`           // the sender's, for the answer; unique on a link
	ReadConfig  bool   `cbor:"2,keyasint,omitempty"` // the configuration is read
	Amend       bool   `cbor:"3,keyasint,omitempty"` // the configuration is amended by Body
	BaseVersion uint64 `cbor:"4,keyasint,omitempty"` // that Body builds on; rejected where another is in place
	Body        []byte `cbor:"5,keyasint,omitempty"` // JSON
	Origin      string `cbor:"6,keyasint"`           // host name of the machine at which the call came in

	ShardChange  *shardmap.Change  `cbor:"7,keyasint,omitempty"`  // a change of the shard map
	SiteChange   *sites.Change     `cbor:"8,keyasint,omitempty"`  // a change of the sites of open sessions
	SiteLease    *SiteLeaseRequest `cbor:"9,keyasint,omitempty"`  // a site's lease is requested
	ForgetMember string            `cbor:"10,keyasint,omitempty"` // member that is lost for good: removed from the roster
	ReadLog      bool              `cbor:"11,keyasint,omitempty"` // the history of changes is read
}

// SiteLeaseRequest requests the lease of a site's incarnation, for the site that called a core machine. It is
// answered only once a majority has confirmed the leader, so that a leader that was deposed grants none.
type SiteLeaseRequest struct {
	Site        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"` // of the site's process
}

// Response is the answer to a Request, sent back over the link that it came by. The receiver gives it to its caller
// as it is.
type Response struct {
	Number uint64 `cbor:"1,keyasint"`           // of the Request
	Status int    `cbor:"2,keyasint"`           // HTTP status
	Body   []byte `cbor:"3,keyasint,omitempty"` // of the HTTP answer
}

package sites

import "time"

// This file owns what a site and the control plane say to each other of the site's lease.

// LeaseDuration is for how long a site's lease holds. A site counts it from the moment at which it sent the renewal,
// the leader of the control plane from the moment at which it answered.
const LeaseDuration = 1500 * time.Millisecond

// Renewal is the body of POST /sites/{name}/renew.
type Renewal struct {
	Addr        string `json:"addr"` // where other sites and edges reach it
	HTTPAddr    string `json:"http"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Incarnation uint64 `json:"life"` // of the site's process
}

// Join gives the change by which a site joins.
func (r *Renewal) Join(name string) *Change {
	return &Change{Kind: ChangeJoin, Name: name,
		Site: Site{Addr: r.Addr, HTTPAddr: r.HTTPAddr, Zone: r.Zone, Region: r.Region, Incarnation: r.Incarnation}}
}

package sites

import "time"

// This file defines the renewal of a site's lease at the control plane.

// LeaseDuration is the duration of a site's lease. A site counts it from the time at which it sent the renewal, the
// leader of the control plane from the time at which it answered.
const LeaseDuration = 1500 * time.Millisecond

// Renewal is the body of POST /sites/{name}/renew.
type Renewal struct {
	Addr        string `json:"addr"` // for other sites and for edges
	HTTPAddr    string `json:"http"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Incarnation uint64 `json:"life"` // of the site's process
}

// Join returns the change with which a site joins.
func (r *Renewal) Join(name string) *Change {
	return &Change{Kind: ChangeJoin, Name: name,
		Site: Site{Addr: r.Addr, HTTPAddr: r.HTTPAddr, Zone: r.Zone, Region: r.Region, Incarnation: r.Incarnation}}
}

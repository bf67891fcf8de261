package operator

// This file defines the blocks "membership" and "zones", by which drivers detect each other and decide together.

import (
	"net/netip"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
)

const maxZoneBytes = 64 // of the name of a zone

func (m *Membership) attributes() []attribute {
	return []attribute{
		text("listen", &m.Listen, "").withOrder(1),
		text("advertise", &m.Advertise, "").withOrder(1),
		list("seeds", &m.Seeds, seed).withOrder(1),
		text("token_file", &m.TokenFile, "").withOrder(1),
		text("zone", &m.Zone, "").withOrder(1),
		duration("period", &m.ProtocolPeriod, 500*time.Millisecond, 50*time.Millisecond, time.Minute),
		integer("expect", &m.ExpectedDrivers, 0, 0, 20000),
		duration("yield", &m.TakeOverAfter, 15*time.Second, time.Second, time.Hour),
		text("folder", &m.Folder, ""),
	}
}

func (r *reader) membership(b *hcl.Block) *Membership {
	m := &Membership{}
	r.attributes(b, m.attributes(), checks{
		"listen": func(at hcl.Range, _ bool) {
			if m.Listen == "" {
				r.problem(b.DefRange, "membership wants listen.")
			} else {
				r.address(at, "listen", m.Listen)
			}
		},
		"advertise": func(at hcl.Range, _ bool) {
			if m.Advertise != "" {
				r.address(at, "advertise", m.Advertise)
			} else if a, err := netip.ParseAddrPort(m.Listen); err == nil && a.Addr().IsUnspecified() {
				r.problem(b.DefRange, "membership that listens at %q wants advertise.", m.Listen)
			}
		},
		"zone": func(at hcl.Range, _ bool) {
			if len(m.Zone) > maxZoneBytes {
				r.problem(at, "zone has %d bytes; %d at most.", len(m.Zone), maxZoneBytes)
			}
		},
	})
	return m
}

func (z *Zones) attributes() []attribute {
	return []attribute{
		integer("voters", &z.Voters, 5, 1, 9),
		duration("beat", &z.HeartbeatInterval, time.Second, 100*time.Millisecond, time.Minute),
		duration("lease", &z.PlanLease, 15*time.Second, time.Second, 10*time.Minute),
		integer("headroom", &z.Headroom, 15, 0, 90),
		integer("budget", &z.CrossZoneBudget, 100, 0, 100),
		integer("load", &z.TargetLoad, 60, 1, 100),
		duration("doubt", &z.EjectAfter, time.Second, 0, time.Minute),
		duration("away", &z.MinEjectionTime, 10*time.Second, time.Second, time.Hour),
		text("webhook", &z.Webhook, ""),
	}
}

func (r *reader) zones(b *hcl.Block) *Zones {
	z := &Zones{}
	content := r.content(b.Body, &hcl.BodySchema{
		Attributes: schemaOf(z.attributes()),
		Blocks:     []hcl.BlockHeaderSchema{{Type: "region", LabelNames: []string{"name"}}},
	})
	r.values(content.Attributes, z.attributes(), nil)
	z.Regions = r.regions(content.Blocks)
	if z.PlanLease < 3*z.HeartbeatInterval {
		r.problem(b.DefRange, "zones: a lease of %v is under three beats of %v.", z.PlanLease, z.HeartbeatInterval)
	}
	return z
}

// regions reads the blocks of regions. A zone belongs to at most one region.
func (r *reader) regions(blocks hcl.Blocks) (regions []Region) {
	regionOf := map[string]string{}
	for _, b := range blocks {
		region := Region{Name: b.Labels[0]}
		zone := func(r *reader, at hcl.Range, value cty.Value) (string, bool) {
			if value.IsNull() || value.AsString() == "" || len(value.AsString()) > maxZoneBytes {
				r.problem(at, "zones: a name has 1 to %d bytes.", maxZoneBytes)
				return "", false
			}
			if other, taken := regionOf[value.AsString()]; taken {
				r.problem(at, "zones: %q stands in region %q already.", value.AsString(), other)
				return "", false
			}
			regionOf[value.AsString()] = region.Name
			return value.AsString(), true
		}
		r.attributes(b, []attribute{list("zones", &region.Zones, zone)}, nil)
		regions = append(regions, region)
	}
	return regions
}

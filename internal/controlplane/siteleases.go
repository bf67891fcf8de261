package controlplane

import (
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/session/sites"
	"weirwind/internal/util/events"
)

// A site counts sites.LeaseDuration from when it sent the renewal, the leader from when it granted the lease, which is
// later. The leader expires the lease only siteLeaseSlack after that: the slack covers clocks whose rates differ by up
// to a tenth, and the time that an answer takes.
const (
	siteLeaseSlack = 300 * time.Millisecond
)

// siteLeases tracks the leases of sites with open sessions while this machine leads. It belongs to softState.
type siteLeases struct {
	owner *softState

	grantedAt    map[string]float64 // time of the last grant in this leadership, by site
	incarnations map[string]uint64  // incarnation at the last step, by site; a new one has just joined
}

func newSiteLeases(owner *softState) siteLeases {
	return siteLeases{owner: owner, grantedAt: map[string]float64{}, incarnations: map[string]uint64{}}
}

// reset drops all grants. A new leader does not know what was granted before, so that each site's lease counts from the
// start of its leadership.
func (l *siteLeases) reset() { l.grantedAt = map[string]float64{} }

// recordGrant records that a site's lease was granted.
func (l *siteLeases) recordGrant(site string, now float64) { l.grantedAt[site] = now }

// expire proposes the removal of sites whose lease has expired. Each proposal runs in a goroutine of its own, bounded
// by the request's timeout. One that is not applied is repeated after another lease duration.
func (l *siteLeases) expire(now float64) {
	s := l.owner
	if s.committed == nil || s.committed.Sites == nil {
		return
	}
	srv := s.server
	for name, site := range s.committed.Sites.Sites {
		if l.incarnations[name] != site.Incarnation {
			l.incarnations[name], l.grantedAt[name] = site.Incarnation, now
		}
		heldSince := max(l.grantedAt[name], s.leadership.since)
		if site.State == sites.StateRemoved || now-heldSince < ms(sites.LeaseDuration+siteLeaseSlack) {
			continue
		}
		l.grantedAt[name] = now
		srv.log.Event(events.SiteLeaseExpired, "site", name, "epoch", site.Epoch)
		change := &sites.Change{Kind: sites.ChangeExpire, Name: name, Epoch: site.Epoch}
		go srv.submit(controlmsg.Request{SiteChange: change})
	}
}

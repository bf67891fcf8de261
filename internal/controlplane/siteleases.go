package controlplane

import (
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/session/sites"
	"weirwind/internal/util/events"
)

// A site counts sites.LeaseDuration from the moment at which it sent the renewal, the leader from the moment at which
// it granted the lease, which is later. The leader has the lease expire only siteLeaseSlack after that: the slack
// covers clocks whose rates differ by up to a tenth, and what an answer takes.
const (
	siteLeaseSlack = 300 * time.Millisecond
)

// siteLeases are the leases of the sites of open sessions, while this machine leads. It belongs to softState.
type siteLeases struct {
	owner *softState

	grantedAt    map[string]float64 // by site, the last time in this lead
	incarnations map[string]uint64  // by site, as of the last step: a new one has just joined
}

func newSiteLeases(owner *softState) siteLeases {
	return siteLeases{owner: owner, grantedAt: map[string]float64{}, incarnations: map[string]uint64{}}
}

// reset grants every site a lease's time from now on: a new leader doesn't know what was granted before it.
func (l *siteLeases) reset() { l.grantedAt = map[string]float64{} }

// renewed notes that a site's lease was granted.
func (l *siteLeases) renewed(site string, now float64) { l.grantedAt[site] = now }

// expire proposes the removal of sites whose lease is over. Each proposal is a goroutine of its own that ends by the
// request's timeout; one that is not applied is made again after another lease's time.
func (l *siteLeases) expire(now float64) {
	s := l.owner
	if s.committed == nil || s.committed.Sites == nil {
		return
	}
	h := s.server
	for name, site := range s.committed.Sites.Sites {
		if l.incarnations[name] != site.Incarnation {
			l.incarnations[name], l.grantedAt[name] = site.Incarnation, now
		}
		heldSince := max(l.grantedAt[name], s.leadership.since)
		if site.State == sites.StateRemoved || now-heldSince < ms(sites.LeaseDuration+siteLeaseSlack) {
			continue
		}
		l.grantedAt[name] = now
		h.log.Event(events.SiteLeaseExpired, "site", name, "epoch", site.Epoch)
		change := &sites.Change{Kind: sites.ChangeExpire, Name: name, Epoch: site.Epoch}
		go h.submit(controlmsg.Request{SiteChange: change})
	}
}

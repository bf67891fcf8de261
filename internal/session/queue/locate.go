package queue

// This file locates a session's owner for an edge.

import (
	"cmp"
	"maps"
	"slices"

	"weirwind/internal/session/sites"
)

// locateEvery is the number of attempts of which one asks all sites for the owner, instead of attaching to the presumed
// owner.
const locateEvery = 3

// locateOwner attaches a socket to the presumed owner: for a new session one of the nearest sites in turn, otherwise
// the last known owner, or a replica if the owner isn't alive. In every locateEvery-th attempt, and if none of these
// sites is alive, it asks all sites.
func (e *Edge) locateOwner(sock *socket, now float64) {
	sock.nextAttachAt = now + locateInterval
	sock.attachAttempts++
	if e.current == nil {
		return
	}
	if sock.newSession && sock.epoch == 0 {
		if nearest := e.nearestSites(); len(nearest) > 0 {
			sock.owner = nearest[(sock.attachAttempts-1)%len(nearest)]
			e.attach(sock)
		}
		return
	}
	if sock.attachAttempts%locateEvery != 0 {
		if sock.owner != "" && e.current.Alive(sock.owner) {
			e.attach(sock)
			return
		}
		if i := slices.IndexFunc(sock.replicas, e.current.Alive); i >= 0 {
			sock.owner = sock.replicas[i]
			e.attach(sock)
			return
		}
	}
	for _, name := range slices.Sorted(maps.Keys(e.current.Sites)) {
		if e.current.Alive(name) {
			e.send(name, sock, Envelope{Kind: KindLocate})
		}
	}
}

// nearestSites returns the sites that accept new sessions, the nearest first.
func (e *Edge) nearestSites() []string {
	var active []string
	for name, site := range e.current.Sites {
		if site.State == sites.StateActive {
			active = append(active, name)
		}
	}
	distance := func(name string) int {
		switch site := e.current.Sites[name]; {
		case site.Zone == e.zone:
			return 0
		case site.Region == e.region:
			return 1
		}
		return 2
	}
	slices.SortFunc(active, func(a, b string) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(a, b))
	})
	return active
}

func (e *Edge) attach(sock *socket) {
	e.send(sock.owner, sock, Envelope{Kind: KindAttach, Secret: sock.secret, Connection: sock.connection,
		Number: sock.delivered, Base: sock.acked, New: sock.newSession && sock.epoch == 0})
}

// detach marks a socket as detached from its owner.
func (sock *socket) detach(now float64) {
	if sock.attached {
		sock.attached, sock.detachedAt, sock.attachAttempts = false, now, 0
	}
}

// ApplyMap applies a map if it is newer, and locates a new owner for sockets whose owner's epoch has ended.
func (e *Edge) ApplyMap(m *sites.Map, now float64) {
	if m == nil || e.current != nil && m.Version <= e.current.Version {
		return
	}
	previous := e.current
	e.current = m
	for _, id := range slices.Sorted(maps.Keys(e.sockets)) {
		sock := e.sockets[id]
		if previous != nil && sock.owner != "" && previous.Sites[sock.owner].Epoch == m.Sites[sock.owner].Epoch &&
			m.Sites[sock.owner].State != sites.StateRemoved {
			continue
		}
		sock.detach(now)
		e.locateOwner(sock, now)
	}
}

// HandleSiteLost detaches the sockets whose owner is a site to which the link has ended.
func (e *Edge) HandleSiteLost(site string, now float64) {
	for _, id := range slices.Sorted(maps.Keys(e.sockets)) {
		if sock := e.sockets[id]; sock.owner == site {
			sock.detach(now)
			sock.nextAttachAt = min(sock.nextAttachAt, now+locateInterval/2)
		}
	}
}

package agent

// This file owns the order in which core machines are tried: near ones first, then the others from a place that
// differs by agent.

import (
	"hash/fnv"
	"net"
)

// rotations bounds by how much agents' lists of far machines are rotated against each other.
const rotations = 97

// otherCore returns the next core machine that is not the one in use.
func (a *Agent) otherCore() (addr string, found bool) {
	for range len(a.coreAddrs) + len(a.settings.Peers) + 1 {
		addr = a.nextCoreAddr()
		if a.core == nil || addr != a.core.addr {
			return addr, true
		}
	}
	return "", false
}

// nextCoreAddr goes through the known core machines, near ones first, and begins anew behind the last.
func (a *Agent) nextCoreAddr() string {
	near, far := a.coresByDistance()
	for _, p := range a.settings.Peers { // what the file says is tried too, at the end
		far = append(far, a.settings.MeshAddr(p))
	}
	rotation := a.rotation()
	addrs := near
	for i := range far {
		addrs = append(addrs, far[(i+rotation)%len(far)])
	}
	if len(addrs) == 0 {
		return a.settings.PortAddr(a.settings.IP, 0)
	}
	a.nextCore++
	return addrs[(a.nextCore-1)%len(addrs)]
}

// rotation spreads agents over far machines by their names.
func (a *Agent) rotation() int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(a.self.Name)) // a hash's Write never fails
	return int(h.Sum32() % rotations)
}

// coresByDistance returns the mesh addresses of the known core machines.
func (a *Agent) coresByDistance() (near, far []string) {
	for _, addr := range a.coreAddrs {
		if a.isNear(addr) {
			near = append(near, a.settings.MeshAddr(addr))
		} else {
			far = append(far, a.settings.MeshAddr(addr))
		}
	}
	return near, far
}

// isNear reports whether a machine is in this one's /16: a region's machines, where addresses say so.
func (a *Agent) isNear(addr string) bool {
	host, _, _ := net.SplitHostPort(addr)
	return sameNetwork(host, a.settings.IP)
}

// sameNetwork reports whether two IPv4 addresses are in one /16.
func sameNetwork(x, y string) bool {
	a, b := net.ParseIP(x).To4(), net.ParseIP(y).To4()
	return a != nil && b != nil && a[0] == b[0] && a[1] == b[1]
}

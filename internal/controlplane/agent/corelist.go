package agent

// This file has the order in which core machines are tried: near ones first, then the others, starting at an index that
// differs between agents.

import (
	"hash/fnv"
	"net"
)

// rotations is the number of different rotations of the list of far machines among agents.
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

// nextCoreAddr cycles through the addresses of core machines, near ones first.
func (a *Agent) nextCoreAddr() string {
	near, far := a.coresByDistance()
	for _, seed := range a.settings.Peers { // the configured addresses are tried last
		far = append(far, a.settings.MeshAddr(seed))
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

// rotation returns the index of the far machine that this agent tries first. It is derived from the agent's name, so
// that agents spread over the far machines.
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

// isNear reports whether an address is in the same /16 network as this machine, which stands for the same region.
func (a *Agent) isNear(addr string) bool {
	host, _, _ := net.SplitHostPort(addr)
	return sameNetwork(host, a.settings.IP)
}

// sameNetwork reports whether two IPv4 addresses are in one /16.
func sameNetwork(hostA, hostB string) bool {
	ipA, ipB := net.ParseIP(hostA).To4(), net.ParseIP(hostB).To4()
	return ipA != nil && ipB != nil && ipA[0] == ipB[0] && ipA[1] == ipB[1]
}

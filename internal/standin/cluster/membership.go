package cluster

// This file adds members to svc and removes them.

import (
	"fmt"
	"net/http"

	"weirwind/internal/standin/replicaset"
)

// AddMember adds a new member with an empty log and heartbeats to svc, at the nth member address.
func (d *Deployment) AddMember(id string, n int) error {
	d.Service.With(func(group *replicaset.Group) { group.Join(id) })
	if err := d.Service.listen(d.ctx, id, d.ip(memberNet, n)+":0"); err != nil {
		return fmt.Errorf("member %s: %w", id, err)
	}
	d.sendHeartbeats(d.ctx, d.Service, id)
	return nil
}

// RemoveMember announces to the core that a member of svc leaves, and removes it with its log. It reports whether a
// core machine acknowledged the call.
func (d *Deployment) RemoveMember(id string) (acknowledged bool) {
	for _, core := range d.Cores {
		if status, _ := d.Call("POST", core, "/members/"+id+"/leave", "", nil); status == http.StatusOK {
			acknowledged = true
			break
		}
	}
	d.Service.Crash(id)
	d.Service.With(func(group *replicaset.Group) { group.Remove(id) })
	return acknowledged
}

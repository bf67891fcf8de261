package cluster

// This file owns the replacement of members of svc: a new one joins, and one that drains leaves.

import (
	"fmt"
	"net/http"

	"weirwind/internal/standin/replicaset"
)

// AddMember has a new member with an empty log join svc, with heartbeats. Members before it keep their addresses.
func (d *Deployment) AddMember(id string, n int) error {
	d.Service.With(func(group *replicaset.Group) { group.Join(id) })
	if err := d.Service.listen(d.ctx, id, d.ip(memberNet, n)+":0"); err != nil {
		return fmt.Errorf("member %s: %w", id, err)
	}
	d.sendHeartbeats(d.ctx, d.Service, id)
	return nil
}

// RemoveMember has a member of svc say that it leaves, and ends it with its log. It says whether a core machine
// acknowledged that.
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

package proxy

import (
	"slices"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/dataplane/group"
	"weirwind/internal/member/wire"
)

// queryReplicas queries the status of replicas at once, and returns their replies. It returns as soon as enough of
// these meet a condition, at the latest when the queries have timed out.
func queryReplicas(replicas []directory.Member, enough int, condition func(wire.MemberStatus) bool) (
	statuses []wire.MemberStatus) {
	replies := make(chan *wire.MemberStatus, len(replicas)) // nil: no reply
	for _, replica := range replicas {
		go func() {
			status, err := queryStatus(replica)
			if err != nil {
				replies <- nil
				return
			}
			replies <- &status
		}()
	}
	for range replicas {
		if status := <-replies; status != nil {
			statuses = append(statuses, *status)
		}
		if countStatuses(statuses, condition) >= enough {
			break
		}
	}
	return statuses
}

// countStatuses returns the number of statuses that meet a condition.
func countStatuses(statuses []wire.MemberStatus, condition func(wire.MemberStatus) bool) (count int) {
	for _, status := range statuses {
		if condition(status) {
			count++
		}
	}
	return count
}

// confirmingReplicas returns the members other than the primary that may confirm commits, the nearest first.
func (r *router) confirmingReplicas(grp *memberGroup, primaryID string) (replicas []directory.Member) {
	members := make([]*group.Member, 0, len(grp.routing.Members))
	for _, member := range grp.routing.Members {
		if member.ID != primaryID && r.proxy.writers.mayConfirm(member) {
			members = append(members, member)
		}
	}
	slices.SortStableFunc(members, group.CompareDistance)
	for _, member := range members {
		replicas = append(replicas, member.Member)
	}
	return replicas
}

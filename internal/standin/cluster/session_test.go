package cluster

import (
	"testing"

	"weirwind/internal/standin/replicaset"
)

// A replica that is resumed receives what it lacks, though no commit follows.
func TestResumedReplicaCatchesUp(t *testing.T) {
	service := newService("svc", "1", "a", "b")
	write := func(id string) {
		service.With(func(group *replicaset.Group) {
			group.Write(group.Member("a"), id)
			service.replicate()
		})
	}
	control := func(member, statement string) {
		(&session{service: service, member: member}).execute(unnumbered, statement)
	}
	write("w1")
	control("b", "PAUSE 9")
	write("w2")
	control("b", "CONT")
	service.With(func(group *replicaset.Group) {
		if got, want := group.Member("b").Position(), group.Member("a").Position(); got != want {
			t.Errorf("the replica is at %v, the primary at %v", got, want)
		}
	})
}

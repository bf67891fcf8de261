package queue

// This file owns which sites hold a session's replicas.

import (
	"slices"

	"weirwind/internal/session/sites"
)

// repairReplicas replaces replicas whose site is gone or begun anew, and adds some where there are too few.
func (s *Site) repairReplicas(sess *session, now float64) {
	sess.Replicas = slices.DeleteFunc(sess.Replicas, func(replica string) bool {
		gone := !s.current.Alive(replica)
		if gone || s.hasNewEpoch(sess, replica) {
			delete(sess.ackedIndex, replica)
			delete(sess.sentAt, replica)
			delete(sess.replicaEpoch, replica)
			if sess.handOverTo == replica {
				s.abandonHandOver(sess)
			}
		}
		return gone
	})
	s.addReplicas(sess)
	s.replicate(sess, now)
	s.progress(sess, now)
}

// hasNewEpoch says whether a replica's site has another epoch than when its snapshot was sent: it has lost it.
func (s *Site) hasNewEpoch(sess *session, replica string) bool {
	epoch, sent := sess.replicaEpoch[replica]
	return sent && epoch != s.current.Sites[replica].Epoch
}

// addReplicas names more replicas until enough are at active sites. A draining site's doesn't count.
func (s *Site) addReplicas(sess *session) {
	active := 0
	for _, replica := range sess.Replicas {
		if s.current.Sites[replica].State == sites.StateActive {
			active++
		}
	}
	if active >= s.Limits.Replicas {
		return
	}
	isReplica := func(name string) bool { return slices.Contains(sess.Replicas, name) }
	for _, name := range s.current.ReplicaCandidates(s.Name, sess.id, s.Limits.Replicas-active, isReplica) {
		sess.Replicas = append(sess.Replicas, name)
		sess.resyncReplicas()
	}
}

// dropSpareReplica drops a draining site's replica once all have the whole log and enough remain.
func (s *Site) dropExcessReplica(sess *session, now float64) {
	if sess.handOverTo != "" || s.replicatedIndex(sess) != sess.LogLength || len(sess.Replicas) <= s.Limits.Replicas {
		return
	}
	i := slices.IndexFunc(sess.Replicas, func(replica string) bool {
		return s.current.Sites[replica].State == sites.StateDraining
	})
	if i < 0 {
		return
	}
	dropped := sess.Replicas[i]
	sess.Replicas = slices.DeleteFunc(slices.Clone(sess.Replicas), func(replica string) bool { return replica == dropped })
	s.send(dropped, Envelope{Kind: KindDiscard, Session: sess.id, Epoch: sess.Epoch})
	// Those that remain have to know who takes over. One that has not heard of it has an older epoch, and yields.
	sess.Epoch++
	sess.resyncReplicas()
	s.replicate(sess, now)
}

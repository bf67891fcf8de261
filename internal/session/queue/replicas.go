package queue

// This file chooses the sites that hold a session's replicas.

import (
	"slices"

	"weirwind/internal/session/sites"
)

// repairReplicas removes replicas whose site is no longer alive, resynchronizes those whose site has a new incarnation,
// and adds replicas if there are too few.
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

// hasNewEpoch reports whether a replica's site has another epoch than when its snapshot was sent. It has then lost the
// replica.
func (s *Site) hasNewEpoch(sess *session, replica string) bool {
	epoch, sent := sess.replicaEpoch[replica]
	return sent && epoch != s.current.Sites[replica].Epoch
}

// addReplicas adds replicas until enough are at active sites. Replicas at draining sites don't count.
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

// dropExcessReplica drops a replica at a draining site once all replicas have the complete log and enough remain.
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
	// The remaining replicas have to know the new order of take-over. One that doesn't know it yet has an older epoch and
	// yields.
	sess.Epoch++
	sess.resyncReplicas()
	s.replicate(sess, now)
}

package consensus

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestAcknowledgedChangesSurviveFaults injects faults of every kind into clusters of three and five machines, as many
// at a time as are tolerated: no two machines know different values to be committed, every acknowledged change is
// kept, and the cluster recovers from each fault.
func TestAcknowledgedChangesSurviveFaults(t *testing.T) {
	seeds := 400
	if testing.Short() {
		seeds = 40
	}
	for seed := range seeds {
		c := newCluster(uint64(seed), 3+2*(seed%2))
		c.run(4000, 0)
		var faults []string
		for range 5 {
			for range 1 + seed%2 { // five machines tolerate two losses
				faults = append(faults, c.injectFault())
			}
			c.run(200+2500*c.random.Float64(), 0.002)
			clear(c.partitioned)
			c.restartAll()
			if !c.awaitRecovery() {
				t.Fatalf("seed %d, %v: the cluster doesn't recover; %s", seed, faults, c.violation)
			}
		}
		c.requireAcknowledged(t, fmt.Sprintf("seed %d, %v", seed, faults))
		if c.violation != "" || len(c.acknowledged) == 0 {
			t.Fatalf("seed %d, %v: %s, %d acknowledged", seed, faults, c.violation, len(c.acknowledged))
		}
	}
}

func TestVotes(t *testing.T) {
	Convey("Three founders of a cluster", t, func() {
		c := newCluster(1, 3)
		c.run(3000, 0)
		Convey("elect exactly one established leader", func() {
			So(c.awaitRecovery(), ShouldBeTrue)
		})
		Convey("grant no vote with an empty disk", func() {
			m := c.machines["m0"]
			m.disk = Empty("1@m0")
			c.start(m)
			m.node.Step(&Message{Kind: RequestVote, From: Voter{"0@m1", "m1"}, Term: 99, LastTerm: 98, LastIndex: 9}, c.now)
			messages := m.node.Messages()
			So(messages[len(messages)-1].Message.Granted, ShouldBeFalse)
		})
		Convey("don't disrupt a leader that they follow", func() {
			for _, addr := range c.addrs() {
				if m := c.machines[addr]; m.node.Role() == Follower {
					term := m.node.HardState.Term
					m.node.Step(&Message{Kind: RequestVote, From: Voter{"0@m9", "m9"}, Term: term + 1, LastTerm: term + 1,
						LastIndex: 99}, c.now)
					So(m.node.HardState.Term, ShouldEqual, term)
				}
			}
		})
		Convey("have a partitioned leader step down without confirming a read", func() {
			for _, addr := range c.addrs() {
				m := c.machines[addr]
				if m.node.Role() != Leader {
					continue
				}
				c.isolate(addr, c.addrs())
				c.inTransit = nil
				round := m.node.ReadIndex(c.now)
				c.run(2500, 0)
				So(m.node.ReadConfirmed(round), ShouldBeFalse)
				So(m.node.Established(), ShouldBeFalse)
				break
			}
		})
	})
}

package consensus

import "testing"

// TestContactImpliesKnowledgeOfAcknowledgedEntries checks random histories of three and five machines: a machine whose
// contact is younger than the lease knows everything that was acknowledged anywhere before that contact, and a machine
// that is partitioned, in one direction or both, has no contact once the lease has expired. It fails without the
// condition of ReadConfirmed in endContactRound, of committed or incarnation in updateContact, or of lastContact or
// receivedAt in contactFor; and without the condition of Established there, in the history of seed afterElection.
func TestContactImpliesKnowledgeOfAcknowledgedEntries(t *testing.T) {
	const afterElection = 1607 // a new leader passes on a contact from before its leadership
	seeds := 300
	if testing.Short() {
		seeds = 60
	}
	inContact, samples := 0, 0
	for seed := range seeds + 1 {
		if seed == seeds {
			seed = afterElection
		}
		c := newContactModel(uint64(seed), 3+2*(seed%2))
		for c.now < 60_000 {
			if c.now > 3000 && c.random.IntN(500) == 0 {
				c.injectFault()
			}
			if err := c.step(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		if len(c.commits) < 20 {
			t.Fatalf("seed %d: %d entries were acknowledged", seed, len(c.commits))
		}
		inContact, samples = inContact+c.samplesInContact, samples+c.samples
	}
	t.Logf("%.2f of %d samples had contact", float64(inContact)/float64(samples), samples)
	if inContact < samples/3 {
		t.Errorf("%d of %d samples had contact: contact is not renewed often enough", inContact, samples)
	}
}

// TestContactStaysWithinLease checks that without faults other than a loss of one message in twenty, the contact of
// each machine stays younger than the lease.
func TestContactStaysWithinLease(t *testing.T) {
	for seed := range 20 {
		c := newContactModel(uint64(seed), 3+2*(seed%2))
		oldest := 0.0
		for c.now < 30_000 {
			if err := c.step(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			for _, m := range c.machines {
				if c.now > 5000 {
					oldest = max(oldest, m.node.ContactAge(c.clock(m)))
				}
			}
		}
		if oldest > ContactLease {
			t.Errorf("seed %d: the oldest contact was %.0f ms old", seed, oldest)
		}
	}
}

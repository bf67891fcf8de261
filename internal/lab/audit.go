package lab

// This file owns the audit, which compares the executions at members with the answers that clients got. It uses nothing
// that drivers report.

import "fmt"

// Audit returns a description of each violation of a rule that is observable outside of the drivers.
func (c *Cluster) Audit(r Result) (violations []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, n := range c.executions {
		if n > 1 {
			violations = append(violations, fmt.Sprintf("rule 2: write %s ran %d times", id, n))
		}
		if outcome, sent := r.Writes[id]; sent && outcome == Refused {
			violations = append(violations, fmt.Sprintf("rule 2: write %s ran and its client was told that it did not", id))
		}
	}
	for id, outcome := range r.Writes {
		if outcome != Acked || c.executions[id] > 0 {
			continue
		}
		line := fmt.Sprintf("rule 1: write %s was acked and never ran", id)
		if by := r.WriteCluster[id]; by != c.name {
			line += fmt.Sprintf(": a member of cluster %q answered it, not one of %q", by, c.name)
		}
		violations = append(violations, line)
	}
	for cluster, n := range r.Clusters {
		if cluster != c.name {
			violations = append(violations,
				fmt.Sprintf("rule 1: %d ops were answered by cluster %q, not by %q", n, cluster, c.name))
		}
	}
	for _, id := range r.Mismatched {
		violations = append(violations, fmt.Sprintf("rule 1: op %s got another's answer", id))
	}
	for _, stats := range r.Kinds {
		if stats.Outcomes[Lost] > 0 {
			violations = append(violations,
				fmt.Sprintf("rule 1: %d ops without a whole answer in their time", stats.Outcomes[Lost]))
		}
	}
	for _, id := range c.afterDrain {
		violations = append(violations,
			fmt.Sprintf("rule 3: op %s came to a member later than the grace after its drain was told", id))
	}
	return violations
}

// RepeatedWrites returns the number of writes that were executed more than once.
func (c *Cluster) RepeatedWrites() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ran := range c.executions {
		if ran > 1 {
			n++
		}
	}
	return n
}

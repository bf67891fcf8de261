package zones

// This file implements the reports that drivers send to the voters, and their storage at the voters.

import "slices"

// Observation is a driver's observation of one zone.
type Observation struct {
	Zone         string  `cbor:"1,keyasint" json:"zone"`
	Members      int     `cbor:"2,keyasint" json:"members"` // listed and not draining
	Unreachable  int     `cbor:"3,keyasint" json:"silent"`  // members ejected because they do not answer
	LatencyRatio float64 `cbor:"4,keyasint" json:"slow"`    // recent latency divided by its baseline; 0: too few samples
	Lagging      int     `cbor:"5,keyasint" json:"behind"`  // members too far behind for the tightest staleness bound
	Reads        float64 `cbor:"6,keyasint" json:"reads"`   // reads per second that this driver sends there
}

// PrimaryLocation is the zone of a group's primary, as a driver sees it.
type PrimaryLocation struct {
	Group int64  `cbor:"1,keyasint" json:"group"`
	Zone  string `cbor:"2,keyasint" json:"zone"`
}

// Report contains one driver's observations.
type Report struct {
	Zone         string            `cbor:"1,keyasint"` // of the driver
	Sequence     uint64            `cbor:"2,keyasint"` // increases with each report of one run
	Run          uint64            `cbor:"3,keyasint"` // of the process; a later process of the same name has a higher one
	Observations []Observation     `cbor:"4,keyasint"` // at most one per zone
	Primaries    []PrimaryLocation `cbor:"5,keyasint,omitempty"`
}

// valid reports whether a report from a peer is within bounds.
func (r *Report) valid() bool {
	if r == nil || len(r.Zone) > maxNameBytes || len(r.Observations) > maxZones || len(r.Primaries) > maxMoves {
		return false
	}
	for i := range r.Observations {
		if !r.Observations[i].valid() {
			return false
		}
	}
	return true
}

func (o *Observation) valid() bool {
	return o.Zone != "" && len(o.Zone) <= maxNameBytes && o.Members >= 0 && o.Unreachable >= 0 && o.Lagging >= 0 &&
		o.LatencyRatio >= 0 && o.Reads >= 0 && o.Reads < 1e9
}

const (
	reportersPerZone    = 5   // number of drivers per zone that report, the first by name
	reportMaxHeartbeats = 3.5 // maximum age of a report that is used; it is dropped at four times that age
	maxReports          = 512 // maximum number of stored reports
)

// receivedReport is the newest report of one driver.
type receivedReport struct {
	Report
	receivedAt float64
}

// isReporter reports whether this driver is one of its zone's reporters.
func (z *Coordinator) isReporter() bool {
	before := 0
	for _, peer := range z.fleet.Alive {
		if peer.Name == z.self.Name {
			return len(z.observations) > 0
		}
		if peer.Zone == z.self.Zone {
			if before++; before >= reportersPerZone {
				return false
			}
		}
	}
	return false
}

// report sends this driver's observations to the voters, if a report is due.
func (z *Coordinator) report(now float64) {
	if now < z.nextReportAt || z.plan == nil || !z.isReporter() {
		return
	}
	z.nextReportAt = now + z.heartbeat
	z.reportSequence++
	r := &Report{
		Zone:         z.self.Zone,
		Sequence:     z.reportSequence,
		Run:          z.run,
		Observations: z.observations,
		Primaries:    z.primaries,
	}
	for _, voter := range z.plan.Voters {
		if voter == z.self.Name {
			z.storeReport(now, voter, r)
		} else {
			z.send(voter, Message{Kind: ReportState, Report: r})
		}
	}
}

// receiveReport stores a peer's report and answers it with this driver's Summary.
func (z *Coordinator) receiveReport(now float64, from string, r *Report) {
	if !r.valid() || !z.fleet.isAlive(from) {
		return
	}
	z.storeReport(now, from, r)
	if s := z.Summary(now); s != nil {
		z.send(from, Message{Kind: ReportReply, Summary: s})
	}
}

// storeReport stores a report, unless a stored one of the same driver is as new.
func (z *Coordinator) storeReport(now float64, from string, r *Report) {
	old := z.reports[from]
	if old != nil && (old.Run > r.Run || old.Run == r.Run && old.Sequence >= r.Sequence) {
		return
	}
	if old == nil && len(z.reports) >= maxReports {
		return
	}
	z.reports[from] = &receivedReport{*r, now}
}

// recentReports returns the recent reports of live drivers, sorted by driver, and drops old ones.
func (z *Coordinator) recentReports(now float64) (recent []Report) {
	maxAge := reportMaxHeartbeats * z.heartbeat
	var names []string
	for from, r := range z.reports {
		age := now - r.receivedAt
		switch {
		case age > 4*maxAge:
			delete(z.reports, from)
		case age <= maxAge && z.fleet.isAlive(from):
			names = append(names, from)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		recent = append(recent, z.reports[name].Report)
	}
	return recent
}

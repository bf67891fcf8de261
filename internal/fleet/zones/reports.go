package zones

// This file owns the reports that drivers send the voters, and those that a voter has received.

import "slices"

// Observation is what a driver observes of one zone.
type Observation struct {
	Zone         string  `cbor:"1,keyasint" json:"zone"`
	Members      int     `cbor:"2,keyasint" json:"members"` // listed and not draining
	Unreachable  int     `cbor:"3,keyasint" json:"silent"`  // of them: ejected, as they do not answer
	LatencyRatio float64 `cbor:"4,keyasint" json:"slow"`    // recent latency over its baseline; 0: too few answers
	Lagging      int     `cbor:"5,keyasint" json:"behind"`  // members too far behind for the tightest staleness bound
	Reads        float64 `cbor:"6,keyasint" json:"reads"`   // that this driver sent there, a second
}

// PrimaryLocation is the zone of a group's primary, as a driver sees it.
type PrimaryLocation struct {
	Group int64  `cbor:"1,keyasint" json:"group"`
	Zone  string `cbor:"2,keyasint" json:"zone"`
}

// Report is what one driver observes.
type Report struct {
	Zone         string            `cbor:"1,keyasint"` // of the driver
	Sequence     uint64            `cbor:"2,keyasint"` // of reports of one run: a higher one is newer
	Run          uint64            `cbor:"3,keyasint"` // of the process: a later one has a higher one
	Observations []Observation     `cbor:"4,keyasint"` // at most one a zone
	Primaries    []PrimaryLocation `cbor:"5,keyasint,omitempty"`
}

// valid says whether a report that came from a peer is within bounds.
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
	reportersPerZone    = 5   // drivers of a zone that report, the first ones by name
	reportMaxHeartbeats = 3.5 // age up to which a report counts; it is forgotten at four times that
	maxReports          = 512 // that are kept
)

// receivedReport is the newest report of one driver.
type receivedReport struct {
	Report
	receivedAt float64
}

// isReporter says whether this driver is among those of its zone that report.
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

// report sends what this driver observes to the voters, when that is due.
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

// receiveReport takes a peer's report and answers it with this driver's Summary.
func (z *Coordinator) receiveReport(now float64, from string, r *Report) {
	if !r.valid() || !z.fleet.isAlive(from) {
		return
	}
	z.storeReport(now, from, r)
	if s := z.Summary(now); s != nil {
		z.send(from, Message{Kind: ReportReply, Summary: s})
	}
}

// storeReport keeps a report, unless one of the driver is there that is as new.
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

// recentReports are those that are young enough of drivers that are alive, by their names. Old ones are forgotten.
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

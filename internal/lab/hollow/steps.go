package hollow

// This file owns the changes that phases make, and the queries to the processes.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"weirwind/internal/controlplane/controlmsg"
)

func groupName(n int) string { return fmt.Sprintf("lecture-core-%04d", n) }

// configRoute and configService are parts of a configuration, in the format of the core's API.
type (
	configRoute struct {
		Name, Host, Prefix, Type, Svc           string
		TimeoutMs, TargetMs, MaxStaleMs, Timing int
	}
	configService struct {
		Name            string
		MaxConns, SyncN int
	}
)

// newConfig returns a configuration with a route and a service for each database. Every route differs from that of
// another version.
func newConfig(version uint64, databases int) ([]byte, error) {
	config := struct {
		Gen    uint64          `json:"gen"`
		Routes []configRoute   `json:"routes"`
		Svcs   []configService `json:"svcs"`
	}{Gen: version}
	for n := range databases {
		service := groupName(n)
		config.Svcs = append(config.Svcs, configService{service, 320, 1})
		config.Routes = append(config.Routes, configRoute{
			Name:      "route-" + service,
			Host:      fmt.Sprintf("%08x.database", uint32(n)*2654435761),
			Prefix:    "/",
			Type:      "primary",
			Svc:       service,
			TimeoutMs: 1000,
			TargetMs:  600,
			Timing:    int(version - 1),
		})
	}
	return json.Marshal(config)
}

// changeConfig submits the next configuration.
func (r *run) changeConfig(int) error {
	var base struct{ Gen uint64 }
	_ = json.Unmarshal(r.config, &base) // stays 0 if there is no configuration yet
	body, err := newConfig(base.Gen+1, r.Databases)
	if err != nil {
		return err
	}
	url := "http://" + r.childPlan.Cores[0] + "/config/replace"
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Weirwind-Base-Version", strconv.FormatUint(base.Gen, 10))
	resp, err := r.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if text, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the core rejected the configuration: %d %s", resp.StatusCode, text)
	}
	r.config = body
	return nil
}

// awaitQuiet waits until agents have received no update during two renewals each, as lists may still be in transit to
// agents when the core machines know all changes.
func (r *run) awaitQuiet(ctx context.Context) error {
	updates, until := -1, 0
	return r.pollUntil(ctx, func() (bool, error) {
		samples, err := r.samplesOf(r.drivers)
		if err != nil {
			return false, err
		}
		now := countReceived(samples, controlmsg.MemberRecords, controlmsg.DriverLists, controlmsg.Configuration)
		renewed := countRenewals(map[string][]Sample{"drivers": samples})
		if now != updates {
			updates, until = now, renewed+2*r.Options.Drivers
		}
		return renewed >= until, nil
	})
}

// countReceived returns the number of frames that processes have received for the given purposes.
func countReceived(samples []Sample, purposes ...controlmsg.Purpose) (n int) {
	for _, s := range samples {
		for _, t := range s.Traffic {
			for _, purpose := range purposes {
				n += int(t.Received[purpose.String()].Frames)
			}
		}
	}
	return n
}

// renewalsReached reports whether agents have sent at least count renewals in total.
func (r *run) renewalsReached(count int) (bool, error) {
	all, err := r.samplesOf(r.drivers)
	return countRenewals(map[string][]Sample{"drivers": all}) >= count, err
}

// countRenewals returns the number of renewals that agents have sent.
func countRenewals(all map[string][]Sample) (n int) {
	for _, s := range all["drivers"] {
		n += int(s.Traffic["core"].Sent[controlmsg.LeaseRenewals.String()].Frames)
	}
	return n
}

// samplesOf takes a sample of each process.
func (r *run) samplesOf(children []*child) (all []Sample, err error) {
	for _, c := range children {
		s, err := c.command(verbSample)
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

// configReceived reports whether all agents have received both configurations, by the total number of frames.
func (r *run) configReceived(int) (bool, error) {
	samples, err := r.samplesOf(r.drivers)
	return countReceived(samples, controlmsg.Configuration) >= 2*r.Options.Drivers, err
}

// changeMembers changes the records of the first n members.
func (r *run) changeMembers(n int) error {
	_, err := r.members[0].command(fmt.Sprint(verbChange, " ", n))
	return err
}

// restartDrivers restarts the first n agents of the first process.
func (r *run) restartDrivers(n int) error {
	_, err := r.drivers[0].command(fmt.Sprint(verbRestart, " ", n))
	return err
}

// allKnown reports whether each core machine has links to all others and knows all drivers and members.
func (r *run) allKnown(int) (bool, error) {
	for n := range r.cores {
		s, err := r.status(n)
		if err != nil || s.CoreLinks != r.Options.Cores-1 || s.DriverCount != r.Options.Drivers ||
			s.MemberCount != r.Databases*membersPerGroup {
			return false, nil
		}
	}
	return true, nil
}

// status returns the status of a core machine.
func (r *run) status(n int) (status coreStatus, err error) {
	resp, err := r.http.Get("http://" + r.childPlan.Cores[n] + "/status?brief=1")
	if err != nil {
		return status, err
	}
	defer resp.Body.Close()
	return status, json.NewDecoder(resp.Body).Decode(&status)
}

// sample takes a sample of all processes, by role. It returns an error if they use too much memory.
func (r *run) sample() (map[string][]Sample, error) {
	all := map[string][]Sample{}
	memory := 0.0
	for n, c := range r.cores {
		s, err := r.status(n)
		if err != nil {
			return nil, err
		}
		sample := Sample{Traffic: s.Traffic}
		sample.CPU, sample.Memory = usage(c.cmd.Process.Pid)
		memory += sample.Memory
		all["core"] = append(all["core"], sample)
	}
	for role, children := range map[string][]*child{"drivers": r.drivers, "members": r.members} {
		samples, err := r.samplesOf(children)
		if err != nil {
			return nil, err
		}
		for _, s := range samples {
			memory += s.Memory
		}
		all[role] = samples
	}
	if memory > maxMemory {
		return nil, fmt.Errorf("stopped: %.1f GB in use", memory/(1<<30))
	}
	return all, nil
}

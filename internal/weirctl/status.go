package weirctl

// This file has the commands about the status of the system and its reasons.

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strconv"

	"weirwind/internal/controlplane/consensus"
)

var statusCommands = []command{
	{"status", atLeast(1), status, `  weirctl status [-json] ADDR...            ` +
		`versions, voters, members, drivers, slots; ADDR is a machine's ctl or ready address
`},
	{"explain", atLeast(2), explain, `  weirctl explain GROUP ADDR...            ` +
		`why a group's slot is as it is: the newest events of these machines about it
`},
}

// machineStatus is the response to GET /status of a core machine or of a proxy. Only a proxy's has Sessions.
type machineStatus struct {
	// Version is the version of the configuration; nil: the machine has none, or no contact with a majority.
	Version *uint64 `json:"gen"`

	// Fields of a core machine.
	Machine     string                 `json:"machine"`
	Leader      string                 `json:"leader"`
	Leading     bool                   `json:"leads"`
	Term        uint64                 `json:"term"`
	Index       uint64                 `json:"index"`
	Voters      []consensus.Voter      `json:"voters"`
	Peers       []consensus.PeerStatus `json:"others"` // the other voters, if this machine is the leader
	DiskFull    bool                   `json:"diskFull"`
	DiskWaitMs  float64                `json:"diskWaitMs"` // above 0: it waits for its disk, and reports no more
	Syncs       uint64                 `json:"syncs"`
	LastSyncMs  float64                `json:"lastSyncMs"`
	SlowestSync float64                `json:"mostSyncMs"` // milliseconds
	Members     []memberStatus         `json:"members"`
	Failovers   map[string]string      `json:"successions"` // by service: what its failover waits for
	Drivers     json.RawMessage        `json:"drivers"`     // a list from a core machine, a number from a proxy
	Sessions    *int                   `json:"sessions"`    // nil for a core machine

	Groups map[string]groupStatus `json:"groups"` // of a proxy, by service
}

// memberStatus is a core machine's view of a member.
type memberStatus struct {
	ID       optional[string]  `json:"ID"`
	Service  optional[string]  `json:"Svc"`
	Addr     optional[string]  `json:"Addr"`
	Zone     optional[string]  `json:"Zone"`
	Role     optional[float64] `json:"Role"`
	Draining optional[bool]    `json:"Draining"`
	Departed optional[bool]    `json:"Gone"`
}

// groupStatus is a proxy's view of a group.
type groupStatus struct {
	Slot        optional[string]             `json:"slot"`
	Reason      optional[string]             `json:"why"`
	Waiting     optional[float64]            `json:"waiting"`
	Connections optional[map[string]float64] `json:"connections"`
	Share       optional[float64]            `json:"share"`
}

// optional is a value that machines of other versions may omit. A missing value is printed as <nil>. Numbers are
// float64 to keep their printed format.
type optional[T any] struct{ value *T }

// UnmarshalJSON sets the value; null is the same as a missing value.
func (o *optional[T]) UnmarshalJSON(raw []byte) error { return json.Unmarshal(raw, &o.value) }

// String returns the value in its default format, or <nil>.
func (o optional[T]) String() string {
	if o.value == nil {
		return "<nil>"
	}
	return fmt.Sprint(*o.value)
}

// status prints the status of each machine. The error of one that doesn't answer is printed, the others are still
// asked, and the last such error is returned.
func status(args []string, out io.Writer) error {
	flags := flag.NewFlagSet("status", flag.ContinueOnError)
	raw := flags.Bool("json", false, "as JSON")
	if flags.Parse(args) != nil {
		return errUsage
	}
	var failed error
	for _, addr := range flags.Args() {
		body, err := get(addr, "/status")
		if err != nil {
			failed = err
			fmt.Fprintf(out, "%s: %v\n", addr, err)
			continue
		}
		if *raw {
			_, _ = out.Write(body) // there is no other output to report a write error to
			continue
		}
		var machine machineStatus
		if err := json.Unmarshal(body, &machine); err != nil {
			return err
		}
		if machine.Sessions != nil {
			printProxy(addr, &machine, out)
		} else {
			printCore(addr, &machine, out)
		}
	}
	return failed
}

// versionText returns a configuration's version as text, or "unknown".
func versionText(version *uint64) string {
	if version == nil {
		return "unknown"
	}
	return strconv.FormatUint(*version, 10)
}

func printProxy(addr string, proxy *machineStatus, out io.Writer) {
	fmt.Fprintf(out, "%s: proxy, configuration %s, %d sessions, %s drivers\n",
		addr, versionText(proxy.Version), *proxy.Sessions, proxy.Drivers)
	for _, service := range slices.Sorted(maps.Keys(proxy.Groups)) {
		group := proxy.Groups[service]
		fmt.Fprintf(out, "  %s: slot %v (%v), %v wait, %v connections of %v a member\n",
			service, group.Slot, group.Reason, group.Waiting, group.Connections, group.Share)
	}
}

func printCore(addr string, core *machineStatus, out io.Writer) {
	fmt.Fprintf(out, "%s: core %s, leads %v, leader %s, term %d, entry %d, configuration %s\n",
		addr, core.Machine, core.Leading, core.Leader, core.Term, core.Index, versionText(core.Version))
	if core.DiskWaitMs > 0 {
		reason := "stalls"
		if core.DiskFull {
			reason = "is full"
		}
		fmt.Fprintf(out, "  the disk %s: it has been waited for %.0f ms\n", reason, core.DiskWaitMs)
	}
	fmt.Fprintf(out, "  disk: %d syncs, the last %.1f ms, the slowest %.1f ms\n",
		core.Syncs, core.LastSyncMs, core.SlowestSync)
	for _, voter := range core.Voters {
		fmt.Fprintf(out, "  voter %s at %s%s\n", voter.ID, voter.Addr, peerDetail(core.Peers, voter.ID))
	}
	for _, member := range core.Members {
		fmt.Fprintf(out, "  member %v of %v at %v in %v: role %v, draining %v, gone %v\n",
			member.ID, member.Service, member.Addr, member.Zone, member.Role, member.Draining, member.Departed)
	}
	for _, service := range slices.Sorted(maps.Keys(core.Failovers)) {
		fmt.Fprintf(out, "  succession of %s: %s\n", service, core.Failovers[service])
	}
}

// peerDetail describes a voter as the leader sees it, or returns "" if the leader has no status of it.
func peerDetail(peers []consensus.PeerStatus, id string) (detail string) {
	for _, peer := range peers {
		switch {
		case peer.ID != id:
		case peer.Silent < 0:
			detail = ", not heard of by this leader"
		case peer.Behind:
			detail = fmt.Sprintf(", behind: it has entry %d, heard %.0f ms ago", peer.Index, peer.Silent)
		default:
			detail = fmt.Sprintf(", heard %.0f ms ago", peer.Silent)
		}
		if peer.ID == id && peer.ClockDrift != 0 {
			detail += fmt.Sprintf(", its clock runs %+.1f %% off: its contact does not count", 100*peer.ClockDrift)
		}
	}
	return detail
}

// explain prints the latest events about a group from each machine.
func explain(args []string, out io.Writer) error {
	for _, addr := range args[1:] {
		body, err := get(addr, eventsAbout("svc", args[0]))
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%s:\n%s", addr, body)
	}
	return nil
}

// eventsAbout returns the URL path of the events with the given key and value.
func eventsAbout(key, value string) string {
	return "/events?about=" + url.QueryEscape(`"`+key+`"="`+value+`"`)
}

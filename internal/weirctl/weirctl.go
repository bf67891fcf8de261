// Package weirctl is the operators' command: what the system is doing and why, what a configuration would change, and
// what to do with a core machine's disk.
//
// This file owns the command line. It asks machines by their published calls and opens folders of stopped ones; it decides
// nothing.
package weirctl

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/controlplane/consensus/store"
)

const usage = `weirctl asks and tends the system.

  weirctl status [-json] ADDR...            versions, voters, members, drivers, slots; ADDR is a machine's ctl or ready address
  weirctl explain GROUP ADDR...            why a group's slot is as it is: the newest events of these machines about it
  weirctl config check FILE                 reads a configuration as the core would
  weirctl config log ADDR                   which versions were taken, when, on which base, at which machine
  weirctl config diff ADDR FILE             what FILE would change of what is in place
  weirctl members forget ADDR ID            a member is gone for good: its group waits for it no longer, what it alone held is lost
  weirctl shards found ADDR FILE            first holders of shards, and the nodes' zones
  weirctl shards status [-json] ADDR        nodes, room, and what moves
  weirctl shards plan [-json] FILE          moves that rebalance the nodes and shards of FILE, in rounds: docs/rebalance.md
  weirctl shards plan [-json] -at ADDR      the same for what the nodes of a system hold
  weirctl shards apply ADDR                 makes that plan and has it carried out
  weirctl shards pause|resume|abort ADDR    abort: what was not handed over goes back
  weirctl shards mark ADDR NODE in|leaving|gone [ZONE]
  weirctl shards rules ADDR FILE            how much goes on at a time; FILE has what is to change
  weirctl shards explain ADDR SHARD         where it is, why, and the newest events about it
  weirctl shards page ADDR FILE             progress as HTML, with bytes and room over time
  weirctl sessions status ADDR              sites of open sessions, and what they hold: docs/sessions.md
  weirctl sessions drain [-pace N] ADDR SITE, undrain ADDR SITE
                                             hands a site's sessions to its neighbours, N a second
  weirctl sessions show ADDR ID             where a session is and what is queued
  weirctl state check FOLDER                what a stopped core machine's disk holds
  weirctl state export FOLDER FILE          its operator's word, for a restore
  weirctl state import FILE FOLDER ADDR VOTER...
                                             founds a core anew from an export: on each new machine's empty FOLDER, with its own
                                             ctl ADDR and the same list of all VOTERs' ctl addresses. Only for the day on which
                                             a majority of the disks is gone: docs/system-operator.md
`

// Main carries out a call and gives its exit code: 0, 1 for a failure, 2 for a wrong call.
func Main(args []string, out, errs io.Writer) int {
	call := strings.Join(args[:min(len(args), 2)], " ")
	var err error
	switch {
	case len(args) > 1 && args[0] == "status":
		err = status(args[1:], out)
	case len(args) > 2 && args[0] == "explain":
		err = explain(args[1:], out)
	case call == "config check" && len(args) == 3:
		err = check(args[2], out)
	case call == "members forget" && len(args) == 4:
		err = command(args[2], "/members/"+url.PathEscape(args[3])+"/forget", out)
	case call == "config log" && len(args) == 3:
		err = configLog(args[2], out)
	case call == "config diff" && len(args) == 4:
		err = diff(args[2], args[3], out)
	case len(args) > 2 && args[0] == "sessions":
		err = sessions(args[1:], out)
	case len(args) > 2 && args[0] == "shards":
		err = shards(args[1:], out)
	case call == "state check" && len(args) == 3:
		err = stateCheck(args[2], out)
	case call == "state export" && len(args) == 4:
		err = export(args[2], args[3], out)
	case call == "state import" && len(args) >= 6:
		err = restore(args[2], args[3], args[4], args[5:], out)
	case len(args) == 1 && (args[0] == "-h" || args[0] == "-help" || args[0] == "--help" || args[0] == "help"):
		io.WriteString(out, usage)
		return 0
	default:
		io.WriteString(errs, usage)
		return 2
	}
	if err == flag.ErrHelp {
		io.WriteString(errs, usage)
		return 2
	}
	if err != nil {
		fmt.Fprintln(errs, "weirctl:", err)
		return 1
	}
	return 0
}

func get(addr, path string) ([]byte, error) { return call(http.MethodGet, addr, path, nil) }

// command makes a call that changes something, and prints its answer.
func command(addr, path string, out io.Writer) error {
	answer, err := call(http.MethodPost, addr, path, nil)
	if err == nil {
		_, err = out.Write(answer)
	}
	return err
}

func call(method, addr, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return nil, oops.In("ask").With("peer", addr).Wrap(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, 64<<20))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s%s: %s: %s", addr, path, resp.Status, strings.TrimSpace(string(answer)))
	}
	return answer, err
}

type machine struct {
	Machine  string                    `json:"machine"`
	Leader   string                    `json:"leader"`
	Leads    bool                      `json:"leads"`
	Term     uint64                    `json:"term"`
	Index    uint64                    `json:"index"`
	Gen      uint64                    `json:"gen"`
	Voters   []consensus.Voter         `json:"voters"`
	Others   []consensus.PeerStatus      `json:"others"`
	Syncs    uint64                    `json:"syncs"`
	LastSync float64                   `json:"lastSyncMs"`
	MostSync float64                   `json:"mostSyncMs"`
	Members  []map[string]any          `json:"members"`
	Drivers  json.RawMessage           `json:"drivers"`
	Hands    map[string]string         `json:"successions"`
	Sessions *int                      `json:"sessions"`
	Groups   map[string]map[string]any `json:"groups"`
}

func status(args []string, out io.Writer) error {
	flags := flag.NewFlagSet("status", flag.ContinueOnError)
	raw := flags.Bool("json", false, "as JSON")
	if err := flags.Parse(args); err != nil {
		return flag.ErrHelp
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
			out.Write(body)
			continue
		}
		var m machine
		if err := json.Unmarshal(body, &m); err != nil {
			return err
		}
		if m.Sessions != nil {
			fmt.Fprintf(out, "%s: proxy, configuration %d, %d sessions, %s drivers\n", addr, m.Gen, *m.Sessions, m.Drivers)
			for svc, g := range m.Groups {
				fmt.Fprintf(out, "  %s: slot %v (%v), %v wait, %v connections of %v a member\n", svc, g["slot"], g["why"], g["waiting"], g["connections"], g["share"])
			}
			continue
		}
		fmt.Fprintf(out, "%s: core %s, leads %v, leader %s, term %d, entry %d, configuration %d\n", addr, m.Machine, m.Leads, m.Leader, m.Term, m.Index, m.Gen)
		fmt.Fprintf(out, "  disk: %d syncs, the last %.1f ms, the slowest %.1f ms\n", m.Syncs, m.LastSync, m.MostSync)
		for _, v := range m.Voters {
			note := ""
			for _, o := range m.Others {
				switch {
				case o.ID != v.ID:
				case o.Silent < 0:
					note = ", not heard of by this leader"
				case o.Behind:
					note = fmt.Sprintf(", behind: it has entry %d, heard %.0f ms ago", o.Index, o.Silent)
				default:
					note = fmt.Sprintf(", heard %.0f ms ago", o.Silent)
				}
			}
			fmt.Fprintf(out, "  voter %s at %s%s\n", v.ID, v.Addr, note)
		}
		for _, r := range m.Members {
			fmt.Fprintf(out, "  member %v of %v at %v in %v: role %v, draining %v, gone %v\n", r["ID"], r["Svc"], r["Addr"], r["Zone"], r["Role"], r["Draining"], r["Gone"])
		}
		for svc, h := range m.Hands {
			fmt.Fprintf(out, "  succession of %s: %s\n", svc, h)
		}
	}
	return failed
}

func explain(args []string, out io.Writer) error {
	for _, addr := range args[1:] {
		body, err := get(addr, "/events?about="+url.QueryEscape(`"svc"="`+args[0]+`"`))
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%s:\n%s", addr, body)
	}
	return nil
}

func check(file string, out io.Writer) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	c, err := config.Parse(raw)
	if err == nil {
		fmt.Fprintf(out, "version %d can be served: %d routes, %d services\n", c.Version, len(c.Routes), len(c.Services))
	}
	return err
}

func configLog(addr string, out io.Writer) error {
	body, err := get(addr, "/config/log")
	if err != nil {
		return err
	}
	var past []config.AppliedChange
	if err := json.Unmarshal(body, &past); err != nil {
		return err
	}
	for _, p := range past {
		fmt.Fprintf(out, "%s version %d on %d, taken at %s, digest %x\n", time.UnixMilli(p.AppliedAt).UTC().Format(time.RFC3339), p.Version, p.BaseVersion, p.Origin, p.Digest[:6])
	}
	return nil
}

func diff(addr, file string, out io.Writer) error {
	now, err := get(addr, "/config/show")
	if err != nil {
		return err
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	lines, err := config.Diff(now, raw)
	for _, l := range lines {
		fmt.Fprintln(out, l)
	}
	return err
}

// exported is an operator's word outside of a core.
type exported struct {
	Form  string          `cbor:"1,keyasint"`
	Entry consensus.Entry `cbor:"2,keyasint"`
	Term  uint64          `cbor:"3,keyasint"`
}

const form = "weirwind core 1"

func stateCheck(folder string, out io.Writer) error {
	h, found, err := store.Inspect(folder)
	if err != nil {
		return err
	}
	if !found {
		fmt.Fprintln(out, "nothing was ever kept there")
		return nil
	}
	var b config.State
	if len(h.Last.Value) > 0 {
		if err := cbor.Unmarshal(h.Last.Value, &b); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "voter %s, term %d, entry %d of term %d, configuration %d (%d bytes, %d changes)\n", h.ID, h.Term, h.Last.Index, h.Last.Term, b.Version, len(b.Raw), len(b.History))
	if h.Commit >= h.Last.Index && h.CommitTerm == h.Last.Term {
		fmt.Fprintln(out, "the entry was known committed here")
	} else {
		fmt.Fprintln(out, "whether the entry was committed is not known here: another disk may hold a newer one, or none took it")
	}
	for _, v := range h.Last.Voters {
		fmt.Fprintf(out, "  voter %s at %s\n", v.ID, v.Addr)
	}
	return nil
}

func export(folder, file string, out io.Writer) error {
	h, found, err := store.Inspect(folder)
	if err != nil {
		return err
	}
	if !found {
		return fmt.Errorf("%s: nothing was ever kept there", folder)
	}
	b, err := cbor.Marshal(exported{form, h.Last, h.Term})
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	fmt.Fprintf(out, "entry %d of term %d is in %s; of several disks' exports the one with the highest term, then entry, is the newest\n", h.Last.Index, h.Last.Term, file)
	return nil
}

// termJump lifts a restored core over all terms that its lost machines can have reached.
const termJump = 1 << 20

func restore(file, folder, addr string, voters []string, out io.Writer) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var e exported
	if err := cbor.Unmarshal(raw, &e); err != nil || e.Form != form {
		return fmt.Errorf("%s is no export of a core", file)
	}
	s, _, found, err := store.Open(folder)
	if err != nil {
		return err
	}
	defer s.Close()
	if found {
		return fmt.Errorf("%s is not empty: a restore goes to an empty folder only", folder)
	}
	h := consensus.Restore(addr, voters, e.Entry, max(e.Term, e.Entry.Term)+termJump)
	if h.ID == "" {
		return fmt.Errorf("%s is not among the voters", addr)
	}
	if err := s.Save(&h); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s begins as voter %s with term %d; start it with init=false once all voters are restored\n", addr, h.ID, h.Term)
	return nil
}

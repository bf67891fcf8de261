package weirctl

// This file owns the operators' calls about open sessions: docs/sessions.md.

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"weirwind/internal/session/sites"
)

func sessions(args []string, out io.Writer) error {
	if len(args) < 2 {
		return flag.ErrHelp
	}
	switch args[0] {
	case "status":
		return sessionsStatus(args[1], out)
	case "drain":
		flags := flag.NewFlagSet("sessions drain", flag.ContinueOnError)
		pace := flags.Int("pace", sites.DefaultDrainRate, "sessions a second that are handed on")
		if flags.Parse(args[1:]) != nil || flags.NArg() != 2 {
			return flag.ErrHelp
		}
		return command(flags.Arg(0), "/sites/"+url.PathEscape(flags.Arg(1))+"/drain?pace="+strconv.Itoa(*pace), out)
	case "undrain":
		if len(args) != 3 {
			return flag.ErrHelp
		}
		return command(args[1], "/sites/"+url.PathEscape(args[2])+"/undrain", out)
	case "show":
		if len(args) != 3 {
			return flag.ErrHelp
		}
		return sessionsShow(args[1], args[2], out)
	}
	return flag.ErrHelp
}

func siteMap(addr string) (m sites.Map, err error) {
	body, err := get(addr, "/sites")
	if err == nil {
		err = json.Unmarshal(body, &m)
	}
	if err == nil && m.Version == 0 {
		err = fmt.Errorf("no site has joined")
	}
	return m, err
}

func sessionsStatus(addr string, out io.Writer) error {
	m, err := siteMap(addr)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "version %d\n", m.Version)
	for _, name := range slices.Sorted(maps.Keys(m.Sites)) {
		s := m.Sites[name]
		fmt.Fprintf(out, "  site %s in %s, %s, epoch %d, at %s", name, s.Zone, s.State, s.Epoch, s.HTTPAddr)
		var v struct {
			Homes  int   `json:"homes"`
			Copies int   `json:"copies"`
			Bytes  int64 `json:"bytes"`
			Given  int   `json:"givenUp"`
			Edges  int   `json:"edges"`
		}
		if body, err := get(s.HTTPAddr, "/status"); s.State != sites.StateRemoved && err == nil && json.Unmarshal(body, &v) == nil {
			fmt.Fprintf(out, ": home of %d sessions, copies of %d, %d bytes, %d messages given up for their age, %d edges", v.Homes, v.Copies, v.Bytes, v.Given, v.Edges)
		} else if s.State != sites.StateRemoved {
			fmt.Fprint(out, ": it does not answer here")
		}
		fmt.Fprintln(out)
	}
	return nil
}

func sessionsShow(addr, id string, out io.Writer) error {
	m, err := siteMap(addr)
	if err != nil {
		return err
	}
	id, _, _ = strings.Cut(id, ".") // the secret of a token is nobody's business
	for _, s := range m.Sites {
		if s.State == sites.StateRemoved {
			continue
		}
		if body, err := get(s.HTTPAddr, "/sessions/"+url.PathEscape(id)); err == nil {
			_, err = out.Write(body)
			return err
		}
	}
	return fmt.Errorf("no site that answers is home of %s", id)
}

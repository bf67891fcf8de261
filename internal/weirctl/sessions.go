package weirctl

// This file has the commands about open sessions: docs/sessions.md.

import (
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

var sessionCommands = []command{
	{"sessions status", atLeast(1), sessionsStatus, `  weirctl sessions status ADDR              ` +
		`sites of open sessions, and what they hold: docs/sessions.md
`},
	{"sessions drain", atLeast(1), sessionsDrain, "  weirctl sessions drain [-pace N] ADDR SITE, undrain ADDR SITE\n" +
		continuationIndent + "hands a site's sessions to its neighbours, N a second\n"},
	{"sessions undrain", exactly(2), sessionsUndrain, ""},
	{"sessions show", exactly(2), sessionsShow, `  weirctl sessions show ADDR ID             ` +
		`where a session is and what is queued
`},
}

// siteStatus is a site's response to GET /status.
type siteStatus struct {
	Primaries int   `json:"homes"`
	Replicas  int   `json:"copies"`
	Bytes     int64 `json:"bytes"`
	Expired   int   `json:"givenUp"` // messages
	Edges     int   `json:"edges"`
}

func sessionsDrain(args []string, out io.Writer) error {
	flags := flag.NewFlagSet("sessions drain", flag.ContinueOnError)
	rate := flags.Int("pace", sites.DefaultDrainRate, "sessions a second that are handed on")
	if flags.Parse(args) != nil || flags.NArg() != 2 {
		return errUsage
	}
	return postAndPrint(flags.Arg(0), sitePath(flags.Arg(1), "/drain?pace="+strconv.Itoa(*rate)), out)
}

func sessionsUndrain(args []string, out io.Writer) error {
	return postAndPrint(args[0], sitePath(args[1], "/undrain"), out)
}

func sitePath(site, action string) string { return "/sites/" + url.PathEscape(site) + action }

// fetchSites returns the map of sites from a core machine. A map without sites is an error.
func fetchSites(addr string) (siteMap sites.Map, err error) {
	err = getJSON(addr, "/sites", &siteMap)
	if err == nil && siteMap.Version == 0 {
		err = fmt.Errorf("no site has joined")
	}
	return siteMap, err
}

func sessionsStatus(args []string, out io.Writer) error {
	siteMap, err := fetchSites(args[0])
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "version %d\n", siteMap.Version)
	for _, name := range slices.Sorted(maps.Keys(siteMap.Sites)) {
		site := siteMap.Sites[name]
		fmt.Fprintf(out, "  site %s in %s, %s, epoch %d, at %s%s\n",
			name, site.Zone, site.State, site.Epoch, site.HTTPAddr, siteDetail(&site))
	}
	return nil
}

// siteDetail asks a site for its status, and returns it as text. The text is "" for a site that was removed.
func siteDetail(site *sites.Site) string {
	var s siteStatus
	err := getJSON(site.HTTPAddr, "/status", &s)
	switch {
	case site.State == sites.StateRemoved:
		return ""
	case err != nil:
		return ": it does not answer here"
	}
	return fmt.Sprintf(": home of %d sessions, copies of %d, %d bytes, %d messages given up for their age, %d edges",
		s.Primaries, s.Replicas, s.Bytes, s.Expired, s.Edges)
}

func sessionsShow(args []string, out io.Writer) error {
	siteMap, err := fetchSites(args[0])
	if err != nil {
		return err
	}
	id, _, _ := strings.Cut(args[1], ".") // the rest of a token is its secret, which must not be sent to sites
	for _, site := range siteMap.Sites {
		if site.State == sites.StateRemoved {
			continue
		}
		if body, err := get(site.HTTPAddr, "/sessions/"+url.PathEscape(id)); err == nil {
			_, err = out.Write(body)
			return err
		}
	}
	return fmt.Errorf("no site that answers is home of %s", id)
}

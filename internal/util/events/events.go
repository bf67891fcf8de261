// Package events is the system's log: numbered events.
//
// This file owns the catalogue: every event that a process of the system may log, its number and its meaning, as docs/events.md
// prints it; a test holds the two together.
package events

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/samber/oops"
)

// Event is a number of the catalogue.
type Event int

// Events by concern: 1xx process, 2xx agreement, 3xx configuration, 4xx members and drivers, 5xx slots, 6xx succession, 7xx
// sessions, 8xx links, 9xx shards, 10xx sessions of sites.
const (
	Started      Event = 101
	Stopping     Event = 102
	Stopped      Event = 103
	Reloaded     Event = 104
	BadSettings  Event = 105
	Leads        Event = 201
	LedOver      Event = 202
	Founded      Event = 203
	VotersChange Event = 204
	DiskFailed   Event = 205
	Joining      Event = 206
	ContactHeld  Event = 207
	ContactLost  Event = 208
	Leaving      Event = 209
	ConfigTaken  Event = 301
	ConfigNot    Event = 302
	ConfigSeen   Event = 303
	MemberNew    Event = 401
	MemberDrains Event = 402
	MemberGone   Event = 403
	MemberRole   Event = 404
	DriverNew    Event = 405
	DriverLapsed Event = 406
	RosterChange Event = 407
	SlotFilled   Event = 501
	SlotEmptied  Event = 502
	Succession   Event = 601
	SuccessStep  Event = 602
	PlatformCall Event = 603
	SessionBad   Event = 701
	Refused      Event = 702
	LinkUp       Event = 801
	LinkDown     Event = 802
	CoreMoved    Event = 803
	ShardMap     Event = 901
	ShardMove    Event = 902
	ShardStep    Event = 903
	SiteMap      Event = 1001
	SiteLapsed   Event = 1002
	SiteSelf     Event = 1003
	SocketEnd    Event = 1004
)

// Catalogue says what each event means.
var Catalogue = map[Event]string{
	Started:      "a process has read its settings and serves",
	Stopping:     "SIGTERM: it takes nothing new and lets what is open end",
	Stopped:      "it has ended in order",
	Reloaded:     "the settings file was read again; what changed is named",
	BadSettings:  "the settings file can't be read; what held before holds on",
	Leads:        "this machine of the core leads from now on, with the term that is also its fence",
	LedOver:      "it leads no longer",
	Founded:      "the core was founded by these voters",
	VotersChange: "the core agreed on other voters",
	DiskFailed:   "the disk refused or failed; this machine gives no vote until it works",
	Joining:      "an empty machine asks the core to become a voter",
	ContactHeld:  "this machine of the core has contact with a majority again: it answers calls and keeps agents",
	ContactLost:  "this machine of the core has no contact with a majority: it answers 503, and its agents look for another",
	Leaving:      "this machine of the core ends in order: it hands the lead on, and asks to be voted out where enough others vote",
	ConfigTaken:  "a configuration is on a majority of disks and was acknowledged",
	ConfigNot:    "a configuration was refused, with the reason",
	ConfigSeen:   "a proxy goes by this configuration from now on",
	MemberNew:    "a member was heard of for the first time",
	MemberDrains: "a member says that it is draining",
	MemberGone:   "a member left, or was silent for so long that it is let go",
	MemberRole:   "a member says that its role is another",
	DriverNew:    "a driver has taken a lease",
	DriverLapsed: "a driver's lease has lapsed",
	RosterChange: "the roster of members that may hold an acknowledged commit is to change",
	SlotFilled:   "a group's writer slot names this member from now on, and by what evidence",
	SlotEmptied:  "a group's writer slot is empty, and why; its writes are held",
	Succession:   "a service is to get another primary, and why",
	SuccessStep:  "a step of a succession was taken, or what it waits for",
	PlatformCall: "a call to the platform, with its answer",
	SessionBad:   "a client's bytes were no message; its connection was closed",
	Refused:      "statements were refused unsent (at most a line a second for a group): what they waited for",
	LinkUp:       "a link to another process of the system stands",
	LinkDown:     "a link broke",
	CoreMoved:    "an agent has gone over to another machine of the core, and why",
	ShardMap:     "a change of who holds which shard is on a majority of disks",
	ShardMove:    "a move of a shard begins, or goes back, and why; or a plan is made anew",
	ShardStep:    "a step of a move was asked of a node",
	SiteMap:      "a change of the sites of open sessions is on a majority of disks",
	SiteLapsed:   "a site's lease is over: its sessions are its neighbours'",
	SiteSelf:     "a site's own life began, drains or is over, by the map",
	SocketEnd:    "a client's socket was ended by the edge, and why",
}

// Log writes numbered events, and keeps the newest for those who ask why.
type Log struct {
	l    logr.Logger
	kept *ring
}

const mostKept = 256

type ring struct {
	mu    sync.Mutex
	lines []string
}

func (r *ring) add(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.lines) >= mostKept {
		r.lines = append(r.lines[:0], r.lines[mostKept/4:]...)
	}
	r.lines = append(r.lines, line)
}

// New writes to w, one line an event: milliseconds since the start, the process, the event's number, its keys and values.
func New(w io.Writer, name string) Log {
	var mu sync.Mutex
	kept := &ring{}
	start := time.Now()
	l := funcr.New(func(prefix, args string) {
		line := fmt.Sprintf("%d %s %s", time.Since(start).Milliseconds(), prefix, tidy.Replace(args))
		kept.add(line)
		mu.Lock()
		defer mu.Unlock()
		io.WriteString(w, line+"\n")
	}, funcr.Options{})
	return Log{l.WithName(name), kept}
}

var tidy = strings.NewReplacer(`"level"=0 `, "", `"msg"=`, "")

// Discard logs nowhere.
func Discard() Log { return Log{logr.Discard(), &ring{}} }

// Event logs one with pairs of keys and values.
func (l Log) Event(e Event, pairs ...any) { l.l.Info(fmt.Sprintf("E%d", int(e)), pairs...) }

// Error logs one with an error, which carries the step and the peer.
func (l Log) Error(e Event, err error, pairs ...any) {
	if o, ok := oops.AsOops(err); ok {
		pairs = append(pairs, "step", o.Domain())
		for k, v := range o.Context() {
			pairs = append(pairs, k, v)
		}
	}
	l.l.Info(fmt.Sprintf("E%d", int(e)), append(pairs, "error", err.Error())...)
}

// Recent gives the lines that are kept.
func (l Log) Recent() []string {
	l.kept.mu.Lock()
	defer l.kept.mu.Unlock()
	return append([]string(nil), l.kept.lines...)
}

// ServeHTTP answers with the newest events; ?about=WORD leaves those that don't have the word.
func (l Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	about := r.URL.Query().Get("about")
	for _, line := range l.Recent() {
		if strings.Contains(line, about) {
			io.WriteString(w, line+"\n")
		}
	}
}

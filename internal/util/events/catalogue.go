package events

// This file owns the catalogue: every event that a process of the system may log, its number and its meaning.

// Event is an event's number. A number is never given to another event.
type Event int

// Events of processes: start, end, settings.
const (
	Started     Event = 101
	Stopping    Event = 102
	Stopped     Event = 103
	Reloaded    Event = 104
	BadSettings Event = 105
)

// Events of consensus among the core machines.
const (
	Leads        Event = 201
	LedOver      Event = 202
	Founded      Event = 203
	VotersChange Event = 204
	DiskFailed   Event = 205
	Joining      Event = 206
	ContactHeld  Event = 207
	ContactLost  Event = 208
	Leaving      Event = 209
)

// Events of the operator's configuration.
const (
	ConfigTaken Event = 301
	ConfigNot   Event = 302
	ConfigSeen  Event = 303
)

// Events of members and drivers.
const (
	MemberNew    Event = 401
	MemberDrains Event = 402
	MemberGone   Event = 403
	MemberRole   Event = 404
	DriverNew    Event = 405
	DriverLapsed Event = 406
	RosterChange Event = 407
)

// Events of writer slots.
const (
	SlotFilled  Event = 501
	SlotEmptied Event = 502
)

// Events of failovers.
const (
	Succession   Event = 601
	SuccessStep  Event = 602
	PlatformCall Event = 603
)

// Events of clients' sessions at a proxy.
const (
	SessionBad Event = 701
	Refused    Event = 702
)

// Events of links between the system's processes.
const (
	LinkUp    Event = 801
	LinkDown  Event = 802
	CoreMoved Event = 803
)

// Events of shards.
const (
	ShardMap  Event = 901
	ShardMove Event = 902
	ShardStep Event = 903
)

// Events of the sites and edges of open sessions.
const (
	SiteMap    Event = 1001
	SiteLapsed Event = 1002
	SiteSelf   Event = 1003
	SocketEnd  Event = 1004
)

// Catalogue says what each event means, as docs/events.md prints it. No line of the log holds these texts.
var Catalogue = map[Event]string{
	Started:     "a process has read its settings and serves",
	Stopping:    "SIGTERM: graceful shutdown begins; nothing new is accepted, and what is open is let end",
	Stopped:     "the process has shut down in order; with an error: it failed",
	Reloaded:    "the settings file was read again; the peers that it names",
	BadSettings: "the settings file can't be read; the settings in force stay",

	Leads:        "this core machine is the leader from now on, in the term given, which is also its fencing token",
	LedOver:      "this core machine is no longer the leader",
	Founded:      "the core was bootstrapped with these voters",
	VotersChange: "the core committed another set of voters",
	DiskFailed:   "the disk refused a write or failed; this machine grants no vote until it works again",
	Joining:      "a machine without state asks the core to become a voter",
	ContactHeld:  "this core machine has contact with a majority again: it answers calls and serves agents",
	ContactLost:  "this core machine has lost contact with a majority: it answers 503, and its agents fail over",
	Leaving:      "this core machine shuts down: it transfers leadership, and asks to be removed where enough remain",

	ConfigTaken: "a configuration is synced on a majority of disks and was acknowledged",
	ConfigNot:   "a configuration was rejected, with the reason",
	ConfigSeen:  "a proxy applies this configuration from now on",

	MemberNew:    "a member sent its first heartbeat",
	MemberDrains: "a member reports that it is draining",
	MemberGone:   "a member left, or timed out and was removed",
	MemberRole:   "a member reports another role",
	DriverNew:    "a driver was granted a lease",
	DriverLapsed: "a driver's lease expired",
	RosterChange: "the roster of members that may hold an acknowledged commit is to change",

	SlotFilled:  "a group's writer slot names this member from now on, and by what evidence",
	SlotEmptied: "a group's writer slot is empty, and why; its writes are queued",

	Succession:   "the failover of a service to another primary begins, and why",
	SuccessStep:  "a step of a failover was taken, or what it waits for",
	PlatformCall: "a call to the platform, with its answer",

	SessionBad: "a client sent bytes that are no message; its connection was closed",
	Refused:    "statements were rejected without being sent (at most a line a second for a group): what they waited for",

	LinkUp:    "a link to another process of the system is up",
	LinkDown:  "a link to another process of the system ended",
	CoreMoved: "an agent failed over to another core machine, and why",

	ShardMap:  "a change of the shard map is synced on a majority of disks",
	ShardMove: "a shard's move begins or is rolled back, and why; or a new plan is made",
	ShardStep: "a node was sent a step of a shard's move",

	SiteMap:    "a change of the sites of open sessions is synced on a majority of disks",
	SiteLapsed: "a site's lease expired: its neighbours take its sessions over",
	SiteSelf:   "this site's incarnation began, is draining or ended, by the map of sites",
	SocketEnd:  "the edge closed a client's socket, and why",
}

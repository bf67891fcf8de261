package events

// This file has the catalogue: the number and the meaning of every event that a process of the system may log.

// Event is an event's number. Numbers are never reused.
type Event int

// Events of processes: start, end, settings.
const (
	Started       Event = 101
	Stopping      Event = 102
	Stopped       Event = 103
	Reloaded      Event = 104
	BadSettings   Event = 105
	MetricsFailed Event = 106
)

// Events of consensus among the core machines.
const (
	BecameLeader    Event = 201
	LostLeadership  Event = 202
	Bootstrapped    Event = 203
	VotersChanged   Event = 204
	DiskFailed      Event = 205
	JoinRequested   Event = 206
	ContactRegained Event = 207
	ContactLost     Event = 208
	LeavingCore     Event = 209
	ClockDrift      Event = 210
	DiskFull        Event = 211
	QuotasKnown     Event = 212
)

// Events of the operator's configuration.
const (
	ConfigAcknowledged Event = 301
	ConfigRejected     Event = 302
	ConfigApplied      Event = 303
)

// Events of members and drivers.
const (
	MemberJoined       Event = 401
	MemberDraining     Event = 402
	MemberRemoved      Event = 403
	MemberRoleChanged  Event = 404
	DriverLeaseGranted Event = 405
	DriverLeaseExpired Event = 406
	RosterChange       Event = 407
)

// Events of writer slots.
const (
	SlotFilled  Event = 501
	SlotEmptied Event = 502

	WriterLeaseGained Event = 503
	WriterLeaseLost   Event = 504
	CommitUnconfirmed Event = 505
)

// Events of failovers.
const (
	FailoverStatus Event = 601
	FailoverStep   Event = 602
	PlatformCall   Event = 603
	PromoteRecord  Event = 604
	WriterAssigned Event = 605
	WritersAwaited Event = 606
)

// Events of clients' sessions at a proxy.
const (
	MalformedMessage   Event = 701
	StatementsRejected Event = 702
	ClientsDenied      Event = 703
	QuotaRefusals      Event = 704
	QuotaLeaseExpired  Event = 705
)

// Events of links between the system's processes.
const (
	LinkUp       Event = 801
	LinkDown     Event = 802
	CoreFailover Event = 803
)

// Events of shards.
const (
	ShardMapChanged Event = 901
	ShardMove       Event = 902
	ShardMoveStep   Event = 903
)

// Events of the sites and edges of open sessions.
const (
	SiteMapChanged   Event = 1001
	SiteLeaseExpired Event = 1002
	SiteStateChanged Event = 1003
	SocketClosed     Event = 1004
)

// Catalogue maps each event to its meaning, from which docs/events.md is generated. Log lines do not contain these
// texts.
var Catalogue = map[Event]string{
	Started:       "a process has read its settings and serves",
	Stopping:      "SIGTERM: graceful shutdown begins; nothing new is accepted, and what is open is let end",
	Stopped:       "the process has shut down in order; with an error: it failed",
	Reloaded:      "the settings file was read again; the peers that it names",
	MetricsFailed: "the process's own figures can't be served; it serves all else",
	BadSettings:   "the settings file can't be read; the settings in force stay",

	BecameLeader:    "this core machine is the leader from now on, in the term given, which is also its fencing token",
	LostLeadership:  "this core machine is no longer the leader",
	Bootstrapped:    "the core was bootstrapped with these voters",
	VotersChanged:   "the core committed another set of voters",
	DiskFailed:      "the disk refused a write or failed; this machine grants no vote until it works again",
	JoinRequested:   "a machine without state asks the core to become a voter",
	ContactRegained: "this core machine has contact with a majority again: it answers calls and serves agents",
	ContactLost:     "this core machine has lost contact with a majority: it answers 503, and its agents fail over",
	ClockDrift: "a core machine's clock is proved to run at another rate (parts in a million, above 0: fast): its " +
		"contact no longer counts; rate 0: it runs as the leader's again; own: it is the leader's, which lets another lead",
	DiskFull: "the disk has no room: what is to be written waits, and until then this machine grants no vote and " +
		"acknowledges nothing; it passes heartbeats and records on",
	QuotasKnown: "the leader knows all shares of tenants' quotas that core machines hold, so many milliseconds after it " +
		"began to lead: from now on it grants more than they reported",
	LeavingCore: "this core machine shuts down: it transfers leadership, and asks to be removed where enough remain",

	ConfigAcknowledged: "a configuration is synced on a majority of disks and was acknowledged",
	ConfigRejected:     "a configuration was rejected, with the reason",
	ConfigApplied:      "a proxy applies this configuration from now on",

	MemberJoined:       "a member sent its first heartbeat",
	MemberDraining:     "a member reports that it is draining",
	MemberRemoved:      "a member left, or timed out and was removed",
	MemberRoleChanged:  "a member reports another role",
	DriverLeaseGranted: "a driver was granted a lease",
	DriverLeaseExpired: "a driver's lease expired",
	RosterChange:       "the roster of members that may hold an acknowledged commit is to change",

	SlotFilled:        "a group's writer slot names this member from now on, and by what evidence",
	SlotEmptied:       "a group's writer slot is empty, and why; its writes are queued",
	WriterLeaseGained: "a proxy has a writer lease again: it writes to the members that the leader assigns",
	WriterLeaseLost:   "a proxy's writer lease is over: it writes while replicas receive, and they confirm each commit",
	CommitUnconfirmed: "commits were answered by a member but not passed on as successes (at most a line a second for a " +
		"group): the leader has assigned another writer, or no replica confirmed them",

	FailoverStatus: "the failover of a service to another primary begins, and why; or what it waits for",
	FailoverStep:   "a step of a failover was taken",
	PlatformCall:   "a call to the platform, with its answer",
	PromoteRecord:  "the record of a promote that may take effect is to be replicated, or removed as it is resolved",
	WriterAssigned: "the leader lets proxies write to this member of a service alone, or to none",
	WritersAwaited: "a failover waits for these proxies, which may still pass on commits of the old primary, until they " +
		"have confirmed that they don't or their leases are over, so many milliseconds at most",

	MalformedMessage:   "a client sent bytes that are no message; its connection was closed",
	StatementsRejected: "statements were rejected, unsent (at most a line a second for a group): what they waited for",
	ClientsDenied: "clients whose key is no tenant's were denied (at most a line a second): how many sessions, " +
		"operations on open sessions and open transactions since the process began, and the configuration in force",

	QuotaRefusals: "operations of a tenant were refused as its quota is used up (at most a line a second for a tenant): " +
		"how many since the last line, when the last of them was told to come back, in ms, and how many still wait",
	QuotaLeaseExpired: "the lease of this machine's shares of quotas expired: it gives proxies no tokens " +
		"until the leader grants it shares again",

	LinkUp:       "a link to another process of the system is up",
	LinkDown:     "a link to another process of the system ended",
	CoreFailover: "an agent failed over to another core machine, and why",

	ShardMapChanged: "a change of the shard map is synced on a majority of disks",
	ShardMove:       "a shard's move begins or is rolled back, and why; or a new plan is made",
	ShardMoveStep:   "a node was sent a step of a shard's move",

	SiteMapChanged:   "a change of the sites of open sessions is synced on a majority of disks",
	SiteLeaseExpired: "a site's lease expired: its neighbours take its sessions over",
	SiteStateChanged: "this site's incarnation began, is draining or ended, by the map of sites",
	SocketClosed:     "the edge closed a client's socket, and why",
}

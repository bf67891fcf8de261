// Package fleet runs the built program as several processes on loopback, each behind network links of its own, in front
// of the laboratory's cluster.
//
// A Fleet (fleet.go) is a number of places for drivers, each with a name, addresses and a process that can be started,
// killed, paused and asked for its view of the membership. A Script (script.go) is a file of steps that are carried out
// on a fleet at their times; running it (playback.go) records what each driver reports of the others, and gives a page
// that shows it over time (page.go).
package fleet

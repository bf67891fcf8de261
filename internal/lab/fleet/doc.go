// Package fleet runs the built program as several processes on loopback, each behind its own simulated network links,
// in front of a cluster of package lab.
//
// A Fleet (fleet.go) has a number of drivers, each with a name, addresses and a process that can be started, killed,
// paused and queried for its view of the membership. A Script (script.go) is a file of steps that are executed on a
// fleet at their times; running it (playback.go) records each driver's view of the others, and returns a page that
// shows the views over time (page.go).
package fleet

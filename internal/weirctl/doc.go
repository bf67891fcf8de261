// Package weirctl is the operators' command: what the system is doing and why, what a configuration would change,
// moves of shards and sessions, and what to do with a core machine's disk.
//
// It owns the command line and the form of what is printed, by which operators' scripts go. It asks machines by their
// published HTTP calls (client.go) and opens the folders of stopped core machines (state.go); it decides nothing.
//
// Every command is a line of the table in commands.go. A family of commands has a file: status.go, config.go,
// members.go, shards.go with shardplan.go and shardpage.go, sessions.go, state.go.
package weirctl

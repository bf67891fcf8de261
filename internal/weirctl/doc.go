// Package weirctl implements the operators' command: the status of the system and its reasons, the effects of a
// configuration, moves of shards and sessions, and the disks of core machines (machines of the control plane).
//
// It defines the command line and the format of the output, which operators' scripts rely on. It calls the HTTP API of
// the machines (client.go), and opens the folders of stopped core machines (state.go).
//
// The table of commands is built in commands.go. Each family of commands has its own files: status.go, config.go,
// members.go, shards.go with shardplan.go and shardpage.go, sessions.go, state.go.
package weirctl

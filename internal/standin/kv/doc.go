// Package kv is a stand-in for key-value registries, for tests: etcd's v3 API in its JSON gateway's form and Consul's
// HTTP API, both served from one Store.
//
// A Server's faults can be switched while it serves: what a real registry may do to its readers is compact its
// history, close connections, fall silent, answer late, lag, split a revision, and lose or restore its data. It is no
// registry for use.
package kv

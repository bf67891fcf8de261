// Package kv simulates key-value registries for tests: etcd's v3 API as its JSON gateway serves it, and Consul's HTTP
// API, both backed by a Store.
//
// A Server's faults can be changed while it serves. As a real registry may, it can compact its history, close
// connections, stop answering, answer late, serve stale data, split the events of a revision, and lose or restore its
// data. It is not a registry for production.
package kv

package registry

import (
	"context"
	"encoding/json"
	"encoding/pem"
	"os"
	"path/filepath"
	"testing"
	"time"

	"weirwind/internal/roster"
	"weirwind/internal/standin/kv"
)

// Credentials are read from a file, an expired token is replaced, and wrong credentials are retried slowly.
func TestCredentials(t *testing.T) {
	s := kv.NewStore("c1")
	s.Put(prefix+"a", entry(1, "up"))
	server := serve(t, s)
	secret, file := "right", filepath.Join(t.TempDir(), "secret")
	server.Password.Store(&secret)
	os.WriteFile(file, []byte("driver:right\n"), 0o600)
	options := Options{Dialect: "etcd", Prefix: prefix, WatchTimeout: time.Second, Endpoints: []string{server.URL},
		CredentialsFile: file}
	r := followWith(t, options, roster.Options{}, 0)
	r.waitFor("a")
	server.ExpireTokens()
	server.CloseConnections()
	s.Put(prefix+"b", entry(2, "up"))
	r.waitFor("a b")
	os.WriteFile(file, []byte("driver:wrong"), 0o600)
	server.ExpireTokens()
	server.CloseConnections()
	time.Sleep(300 * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.disconnects); n > 4 || ResultOf(r.disconnects[n-1]) != roster.CallRejected {
		t.Errorf("%d disconnects, the last %v", n, r.disconnects[n-1])
	}
}

// A service's instances become members, with phases by their health checks.
func TestConsulService(t *testing.T) {
	s := kv.NewStore("")
	instance := func(id, status, cell string) string {
		b, _ := json.Marshal(map[string]any{"Node": map[string]any{"Address": "127.0.0.1"}, "Service": map[string]any{"ID": id, "Port": 7001,
			"Meta": map[string]string{"cell": cell, "locality": "a"}}, "Checks": []any{map[string]string{"Status": status}}})
		return string(b)
	}
	s.Put("db/a", instance("a", "passing", "3"), "db/b", instance("b", "critical", "3"),
		"db/c", instance("c", "passing", "x"))
	server := serve(t, s)
	options := Options{Dialect: "consul", Service: "db", WatchTimeout: time.Second, Endpoints: []string{server.URL}}
	r := followWith(t, options, roster.Options{}, 0)
	r.waitFor("a b-")
	s.Put("db/a", instance("a", "critical", "3"), "db/b", instance("b", "passing", "3"))
	r.waitFor("a- b")
}

// An endpoint whose certificate is signed by the configured file is followed; others are rejected.
func TestTLS(t *testing.T) {
	s := kv.NewStore("c1")
	s.Put(prefix+"a", entry(1, "up"))
	server := kv.ServeTLS(s)
	t.Cleanup(func() { server.CloseConnections(); server.Close() })
	file := filepath.Join(t.TempDir(), "ca.pem")
	os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}), 0o600)
	options := Options{Dialect: "etcd", Prefix: prefix, Endpoints: []string{server.URL}, WatchTimeout: time.Second, CAFile: file}
	followWith(t, options, roster.Options{}, 0).waitFor("a")
	options.CAFile = ""
	c, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	err = c.List(context.Background(), 0, true, func(roster.Update) {})
	if err == nil || ResultOf(err) != roster.CallBroken {
		t.Errorf("a certificate of an unknown authority: %v", err)
	}
	options.CAFile = filepath.Join(t.TempDir(), "none")
	if _, err := New(options); err == nil {
		t.Error("accepts a missing file of certificates")
	}
	os.WriteFile(file, []byte("none"), 0o600)
	if options.CAFile = file; err == nil {
		if _, err := New(options); err == nil {
			t.Error("accepts a file without a certificate")
		}
	}
}

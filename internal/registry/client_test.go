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

// Credentials come from a file, and a token that has expired is replaced; wrong credentials are retried slowly.
func TestCredentials(t *testing.T) {
	s := kv.NewStore("c1")
	s.Put(prefix+"a", entry(1, "up"))
	v := serve(t, s)
	secret, file := "right", filepath.Join(t.TempDir(), "secret")
	v.Password.Store(&secret)
	os.WriteFile(file, []byte("driver:right\n"), 0o600)
	o := Options{Dialect: "etcd", Prefix: prefix, WatchTimeout: time.Second, Endpoints: []string{v.URL},
		CredentialsFile: file}
	r := followWith(t, o, roster.Options{}, 0)
	r.waitFor("a")
	v.ExpireTokens()
	v.CloseConnections()
	s.Put(prefix+"b", entry(2, "up"))
	r.waitFor("a b")
	os.WriteFile(file, []byte("driver:wrong"), 0o600)
	v.ExpireTokens()
	v.CloseConnections()
	time.Sleep(300 * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.disconnects); n > 4 || ResultOf(r.disconnects[n-1]) != roster.CallRejected {
		t.Errorf("%d losses, the last %v", n, r.disconnects[n-1])
	}
}

// A service's instances by their health.
func TestConsulService(t *testing.T) {
	s := kv.NewStore("")
	instance := func(id, status, cell string) string {
		b, _ := json.Marshal(map[string]any{"Node": map[string]any{"Address": "127.0.0.1"}, "Service": map[string]any{"ID": id, "Port": 7001,
			"Meta": map[string]string{"cell": cell, "locality": "a"}}, "Checks": []any{map[string]string{"Status": status}}})
		return string(b)
	}
	s.Put("db/a", instance("a", "passing", "3"), "db/b", instance("b", "critical", "3"),
		"db/c", instance("c", "passing", "x"))
	v := serve(t, s)
	o := Options{Dialect: "consul", Service: "db", WatchTimeout: time.Second, Endpoints: []string{v.URL}}
	r := followWith(t, o, roster.Options{}, 0)
	r.waitFor("a b-")
	s.Put("db/a", instance("a", "critical", "3"), "db/b", instance("b", "passing", "3"))
	r.waitFor("a- b")
}

// TLS: an endpoint whose certificate the named file signs is followed, any other is not.
func TestTLS(t *testing.T) {
	s := kv.NewStore("c1")
	s.Put(prefix+"a", entry(1, "up"))
	v := kv.ServeTLS(s)
	t.Cleanup(func() { v.CloseConnections(); v.Close() })
	file := filepath.Join(t.TempDir(), "ca.pem")
	os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: v.Certificate().Raw}), 0o600)
	o := Options{Dialect: "etcd", Prefix: prefix, Endpoints: []string{v.URL}, WatchTimeout: time.Second, CAFile: file}
	followWith(t, o, roster.Options{}, 0).waitFor("a")
	o.CAFile = ""
	c, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	err = c.List(context.Background(), 0, true, func(roster.Update) {})
	if err == nil || ResultOf(err) != roster.CallBroken {
		t.Errorf("a certificate that nobody signs: %v", err)
	}
	o.CAFile = filepath.Join(t.TempDir(), "none")
	if _, err := New(o); err == nil {
		t.Error("no file of certificates")
	}
	os.WriteFile(file, []byte("none"), 0o600)
	if o.CAFile = file; err == nil {
		if _, err := New(o); err == nil {
			t.Error("a file without a certificate")
		}
	}
}

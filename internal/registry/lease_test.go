package registry

import (
	"context"
	"errors"
	"testing"
	"time"

	"weirwind/internal/roster"
	"weirwind/internal/standin/kv"
)

// In both dialects a lease has one holder per name, is renewed, lost, and revoked.
func TestLeases(t *testing.T) {
	forBothDialects(t, func(t *testing.T, dialect string) {
		s := kv.NewStore("c1")
		server := serve(t, s)
		client, err := New(Options{Dialect: dialect, Prefix: "d/", Endpoints: []string{server.URL}, WatchTimeout: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		ctx := context.Background()
		value := []byte(`{"phase":"up"}`)
		first, ttl, err := client.Grant(ctx, 0, "d/n0", value, 10*time.Second)
		if err != nil || ttl != 10*time.Second {
			t.Fatal(ttl, err)
		}
		_, _, err = client.Grant(ctx, 0, "d/n0", value, 10*time.Second)
		if !errors.Is(err, errNameTaken) || PresenceResultOf(err) != roster.StepNameTaken {
			t.Errorf("a second lease for the name: %v", err)
		}
		if ttl, err := client.Renew(ctx, 0, first); err != nil || ttl != 10*time.Second {
			t.Errorf("renewal: %v %v", ttl, err)
		}
		s.EndAllLeases()
		if _, err := client.Renew(ctx, 0, first); !errors.Is(err, errLeaseLost) || PresenceResultOf(err) != roster.StepLeaseLost {
			t.Errorf("renewal of a lost lease: %v", err)
		}
		second, _, err := client.Grant(ctx, 0, "d/n0", value, 10*time.Second)
		if err != nil || second == first {
			t.Fatal(second, err)
		}
		if err := client.Revoke(ctx, 0, second); err != nil {
			t.Error(err)
		}
		if _, _, err := client.Grant(ctx, 0, "d/n0", value, 10*time.Second); err != nil {
			t.Errorf("grant after a revocation: %v", err)
		}
		server.Down.Store(true)
		if _, err := client.Renew(ctx, 0, second); PresenceResultOf(err) != roster.StepFailed {
			t.Errorf("renewal while the registry is down: %v", err)
		}
	})
}

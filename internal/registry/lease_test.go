package registry

import (
	"context"
	"errors"
	"testing"
	"time"

	"weirwind/internal/roster"
	"weirwind/internal/standin/kv"
)

// A lease in both dialects: one holder a name, renewed, lost on command, ended by itself, given back.
func TestLeases(t *testing.T) {
	both(t, func(t *testing.T, dialect string) {
		s := kv.NewStore("c1")
		v := serve(t, s)
		a, err := New(Options{Dialect: dialect, Prefix: "d/", Endpoints: []string{v.URL}, WatchTimeout: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		ctx := context.Background()
		value := []byte(`{"phase":"up"}`)
		first, stands, err := a.Grant(ctx, 0, "d/n0", value, 10*time.Second)
		if err != nil || stands != 10*time.Second {
			t.Fatal(stands, err)
		}
		_, _, err = a.Grant(ctx, 0, "d/n0", value, 10*time.Second)
		if !errors.Is(err, errNameTaken) || PresenceResultOf(err) != roster.StepNameTaken {
			t.Errorf("a second one of the name: %v", err)
		}
		if stands, err := a.Renew(ctx, 0, first); err != nil || stands != 10*time.Second {
			t.Errorf("renewed: %v %v", stands, err)
		}
		s.EndAllLeases()
		if _, err := a.Renew(ctx, 0, first); !errors.Is(err, errLeaseLost) || PresenceResultOf(err) != roster.StepLeaseLost {
			t.Errorf("a lease that is lost: %v", err)
		}
		second, _, err := a.Grant(ctx, 0, "d/n0", value, 10*time.Second)
		if err != nil || second == first {
			t.Fatal(second, err)
		}
		if err := a.Revoke(ctx, 0, second); err != nil {
			t.Error(err)
		}
		if _, _, err := a.Grant(ctx, 0, "d/n0", value, 10*time.Second); err != nil {
			t.Errorf("behind one that was given back: %v", err)
		}
		v.Down.Store(true)
		if _, err := a.Renew(ctx, 0, second); PresenceResultOf(err) != roster.StepFailed {
			t.Errorf("a registry that is down: %v", err)
		}
	})
}

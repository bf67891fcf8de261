package sessionrun

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"
)

func TestMain(m *testing.M) {
	if code, ok := Role(); ok {
		os.Exit(code)
	}
	os.Exit(m.Run())
}

// In a short run one site is killed and another one drained: all messages are delivered once and in order, on sockets
// that stay open.
func TestFaultsOfSites(t *testing.T) {
	r, err := Run(
		context.Background(),
		Options{
			Duration:        9 * time.Second,
			Sites:           3,
			Clients:         8,
			MessageInterval: 50 * time.Millisecond,
		},
		os.Stderr,
		func(int, Second) {},
	)
	if err != nil {
		t.Fatal(err)
	}
	if r.Lost+r.Duplicated+r.OutOfOrder > 0 || r.StayedOpen != r.Opened || r.Queued < 100 {
		t.Errorf("%+v", r)
	}
	if p := r.HTML("x"); strings.Count(p, "<svg") != 3 || !strings.Contains(p, "is pulled") {
		t.Error(p)
	}
}

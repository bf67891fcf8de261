package proxy

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
)

// A caller that closes its sending half, upon which HTTP's server cancels the request's context, still waits for the
// answer.
func TestStatusIsGivenToCallersThatCloseTheirSendingHalf(t *testing.T) {
	p := newProxy(t.Context(), &settings.Settings{}, events.Discard())
	go p.router.commands.Run(time.Hour, func() {})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 20 {
		answer := httptest.NewRecorder()
		p.handleStatus(answer, httptest.NewRequestWithContext(ctx, "GET", "/status", nil))
		if answer.Body.Len() == 0 {
			t.Fatal("an empty answer")
		}
	}
}

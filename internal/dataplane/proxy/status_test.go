package proxy

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
)

// When a caller closes its sending half, the HTTP server cancels the request's context, but the caller still waits for
// the response.
func TestStatusAnswersCallersWithAClosedSendingHalf(t *testing.T) {
	p := newProxy(t.Context(), &settings.Settings{}, events.Discard())
	go p.router.commands.Run(time.Hour, func() {})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 20 {
		response := httptest.NewRecorder()
		p.handleStatus(response, httptest.NewRequestWithContext(ctx, "GET", "/status", nil))
		if response.Body.Len() == 0 {
			t.Fatal("the response is empty")
		}
	}
}

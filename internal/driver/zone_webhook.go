package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"weirwind/internal/fleet/zones"
)

const (
	webhookTimeout   = 5 * time.Second
	webhookInterval  = 10 * time.Second // between calls for a group
	maxWebhookGroups = 1024             // that are remembered
)

// moveRequest is the body of a webhook call.
type moveRequest struct {
	zones.Move
	Epoch uint64 `json:"epoch"` // of the plan
}

// callWebhook asks the topology manager to move primaries, while this driver leads and may ask. Calls go out in
// goroutines of their own, which end with the context or their timeout.
func (z *zoneAgent) callWebhook(ctx context.Context) {
	if z.webhook == "" {
		return
	}
	z.mu.Lock()
	moves, epoch := z.zones.PendingMoves(z.service.decider.clock.now())
	z.mu.Unlock()
	for _, m := range moves {
		if time.Since(z.webhookCalls[m.Group]) < webhookInterval {
			continue
		}
		if len(z.webhookCalls) > maxWebhookGroups {
			clear(z.webhookCalls)
		}
		z.webhookCalls[m.Group] = time.Now()
		request := moveRequest{Move: m, Epoch: epoch}
		go func() {
			err := z.requestMove(ctx, request)
			z.service.log.Info("zones", "reason", "move_asked", "group", m.Group, "to", m.To, "epoch", epoch, "error", err)
		}()
	}
}

func (z *zoneAgent) requestMove(ctx context.Context, move moveRequest) error {
	call, cancel := context.WithTimeout(ctx, webhookTimeout)
	defer cancel()
	body, err := json.Marshal(move)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(call, http.MethodPost, z.webhook, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return errors.New(response.Status)
	}
	return nil
}

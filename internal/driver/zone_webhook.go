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
	webhookInterval  = 10 * time.Second // minimum time between calls for the same group
	maxWebhookGroups = 1024             // groups whose last call is remembered
)

// moveRequest is the body of a webhook call.
type moveRequest struct {
	zones.Move
	Epoch uint64 `json:"epoch"` // epoch of the plan
}

// callWebhook requests moves of primaries from the topology manager, if the coordinator of this driver has pending
// moves. Calls are made in goroutines of their own, which end with the context or their timeout.
func (z *zoneAgent) callWebhook(ctx context.Context) {
	if z.webhook == "" {
		return
	}
	z.mu.Lock()
	moves, epoch := z.coordinator.PendingMoves(z.service.decider.clock.now())
	z.mu.Unlock()
	for _, move := range moves {
		if time.Since(z.webhookCalls[move.Group]) < webhookInterval {
			continue
		}
		if len(z.webhookCalls) > maxWebhookGroups {
			clear(z.webhookCalls)
		}
		z.webhookCalls[move.Group] = time.Now()
		request := moveRequest{Move: move, Epoch: epoch}
		go func() {
			err := z.postMoveRequest(ctx, request)
			z.service.log.Info("zones", "reason", "move_asked", "group", move.Group, "to", move.To, "epoch", epoch, "error", err)
		}()
	}
}

func (z *zoneAgent) postMoveRequest(ctx context.Context, move moveRequest) error {
	callCtx, cancel := context.WithTimeout(ctx, webhookTimeout)
	defer cancel()
	body, err := json.Marshal(move)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(callCtx, http.MethodPost, z.webhook, bytes.NewReader(body))
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

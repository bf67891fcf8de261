package driver

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/fleet/zones"
)

const (
	zoneSenders          = 8 // calls to peers at a time
	outgoingZoneMessages = 256
	zoneCallTimeout      = 2 * time.Second
	maxZoneMessages      = 16 // in one call
)

// send queues a message to a peer. One for which there is no room is dropped: it is sent again where it matters.
func (z *zoneAgent) send(envelope zones.Envelope) {
	select {
	case z.outgoing <- envelope:
	default:
	}
}

func (z *zoneAgent) sendLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-z.outgoing:
			z.deliver(ctx, e)
		}
	}
}

// deliver calls a peer with a message, and gives its answers to the decisions.
func (z *zoneAgent) deliver(ctx context.Context, envelope zones.Envelope) {
	b, err := cbor.Marshal([]zones.Message{envelope.Message})
	if err != nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, zoneCallTimeout)
	defer cancel()
	requestedAt := z.service.decider.clock.now()
	answer, err := z.service.fleet.mesh.Request(call, envelope.To, b)
	if err == nil {
		for _, m := range z.receiveMessages(envelope.To, answer, requestedAt) {
			z.send(zones.Envelope{To: envelope.To, Message: m})
		}
	} else if !errors.Is(err, membership.ErrUnknownDriver) {
		z.service.log.Debug("zones", "reason", "word_not_sent", "to", envelope.To, "step", envelope.Message.Kind, "took",
			z.service.decider.clock.now()-requestedAt, "error", err)
	}
}

// receive takes messages of a peer's call and returns those that answer it; the others are sent.
func (z *zoneAgent) receive(from string, payload []byte) []byte {
	if answers := z.receiveMessages(from, payload, math.Inf(-1)); len(answers) > 0 {
		b, _ := cbor.Marshal(answers) // every type in messages can be encoded
		return b
	}
	return nil
}

// receiveMessages gives messages to the decisions and returns those for the peer that they came from. requestedAt is
// when it was called for them, -Inf where it called.
func (z *zoneAgent) receiveMessages(from string, payload []byte, requestedAt float64) (answers []zones.Message) {
	var messages []zones.Message
	if len(payload) == 0 || cbor.Unmarshal(payload, &messages) != nil || len(messages) > maxZoneMessages {
		return nil
	}
	for _, m := range messages {
		z.apply(func(now float64) zones.Output {
			out := z.zones.Receive(now, requestedAt, from, m)
			if out.Save == nil { // else messages may be sent only once that is on disk
				out.Messages = slices.DeleteFunc(out.Messages, func(e zones.Envelope) bool {
					if e.To == from {
						answers = append(answers, e.Message)
					}
					return e.To == from
				})
			}
			return out
		})
	}
	return answers
}

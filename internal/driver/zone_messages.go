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
	zoneSenders          = 8 // concurrent calls to peers
	zoneMessageQueueSize = 256
	zoneCallTimeout      = 2 * time.Second
	maxZoneMessages      = 16 // messages per call
)

// send queues a message to a peer. If the queue is full the message is dropped: important messages are repeated.
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
		case envelope := <-z.outgoing:
			z.deliver(ctx, envelope)
		}
	}
}

// deliver sends a message to a peer, and passes its answers to the coordinator.
func (z *zoneAgent) deliver(ctx context.Context, envelope zones.Envelope) {
	payload, err := cbor.Marshal([]zones.Message{envelope.Message})
	if err != nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, zoneCallTimeout)
	defer cancel()
	requestedAt := z.service.decider.clock.now()
	answer, err := z.service.fleet.mesh.Request(callCtx, envelope.To, payload)
	if err == nil {
		for _, message := range z.receiveMessages(envelope.To, answer, requestedAt) {
			z.send(zones.Envelope{To: envelope.To, Message: message})
		}
	} else if !errors.Is(err, membership.ErrUnknownDriver) {
		z.service.log.Debug("zones", "reason", "word_not_sent", "to", envelope.To, "step", envelope.Message.Kind, "took",
			z.service.decider.clock.now()-requestedAt, "error", err)
	}
}

// receive handles the messages of a peer's call and returns the messages that answer it; others are sent separately.
func (z *zoneAgent) receive(from string, payload []byte) []byte {
	if answers := z.receiveMessages(from, payload, math.Inf(-1)); len(answers) > 0 {
		encoded, _ := cbor.Marshal(answers) // all types in messages can be encoded
		return encoded
	}
	return nil
}

// receiveMessages passes messages to the coordinator and returns its answers to their sender. requestedAt is when this
// driver called the sender, or -Inf if the sender called.
func (z *zoneAgent) receiveMessages(from string, payload []byte, requestedAt float64) (answers []zones.Message) {
	var messages []zones.Message
	if len(payload) == 0 || cbor.Unmarshal(payload, &messages) != nil || len(messages) > maxZoneMessages {
		return nil
	}
	for _, message := range messages {
		z.apply(func(now float64) zones.Output {
			output := z.coordinator.Receive(now, requestedAt, from, message)
			if output.Save == nil { // otherwise messages may be sent only after the state is on disk
				output.Messages = slices.DeleteFunc(output.Messages, func(envelope zones.Envelope) bool {
					if envelope.To == from {
						answers = append(answers, envelope.Message)
					}
					return envelope.To == from
				})
			}
			return output
		})
	}
	return answers
}

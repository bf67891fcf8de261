package benchwire

// This file writes actions, and encodes times and payloads.

import (
	"encoding/base64"
	"math"
	"strconv"
	"strings"

	"weirwind/logic"
)

const microsPerMilli = 1000

// writeAction writes one action of the module.
func (s *server) writeAction(action *logic.Action) {
	out := s.out
	switch action.Kind {
	case logic.ActSend:
		out.WriteString("ATTEMPT txn=" + action.Op + " member=" + action.Member + " limit=" + formatMicroseconds(action.Wait))
	case logic.ActCancel:
		out.WriteString("CANCEL txn=" + action.Op + " attempt=" + strconv.Itoa(action.Send))
	case logic.ActRefuse:
		out.WriteString("DECLINE txn=" + action.Op)
		if action.Wait > 0 {
			out.WriteString(" retry_after=" + formatMicroseconds(action.Wait))
		}
	case logic.ActFail:
		out.WriteString("RESPOND_ERROR txn=" + action.Op)
	case logic.ActProbe:
		out.WriteString("CHECK member=" + action.Member)
	case logic.ActTimer:
		out.WriteString("TIMER sleep_for=" + formatMicroseconds(action.Wait) + " handle=0")
	case logic.ActMessage:
		out.WriteString("BROADCAST_TO dst=all payload=" + encodePayload(action.Data))
	case logic.ActWatch:
		out.WriteString("LISTEN want=1")
	case logic.ActLog:
		out.WriteString("NOTE_DOWN line=" + oneLine(action.Text))
	}
	out.WriteByte('\n')
}

// toMilliseconds converts a time of the protocol.
func toMilliseconds(micros float64) float64 { return micros / microsPerMilli }

// formatMicroseconds formats a time of the module for the protocol.
func formatMicroseconds(millis float64) string {
	return strconv.FormatInt(int64(math.Round(millis*microsPerMilli)), 10)
}

func oneLine(text string) string { return strings.ReplaceAll(text, "\n", " ") }

// encodePayload encodes a payload in base64; a hyphen stands for an empty one.
func encodePayload(data []byte) string {
	if len(data) == 0 {
		return "-"
	}
	return base64.StdEncoding.EncodeToString(data)
}

// decodePayload decodes a payload that encodePayload encoded.
func decodePayload(text string) ([]byte, error) {
	if text == "-" {
		return nil, nil
	}
	return base64.StdEncoding.DecodeString(text)
}

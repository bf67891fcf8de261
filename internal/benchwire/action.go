package benchwire

// This file owns the writing of actions, and the forms of times and payloads.

import (
	"encoding/base64"
	"math"
	"strconv"
	"strings"

	"weirwind/logic"
)

const microsPerMilli = 1000

// action writes one action of the module.
func (s *server) action(action *logic.Action) {
	w := s.out
	switch action.Kind {
	case logic.ActSend:
		w.WriteString("ATTEMPT txn=" + action.Op + " member=" + action.Member + " limit=" + microseconds(action.Wait))
	case logic.ActCancel:
		w.WriteString("CANCEL txn=" + action.Op + " attempt=" + strconv.Itoa(action.Send))
	case logic.ActRefuse:
		w.WriteString("DECLINE txn=" + action.Op)
		if action.Wait > 0 {
			w.WriteString(" retry_after=" + microseconds(action.Wait))
		}
	case logic.ActFail:
		w.WriteString("RESPOND_ERROR txn=" + action.Op)
	case logic.ActProbe:
		w.WriteString("CHECK member=" + action.Member)
	case logic.ActTimer:
		w.WriteString("TIMER sleep_for=" + microseconds(action.Wait) + " handle=0")
	case logic.ActMessage:
		w.WriteString("BROADCAST_TO dst=all payload=" + encode(action.Data))
	case logic.ActWatch:
		w.WriteString("LISTEN want=1")
	case logic.ActLog:
		w.WriteString("NOTE_DOWN line=" + oneLine(action.Text))
	}
	w.WriteByte('\n')
}

// milliseconds converts a time of the protocol.
func milliseconds(micros float64) float64 { return micros / microsPerMilli }

// microseconds is the protocol's form of a time of the module.
func microseconds(millis float64) string {
	return strconv.FormatInt(int64(math.Round(millis*microsPerMilli)), 10)
}

func oneLine(text string) string { return strings.ReplaceAll(text, "\n", " ") }

// encode is the form of a payload; a hyphen stands for an empty one.
func encode(data []byte) string {
	if len(data) == 0 {
		return "-"
	}
	return base64.StdEncoding.EncodeToString(data)
}

// decode reads a payload.
func decode(text string) ([]byte, error) {
	if text == "-" {
		return nil, nil
	}
	return base64.StdEncoding.DecodeString(text)
}

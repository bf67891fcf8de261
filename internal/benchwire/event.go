package benchwire

// This file converts input lines to events of the module.

import (
	"fmt"
	"strconv"

	"weirwind/internal/opening"
	"weirwind/logic"
)

// outcomes maps the protocol's results of attempts and health checks.
var outcomes = map[string]logic.Outcome{
	"pass":       logic.OK,
	"none_here":  logic.Miss,
	"no_room":    logic.Full,
	"no_route":   logic.ConnectFailed,
	"stale_send": logic.Moot,
	"fault":      logic.Fault,
	"too_slow":   logic.TimedOut,
	"cut":        logic.Reset,
	"undone":     logic.Cancelled,
}

// handleLine handles one line of a batch.
func (s *server) handleLine(line *fields) error {
	switch line.name {
	case "TARGET_INSTANCE":
		return s.selectTarget(line)
	case "STOP":
		if s.target != nil {
			s.target.driver, s.target.events = nil, s.target.events[:0]
		}
		return line.err
	case "LIST":
		return s.readList(line)
	case "ENTRY", "TURN":
		return fmt.Errorf("%s inside a batch, outside its place", line.name)
	}
	event, known, err := s.parseEvent(line)
	switch {
	case !known:
		return nil // a later addition to the protocol, or HEADERS, which no operation type uses
	case err != nil:
		return err
	case line.err != nil:
		return line.err
	case s.target == nil:
		return fmt.Errorf("%s before any TARGET_INSTANCE", line.name)
	}
	s.queue(event)
	return nil
}

func (s *server) selectTarget(line *fields) error {
	name := line.required("who")
	if line.err != nil {
		return line.err
	}
	if s.target = s.instances[name]; s.target == nil {
		s.target = &instance{name: name}
		s.instances[name] = s.target
	}
	return nil
}

// parseEvent converts a line to an event of the module; known is false for an unknown name.
func (s *server) parseEvent(line *fields) (event logic.Event, known bool, err error) {
	switch line.name {
	case "OPEN_INSTANCE":
		event, err = s.openEvent(line)
	case "TARGETS":
		event, err = s.membersEvent(line)
	case "WORK_ITEM":
		event, err = s.operationEvent(line)
	case "MAIL":
		event, err = messageEvent(line)
	case "BELL":
		event = logic.Event{Kind: logic.EvTimer}
	case "CLIENT_GONE":
		event = logic.Event{Kind: logic.EvGone, Op: line.required("txn")}
	case "STATUS_BACK":
		event = healthCheckEvent(line)
	case "VERDICT":
		event = answerEvent(line)
	default:
		return event, false, nil
	}
	return event, true, err
}

// openEvent converts OPEN_INSTANCE, and replaces the target's driver by a new one.
func (s *server) openEvent(line *fields) (logic.Event, error) {
	seed, err := readSeed(line)
	if err != nil {
		return logic.Event{}, err
	}
	settings, err := opening.Parse([]byte(line.required("setup")), seed)
	if line.err == nil && err != nil {
		return logic.Event{}, err
	}
	if line.err == nil && s.target != nil {
		s.target.driver, s.target.opTypes, s.target.events = &logic.Driver{}, settings.OpTypes, s.target.events[:0]
	}
	return logic.Event{Kind: logic.EvOpen, Opening: settings.Opening}, nil
}

// readSeed parses a seed, which may be negative.
func readSeed(line *fields) (uint64, error) {
	text := line.required("init_seed")
	seed, err := strconv.ParseUint(text, 10, 64)
	if line.err != nil || err == nil {
		return seed, nil
	}
	signed, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("init_seed is not a whole number: %q", text)
	}
	return uint64(signed), nil
}

// membersEvent converts TARGETS: a list that was defined before, or a failure to get one.
func (s *server) membersEvent(line *fields) (logic.Event, error) {
	kind, known := listKinds[line.required("how")]
	if line.err == nil && !known {
		return logic.Event{}, fmt.Errorf("TARGETS has the unknown kind %q", line.required("how"))
	}
	event := logic.Event{Kind: logic.EvMembers, List: kind}
	if kind == logic.ListFailed {
		return event, nil
	}
	entries, known := s.lists[line.required("table")]
	if line.err == nil && !known {
		return logic.Event{}, fmt.Errorf("TARGETS names list %s, which was never given", line.required("table"))
	}
	event.Members = entries
	return event, nil
}

// operationEvent converts WORK_ITEM.
func (s *server) operationEvent(line *fields) (logic.Event, error) {
	event := logic.Event{
		Kind:     logic.EvOp,
		Op:       line.required("txn"),
		Left:     toMilliseconds(line.number("grace")),
		Group:    int64(line.number("cluster_no")),
		WroteAgo: line.optional("wrote_ms_ago"),
	}
	opType := line.required("category")
	if s.target != nil && s.target.driver != nil {
		index, known := s.target.opTypes[opType]
		if !known {
			return event, fmt.Errorf("category %q is not among the profiles", opType)
		}
		event.OpType = index
	}
	return event, nil
}

// answerEvent converts VERDICT, a member's answer to an attempt.
func answerEvent(line *fields) logic.Event {
	event := logic.Event{
		Kind:    logic.EvAnswer,
		Op:      line.required("txn"),
		Member:  line.required("member"),
		Send:    int(line.number("attempt")),
		Outcome: line.outcome(),
		Report:  line.report(),
		Closed:  line.flag("settled"),
	}
	progress := int64(line.optional("progress")) // the role in the lowest two bits, the position above them
	event.Note = logic.Sight{Role: logic.Role(progress % 4), Position: float64(progress / 4)}
	return event
}

// healthCheckEvent converts STATUS_BACK, the result of a health check.
func healthCheckEvent(line *fields) logic.Event {
	return logic.Event{
		Kind:    logic.EvProbed,
		Member:  line.required("member"),
		Took:    toMilliseconds(line.optional("delay_seen")),
		Outcome: line.outcome(),
		Report:  line.report(),
	}
}

// messageEvent converts MAIL, a message of another instance.
func messageEvent(line *fields) (logic.Event, error) {
	data, err := decodePayload(line.required("payload"))
	if line.err == nil && err != nil {
		return logic.Event{}, fmt.Errorf("payload: %w", err)
	}
	return logic.Event{Kind: logic.EvMessage, Data: data}, nil
}

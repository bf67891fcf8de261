package benchwire

// This file owns the reading of events.

import (
	"fmt"
	"strconv"

	"weirwind/internal/opening"
	"weirwind/logic"
)

// outcomes are the results of attempts and health checks.
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

// handle takes one line of a batch.
func (s *server) handle(f *fields) error {
	switch f.name {
	case "TARGET_INSTANCE":
		return s.selectTarget(f)
	case "STOP":
		if s.target != nil {
			s.target.driver, s.target.events = nil, s.target.events[:0]
		}
		return f.err
	case "LIST":
		return s.readList(f)
	case "ENTRY", "TURN":
		return fmt.Errorf("%s inside a batch, outside its place", f.name)
	}
	event, known, err := s.event(f)
	switch {
	case !known:
		return nil // a later addition to the protocol, or HEADERS, which no operation type here has
	case err != nil:
		return err
	case f.err != nil:
		return f.err
	case s.target == nil:
		return fmt.Errorf("%s before any TARGET_INSTANCE", f.name)
	}
	s.queue(event)
	return nil
}

func (s *server) selectTarget(f *fields) error {
	name := f.required("who")
	if f.err != nil {
		return f.err
	}
	if s.target = s.instances[name]; s.target == nil {
		s.target = &instance{name: name}
		s.instances[name] = s.target
	}
	return nil
}

// event converts a line to an event of the module; known is false for a name that it isn't.
func (s *server) event(f *fields) (event logic.Event, known bool, err error) {
	switch f.name {
	case "OPEN_INSTANCE":
		event, err = s.open(f)
	case "TARGETS":
		event, err = s.members(f)
	case "WORK_ITEM":
		event, err = s.operation(f)
	case "MAIL":
		event, err = message(f)
	case "BELL":
		event = logic.Event{Kind: logic.EvTimer}
	case "CLIENT_GONE":
		event = logic.Event{Kind: logic.EvGone, Op: f.required("txn")}
	case "STATUS_BACK":
		event = healthCheck(f)
	case "VERDICT":
		event = answer(f)
	default:
		return event, false, nil
	}
	return event, true, err
}

// open converts OPEN_INSTANCE: the instance begins anew.
func (s *server) open(f *fields) (logic.Event, error) {
	seed, err := readSeed(f)
	if err != nil {
		return logic.Event{}, err
	}
	told, err := opening.Parse([]byte(f.required("setup")), seed)
	if f.err == nil && err != nil {
		return logic.Event{}, err
	}
	if f.err == nil && s.target != nil {
		s.target.driver, s.target.opTypes, s.target.events = &logic.Driver{}, told.OpTypes, s.target.events[:0]
	}
	return logic.Event{Kind: logic.EvOpen, Opening: told.Opening}, nil
}

// readSeed reads a seed, which may be negative.
func readSeed(f *fields) (uint64, error) {
	text := f.required("init_seed")
	seed, err := strconv.ParseUint(text, 10, 64)
	if f.err != nil || err == nil {
		return seed, nil
	}
	signed, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("init_seed is not a whole number: %q", text)
	}
	return uint64(signed), nil
}

// members converts TARGETS: a list that was given before, or that none could be had.
func (s *server) members(f *fields) (logic.Event, error) {
	kind, known := listKinds[f.required("how")]
	if f.err == nil && !known {
		return logic.Event{}, fmt.Errorf("TARGETS has the unknown kind %q", f.required("how"))
	}
	event := logic.Event{Kind: logic.EvMembers, List: kind}
	if kind == logic.ListFailed {
		return event, nil
	}
	entries, known := s.lists[f.required("table")]
	if f.err == nil && !known {
		return logic.Event{}, fmt.Errorf("TARGETS names list %s, which was never given", f.required("table"))
	}
	event.Members = entries
	return event, nil
}

// operation converts WORK_ITEM.
func (s *server) operation(f *fields) (logic.Event, error) {
	event := logic.Event{
		Kind:     logic.EvOp,
		Op:       f.required("txn"),
		Left:     milliseconds(f.number("grace")),
		Group:    int64(f.number("cluster_no")),
		WroteAgo: f.optional("wrote_ms_ago"),
	}
	opType := f.required("category")
	if s.target != nil && s.target.driver != nil {
		i, known := s.target.opTypes[opType]
		if !known {
			return event, fmt.Errorf("category %q is not among the profiles", opType)
		}
		event.OpType = i
	}
	return event, nil
}

// answer converts VERDICT, a member's answer to an attempt.
func answer(f *fields) logic.Event {
	event := logic.Event{
		Kind:    logic.EvAnswer,
		Op:      f.required("txn"),
		Member:  f.required("member"),
		Send:    int(f.number("attempt")),
		Outcome: f.outcome(),
		Report:  f.report(),
		Closed:  f.flag("settled"),
	}
	progress := int64(f.optional("progress")) // the member's role and its position in one number
	event.Note = logic.Sight{Role: logic.Role(progress % 4), Position: float64(progress / 4)}
	return event
}

// healthCheck converts STATUS_BACK.
func healthCheck(f *fields) logic.Event {
	return logic.Event{
		Kind:    logic.EvProbed,
		Member:  f.required("member"),
		Took:    milliseconds(f.optional("delay_seen")),
		Outcome: f.outcome(),
		Report:  f.report(),
	}
}

// message converts MAIL, a message of another instance.
func message(f *fields) (logic.Event, error) {
	data, err := decode(f.required("payload"))
	if f.err == nil && err != nil {
		return logic.Event{}, fmt.Errorf("payload: %w", err)
	}
	return logic.Event{Kind: logic.EvMessage, Data: data}, nil
}

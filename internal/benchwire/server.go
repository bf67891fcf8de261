package benchwire

// This file has the loop over batches, and the instances.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"weirwind/logic"
)

const bufferBytes = 1 << 16 // for input and for output each

// instance is one driver, with its events of the current batch.
type instance struct {
	name    string
	driver  *logic.Driver  // nil while the instance is stopped
	opTypes map[string]int // operation types by name, as indexes of the driver's configuration
	events  []logic.Event
	queued  bool // the instance is in the server's batch
}

// server translates one connection.
type server struct {
	in        *bufio.Reader
	out       *bufio.Writer
	line      int // number of the last line read, from 1
	instances map[string]*instance
	lists     map[string][]logic.ListEntry // by number, in the latest definition
	batch     []*instance                  // instances with an event in this batch, in order of their first one
	target    *instance                    // the instance that the following events are for; nil before the first
	now       float64                      // milliseconds
}

// Serve answers batches until the input ends. The error of a malformed line has its number.
func Serve(in io.Reader, out io.Writer) error {
	s := &server{
		in:        bufio.NewReaderSize(in, bufferBytes),
		out:       bufio.NewWriterSize(out, bufferBytes),
		instances: map[string]*instance{},
		lists:     map[string][]logic.ListEntry{},
	}
	for {
		more, err := s.serveBatch()
		if err != nil {
			return fmt.Errorf("line %d: %w", s.line, err)
		}
		if !more {
			return nil
		}
	}
}

// readLine returns the next line that is not blank, and io.EOF at the end of the input.
func (s *server) readLine() (fields, error) {
	for {
		text, err := s.in.ReadString('\n')
		if text != "" {
			s.line++
		}
		text = strings.TrimRight(text, "\r\n")
		if text != "" {
			return parseLine(text)
		}
		if err != nil {
			return fields{}, err
		}
	}
}

// serveBatch reads one batch and writes its response. more is false at the end of the input.
func (s *server) serveBatch() (more bool, err error) {
	line, err := s.readLine()
	if errors.Is(err, io.EOF) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if line.name != "TURN" {
		return false, fmt.Errorf("want TURN, have %s", line.name)
	}
	s.now = toMilliseconds(line.number("wall"))
	serial := line.required("serial")
	if line.err != nil {
		return false, line.err
	}
	if err := s.readBatch(); err != nil {
		return false, err
	}
	for _, inst := range s.batch {
		s.step(inst)
	}
	s.out.WriteString("END serial=" + serial + "\n")
	return true, s.out.Flush()
}

// readBatch reads the events of a batch, up to its END.
func (s *server) readBatch() error {
	s.batch, s.target = s.batch[:0], nil
	for {
		line, err := s.readLine()
		switch {
		case errors.Is(err, io.EOF):
			return errors.New("input ends inside a batch")
		case err != nil:
			return err
		case line.name == "END":
			return nil
		}
		if err := s.handleLine(&line); err != nil {
			return err
		}
	}
}

// queue adds an event to the target's batch.
func (s *server) queue(event logic.Event) {
	if s.target.driver == nil {
		return // the instance was stopped while the event was in flight
	}
	s.target.events = append(s.target.events, event)
	if !s.target.queued {
		s.target.queued = true
		s.batch = append(s.batch, s.target)
	}
}

// step runs one instance on its events, and writes its actions.
func (s *server) step(inst *instance) {
	inst.queued = false
	if inst.driver == nil || len(inst.events) == 0 {
		return
	}
	actions, failure := inst.decide(s.now)
	inst.events = inst.events[:0]
	if failure == "" && len(actions) == 0 {
		return
	}
	s.out.WriteString("FOR who=" + inst.name + "\n")
	if failure != "" {
		s.out.WriteString("PANIC line=" + failure + "\n")
		return
	}
	for j := range actions {
		s.writeAction(&actions[j])
	}
}

// decide runs the module on the instance's events. If it panics, failure is the text of the panic on one line.
func (inst *instance) decide(now float64) (actions []logic.Action, failure string) {
	defer func() {
		if r := recover(); r != nil {
			actions, failure = nil, oneLine(fmt.Sprint(r))
		}
	}()
	return inst.driver.Step(now, inst.events), ""
}

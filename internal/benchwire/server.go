package benchwire

// This file owns the loop over batches, and the instances.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"weirwind/logic"
)

const bufferBytes = 1 << 16 // of input, and of output

// instance is one driver, with the events of the batch that is being read.
type instance struct {
	name    string
	driver  *logic.Driver  // nil while it is stopped
	opTypes map[string]int // by name, the index of its configuration
	events  []logic.Event
	queued  bool // it is in the server's batch
}

// server translates one connection.
type server struct {
	in        *bufio.Reader
	out       *bufio.Writer
	line      int // number of the last line read
	instances map[string]*instance
	lists     map[string][]logic.ListEntry // by the number that they were given last
	batch     []*instance                  // those with an event in this batch, in order
	target    *instance                    // that the following events are for; nil for none yet
	now       float64                      // milliseconds
}

// Serve answers batches until the input ends. A malformed line is an error that names the line.
func Serve(in io.Reader, out io.Writer) error {
	s := &server{
		in:        bufio.NewReaderSize(in, bufferBytes),
		out:       bufio.NewWriterSize(out, bufferBytes),
		instances: map[string]*instance{},
		lists:     map[string][]logic.ListEntry{},
	}
	for {
		more, err := s.turn()
		if err != nil {
			return fmt.Errorf("line %d: %w", s.line, err)
		}
		if !more {
			return nil
		}
	}
}

// read returns the next line that is not blank; io.EOF only at a clean end.
func (s *server) read() (fields, error) {
	for {
		text, err := s.in.ReadString('\n')
		if text != "" {
			s.line++
		}
		text = strings.TrimRight(text, "\r\n")
		if text != "" {
			return split(text)
		}
		if err != nil {
			return fields{}, err
		}
	}
}

// turn reads one batch and writes its response; false at the input's end.
func (s *server) turn() (more bool, err error) {
	line, err := s.read()
	if errors.Is(err, io.EOF) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if line.name != "TURN" {
		return false, fmt.Errorf("want TURN, have %s", line.name)
	}
	s.now = milliseconds(line.number("wall"))
	serial := line.required("serial")
	if line.err != nil {
		return false, line.err
	}
	if err := s.readBatch(); err != nil {
		return false, err
	}
	for _, i := range s.batch {
		s.step(i)
	}
	s.out.WriteString("END serial=" + serial + "\n")
	return true, s.out.Flush()
}

// readBatch reads the events of a batch, up to its END.
func (s *server) readBatch() error {
	s.batch, s.target = s.batch[:0], nil
	for {
		line, err := s.read()
		switch {
		case errors.Is(err, io.EOF):
			return errors.New("input ends inside a batch")
		case err != nil:
			return err
		case line.name == "END":
			return nil
		}
		if err := s.handle(&line); err != nil {
			return err
		}
	}
}

// queue adds an event to the target's batch.
func (s *server) queue(event logic.Event) {
	if s.target.driver == nil {
		return // in flight toward an instance that was stopped
	}
	s.target.events = append(s.target.events, event)
	if !s.target.queued {
		s.target.queued = true
		s.batch = append(s.batch, s.target)
	}
}

// step lets one instance decide, and writes its actions.
func (s *server) step(i *instance) {
	i.queued = false
	if i.driver == nil || len(i.events) == 0 {
		return
	}
	actions, failure := i.decide(s.now)
	i.events = i.events[:0]
	if failure == "" && len(actions) == 0 {
		return
	}
	s.out.WriteString("FOR who=" + i.name + "\n")
	if failure != "" {
		s.out.WriteString("PANIC line=" + failure + "\n")
		return
	}
	for j := range actions {
		s.action(&actions[j])
	}
}

// decide runs the module on the instance's events. failure is the text of its panic, on one line; empty for none.
func (i *instance) decide(now float64) (actions []logic.Action, failure string) {
	defer func() {
		if r := recover(); r != nil {
			actions, failure = nil, oneLine(fmt.Sprint(r))
		}
	}()
	return i.driver.Step(now, i.events), ""
}

// Package benchwire speaks the simulator's wire for any number of instances of the decision module. It only
// translates: each instance is a logic.Driver of its own, and nothing is shared between them but list text.
package benchwire

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"weirwind/internal/opening"
	"weirwind/logic"
)

const usPerMs = 1000 // the wire counts microseconds, the module milliseconds

func ms(us float64) float64 { return us / usPerMs }

var (
	outcomes = map[string]logic.Outcome{"pass": logic.OK, "none_here": logic.Miss, "no_room": logic.Full,
		"no_route": logic.ConnectFailed, "stale_send": logic.Moot, "fault": logic.Fault,
		"too_slow": logic.TimedOut, "cut": logic.Reset, "undone": logic.Cancelled}
	phases = map[string]logic.Phase{"healthy": logic.Ready, "cordoned": logic.Draining,
		"deregistered": logic.Gone}
	listKinds = map[string]logic.ListKind{"Partial": logic.ListChanges, "Complete": logic.ListFull,
		"Persisted": logic.ListCached, "Error": logic.ListFailed}
)

// instance is one hosted driver with the events of the batch being read.
type instance struct {
	name    string
	driver  *logic.Driver
	opTypes map[string]int
	events  []logic.Event
	queued  bool
}

type server struct {
	in        *bufio.Reader
	out       *bufio.Writer
	line      int
	instances map[string]*instance
	lists     map[string][]logic.ListEntry
	batch     []*instance // those with an event in this batch, in order
	at        *instance
	now       float64
}

// Serve answers batches until input ends. A malformed line ends it with an error naming the line.
func Serve(in io.Reader, out io.Writer) error {
	s := &server{in: bufio.NewReaderSize(in, 1<<16), out: bufio.NewWriterSize(out, 1<<16),
		instances: map[string]*instance{}, lists: map[string][]logic.ListEntry{}}
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

// turn reads one batch and writes its reply.
func (s *server) turn() (bool, error) {
	f, err := s.read()
	if errors.Is(err, io.EOF) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if f.name != "TURN" {
		return false, fmt.Errorf("want TURN, have %s", f.name)
	}
	s.now = ms(f.num("wall"))
	serial := f.need("serial")
	if f.err != nil {
		return false, f.err
	}
	s.batch, s.at = s.batch[:0], nil
	for {
		if f, err = s.read(); errors.Is(err, io.EOF) {
			return false, fmt.Errorf("input ends inside a batch")
		} else if err != nil {
			return false, err
		}
		if f.name == "END" {
			break
		}
		if err = s.event(&f); err != nil {
			return false, err
		}
	}
	for _, inst := range s.batch {
		s.step(inst)
	}
	s.out.WriteString("END serial=" + serial + "\n")
	return true, s.out.Flush()
}

// event takes one line of a batch.
func (s *server) event(f *fields) error {
	switch f.name {
	case "TARGET_INSTANCE":
		name := f.need("who")
		if f.err != nil {
			return f.err
		}
		if s.at = s.instances[name]; s.at == nil {
			s.at = &instance{name: name}
			s.instances[name] = s.at
		}
		return nil
	case "LIST":
		return s.list(f)
	case "ENTRY", "TURN":
		return fmt.Errorf("%s inside a batch, outside its place", f.name)
	}
	ev := logic.Event{}
	var err error
	switch f.name {
	case "OPEN_INSTANCE":
		err = s.open(f, &ev)
	case "STOP":
		if s.at != nil {
			s.at.driver, s.at.events = nil, s.at.events[:0]
		}
		return f.err
	case "TARGETS":
		err = s.members(f, &ev)
	case "WORK_ITEM":
		err = s.op(f, &ev)
	case "BELL":
		ev.Kind = logic.EvTimer
	case "STATUS_BACK":
		ev.Kind, ev.Member, ev.Took = logic.EvProbed, f.need("member"), ms(f.opt("delay_seen"))
		ev.Outcome, ev.Report = f.outcome(), f.report()
	case "VERDICT":
		ev.Kind, ev.Op, ev.Member = logic.EvAnswer, f.need("txn"), f.need("member")
		ev.Send = int(f.num("attempt"))
		ev.Outcome, ev.Report, ev.Closed = f.outcome(), f.report(), f.flag("settled")
		note := int64(f.opt("progress"))
		ev.Note = logic.Sight{Role: logic.Role(note % 4), Position: float64(note / 4)}
	case "CLIENT_GONE":
		ev.Kind, ev.Op = logic.EvGone, f.need("txn")
	case "MAIL":
		err = message(f, &ev)
	default:
		return nil // later additions to the wire, and HEADERS, which no op type here has
	}
	if err != nil {
		return err
	}
	if f.err != nil {
		return f.err
	}
	if s.at == nil {
		return fmt.Errorf("%s before any TARGET_INSTANCE", f.name)
	}
	s.queue(ev)
	return nil
}

// queue puts an event before the instance that the batch is at.
func (s *server) queue(ev logic.Event) {
	if s.at.driver == nil {
		return // what is in flight toward an instance that was killed
	}
	s.at.events = append(s.at.events, ev)
	if !s.at.queued {
		s.at.queued = true
		s.batch = append(s.batch, s.at)
	}
}

// open reads OPEN_INSTANCE: the instance begins anew.
func (s *server) open(f *fields, ev *logic.Event) error {
	seed, err := strconv.ParseUint(f.need("init_seed"), 10, 64)
	if f.err == nil && err != nil {
		n, err := strconv.ParseInt(f.need("init_seed"), 10, 64)
		if err != nil {
			return fmt.Errorf("init_seed is not a whole number: %q", f.need("init_seed"))
		}
		seed = uint64(n)
	}
	told, err := opening.Parse([]byte(f.need("setup")), seed)
	if f.err == nil && err != nil {
		return err
	}
	if f.err == nil && s.at != nil {
		s.at.driver, s.at.opTypes, s.at.events = &logic.Driver{}, told.OpTypes, s.at.events[:0]
	}
	ev.Kind, ev.Opening = logic.EvOpen, told.Opening
	return nil
}

// members reads TARGETS: a list that was given before, or that none could be had.
func (s *server) members(f *fields, ev *logic.Event) error {
	ev.Kind = logic.EvMembers
	kind, ok := listKinds[f.need("how")]
	if f.err == nil && !ok {
		return fmt.Errorf("TARGETS has the unknown kind %q", f.need("how"))
	}
	ev.List = kind
	if kind != logic.ListFailed {
		if ev.Members, ok = s.lists[f.need("table")]; f.err == nil && !ok {
			return fmt.Errorf("TARGETS names list %s, which was never given", f.need("table"))
		}
	}
	return nil
}

// op reads WORK_ITEM.
func (s *server) op(f *fields, ev *logic.Event) error {
	ev.Kind, ev.Op, ev.Left = logic.EvOp, f.need("txn"), ms(f.num("grace"))
	ev.Group = int64(f.num("cluster_no"))
	ev.WroteAgo = f.opt("wrote_ms_ago")
	category := f.need("category")
	if s.at != nil && s.at.driver != nil {
		i, ok := s.at.opTypes[category]
		if !ok {
			return fmt.Errorf("category %q is not among the profiles", category)
		}
		ev.OpType = i
	}
	return nil
}

// message reads MAIL, a message of another instance.
func message(f *fields, ev *logic.Event) error {
	data, err := decode(f.need("payload"))
	if f.err == nil && err != nil {
		return fmt.Errorf("payload: %w", err)
	}
	ev.Kind, ev.Data = logic.EvMessage, data
	return nil
}

// list reads the entries of one LIST.
func (s *server) list(f *fields) error {
	table, n := f.need("table"), int(f.num("items"))
	if f.err != nil {
		return f.err
	}
	if n < 0 {
		return fmt.Errorf("LIST with %d items", n)
	}
	var entries []logic.ListEntry
	for range n {
		e, err := s.read()
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("LIST of %d items is cut short", n)
		} else if err != nil {
			return err
		}
		if e.name != "ENTRY" {
			return fmt.Errorf("want ENTRY, have %s", e.name)
		}
		phase, ok := phases[e.need("phase")]
		if e.err == nil && !ok {
			return fmt.Errorf("ENTRY has the unknown phase %q", e.need("phase"))
		}
		entries = append(entries, logic.ListEntry{Member: e.need("member"), Phase: phase, Zone: e.get("zone"),
			Started: ms(e.opt("born")), Group: int64(e.opt("cluster")),
			Primary: e.flag("head")})
		if e.err != nil {
			return e.err
		}
	}
	s.lists[table] = entries
	return nil
}

// step lets one instance decide and writes its actions. A panic in the module becomes the wire's own action.
func (s *server) step(inst *instance) {
	inst.queued = false
	if inst.driver == nil || len(inst.events) == 0 {
		return
	}
	var acts []logic.Action
	failure := ""
	func() {
		defer func() {
			if r := recover(); r != nil {
				failure = strings.ReplaceAll(fmt.Sprint(r), "\n", " ")
			}
		}()
		acts = inst.driver.Step(s.now, inst.events)
	}()
	inst.events = inst.events[:0]
	if failure == "" && len(acts) == 0 {
		return
	}
	s.out.WriteString("FOR who=" + inst.name + "\n")
	if failure != "" {
		s.out.WriteString("PANIC line=" + failure + "\n")
		return
	}
	for i := range acts {
		s.action(&acts[i])
	}
}

func us(wait float64) string { return strconv.FormatInt(int64(math.Round(wait*usPerMs)), 10) }

func (s *server) action(a *logic.Action) {
	w := s.out
	switch a.Kind {
	case logic.ActSend:
		w.WriteString("ATTEMPT txn=" + a.Op + " member=" + a.Member + " limit=" + us(a.Wait))
	case logic.ActCancel:
		w.WriteString("CANCEL txn=" + a.Op + " attempt=" + strconv.Itoa(a.Send))
	case logic.ActRefuse:
		w.WriteString("DECLINE txn=" + a.Op)
		if a.Wait > 0 {
			w.WriteString(" retry_after=" + us(a.Wait))
		}
	case logic.ActFail:
		w.WriteString("RESPOND_ERROR txn=" + a.Op)
	case logic.ActProbe:
		w.WriteString("CHECK member=" + a.Member)
	case logic.ActTimer:
		w.WriteString("TIMER sleep_for=" + us(a.Wait) + " handle=0")
	case logic.ActMessage:
		w.WriteString("BROADCAST_TO dst=all payload=" + encode(a.Data))
	case logic.ActWatch:
		w.WriteString("LISTEN want=1")
	case logic.ActLog:
		w.WriteString("NOTE_DOWN line=" + strings.ReplaceAll(a.Text, "\n", " "))
	}
	w.WriteByte('\n')
}

func encode(data []byte) string {
	if len(data) == 0 {
		return "-"
	}
	return base64.StdEncoding.EncodeToString(data)
}

func decode(text string) ([]byte, error) {
	if text == "-" {
		return nil, nil
	}
	return base64.StdEncoding.DecodeString(text)
}

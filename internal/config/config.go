// Package config is the operator's configuration: what it says, what is wrong with one, and what a change makes of
// it.
//
// This file owns reading, checking and amending. It does no I/O. Items are kept as they were sent, fields that are not known
// here included, so that what is read back is what was sent.
package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/samber/oops"

	"weirwind/internal/session/sites"
	"weirwind/internal/shard/shardmap"
)

// Types of routes: what a read must have seen.
const (
	Primary = "primary"  // every commit
	StaleOK = "stale_ok" // all but those of the last MaxStale
	Self    = "self"     // those, and all of its own session
)

// Route leads clients of a host to a service.
type Route struct {
	Name     string  `json:"name" validate:"required"`
	Host     string  `json:"host" validate:"required"`
	Prefix   string  `json:"prefix"`
	Type     string  `json:"type" validate:"oneof=primary stale_ok self"`
	Timeout  float64 `json:"timeoutMs" validate:"gt=0"` // milliseconds
	Target   float64 `json:"targetMs" validate:"gte=0"`
	Prio     int     `json:"prio" validate:"gte=0"`
	Svc      string  `json:"svc" validate:"required"`
	Tries    int     `json:"tries" validate:"gte=0"`
	MaxStale float64 `json:"maxStaleMs" validate:"gte=0"` // milliseconds
	Shard    string  `json:"shard"`                       // who holds it serves the route, whatever svc says; "": svc does
}

// Service is a replication group.
type Service struct {
	Name     string `json:"name" validate:"required"`
	MaxConns int    `json:"maxConns" validate:"gte=0"` // at each member, from all callers
	SyncN    int    `json:"syncN" validate:"gte=0"`    // replicas that have received a commit when it is answered
}

// Limits bound what clients may do.
type Limits struct {
	TxIdle float64 `json:"txIdleMs" validate:"gte=0"` // milliseconds; 0: not bounded
	Idle   float64 `json:"idleMs" validate:"gte=0"`
}

// Config is a configuration, read and checked.
type Config struct {
	Gen    uint64    `json:"gen" validate:"gt=0"`
	Routes []Route   `json:"routes" validate:"dive"`
	Svcs   []Service `json:"svcs" validate:"dive"`
	Limits Limits    `json:"limits"`

	byHost map[string]*Route
	bySvc  map[string]*Service
}

// Refusal is why a configuration is not taken. Status is the answer's: 400, 409 or 412.
type Refusal struct {
	Status int
	Reason string // a word for logs
	Text   string
}

func (r *Refusal) Error() string { return r.Text }

func refuse(status int, reason, format string, args ...any) error {
	return &Refusal{status, reason, fmt.Sprintf(format, args...)}
}

var check = validator.New(validator.WithRequiredStructEnabled())

// Read reads a whole configuration and checks it against itself.
func Read(raw []byte) (*Config, error) {
	c := &Config{}
	if err := strict(raw, c); err != nil {
		return nil, refuse(400, "cut_short", "the configuration can't be read in full: %v", err)
	}
	if err := check.Struct(c); err != nil {
		var wrong validator.ValidationErrors
		if errors.As(err, &wrong) {
			return nil, refuse(400, "bad_field", "%s is %v, which %s does not allow", wrong[0].Namespace(), wrong[0].Value(), wrong[0].ActualTag())
		}
		return nil, refuse(400, "bad_field", "%v", err)
	}
	c.byHost, c.bySvc = map[string]*Route{}, map[string]*Service{}
	for i := range c.Svcs {
		s := &c.Svcs[i]
		if c.bySvc[s.Name] != nil {
			return nil, refuse(400, "same_service", "two services are named %q", s.Name)
		}
		c.bySvc[s.Name] = s
	}
	names, places := map[string]bool{}, map[[2]string]string{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if names[r.Name] {
			return nil, refuse(400, "same_name", "two routes are named %q", r.Name)
		}
		names[r.Name] = true
		if c.bySvc[r.Svc] == nil {
			return nil, refuse(400, "unknown_service", "route %q names service %q, which there is not", r.Name, r.Svc)
		}
		place := [2]string{r.Host, r.Prefix}
		if other, taken := places[place]; taken {
			return nil, refuse(400, "same_place", "routes %q and %q have the same host and prefix", other, r.Name)
		}
		places[place] = r.Name
		if old := c.byHost[r.Host]; old == nil || len(r.Prefix) < len(old.Prefix) {
			c.byHost[r.Host] = r
		}
	}
	return c, nil
}

func strict(raw []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("something follows its end")
	}
	return nil
}

// Route gives the route of a host, nil for none.
func (c *Config) Route(host string) *Route { return c.byHost[host] }

// Service gives a service, nil for none.
func (c *Config) Service(name string) *Service { return c.bySvc[name] }

// Change is what an operator sends.
type Change struct {
	Amend bool
	Base  uint64 // the version that it is built on
	Body  []byte
}

// Digest tells exact repeats from other changes.
func (c *Change) Digest() [32]byte {
	h := sha256.New()
	fmt.Fprintf(h, "%v %d ", c.Amend, c.Base)
	h.Write(c.Body)
	return [32]byte(h.Sum(nil))
}

// Past is a change that was taken.
type Past struct {
	Gen    uint64   `cbor:"1,keyasint"`
	Base   uint64   `cbor:"2,keyasint"`
	Digest [32]byte `cbor:"3,keyasint"`
	Node   string   `cbor:"4,keyasint"` // machine of the core that was called
	At     int64    `cbor:"5,keyasint"` // its time of day in milliseconds, for people; nothing decides by it
}

const mostPast = 512 // changes that repeats are told by

// State is the operator's word: the newest configuration as it was sent, and which changes led to it.
type State struct {
	Gen  uint64 `cbor:"1,keyasint"`
	Raw  []byte `cbor:"2,keyasint"`
	Past []Past `cbor:"3,keyasint"`

	Shards *shardmap.Map `cbor:"4,keyasint,omitempty"` // who holds which; nil: none were founded
	Sites  *sites.Map    `cbor:"5,keyasint,omitempty"` // that hold open sessions; nil: there are none
	Roster Roster        `cbor:"9,keyasint,omitempty"` // members that may hold an acknowledged commit
}

// WithShards gives the book with a change of who holds which shard. The same book: it was taken before.
func (b *State) WithShards(c *shardmap.Change) (*State, error) {
	m, err := b.Shards.Apply(c)
	if err != nil {
		return nil, refuse(409, "shards", "%v", err)
	}
	if m == b.Shards {
		return b, nil
	}
	next := *b
	next.Shards = m
	return &next, nil
}

// Taken says whether exactly this change was taken.
func (b *State) Taken(c *Change) bool {
	d := c.Digest()
	return slices.ContainsFunc(b.Past, func(p Past) bool { return p.Digest == d })
}

// Apply makes of a book and a change the next book, or says why not.
func (b *State) Apply(c *Change, node string, at int64) (*State, error) {
	raw := c.Body
	if c.Amend {
		var err error
		if raw, err = b.amended(c.Body); err != nil {
			return nil, err
		}
	}
	cfg, err := Read(raw)
	if err != nil {
		return nil, err
	}
	if c.Base != b.Gen {
		return nil, refuse(412, "other_base", "version %d is in place, not %d", b.Gen, c.Base)
	}
	if cfg.Gen <= b.Gen {
		return nil, refuse(400, "old_version", "its gen %d is not higher than %d, which is in place", cfg.Gen, b.Gen)
	}
	past := append(slices.Clone(b.Past), Past{cfg.Gen, c.Base, c.Digest(), node, at})
	if len(past) > mostPast {
		past = past[len(past)-mostPast:]
	}
	next := *b
	next.Gen, next.Raw, next.Past = cfg.Gen, bytes.Clone(raw), past
	return &next, nil
}

// WithSites gives the book with a change of the sites. The same book: it was so before.
func (b *State) WithSites(c *sites.Change) (*State, error) {
	m, err := b.Sites.Apply(c)
	if err != nil {
		return nil, refuse(409, "sites", "%v", err)
	}
	if m == b.Sites {
		return b, nil
	}
	next := *b
	next.Sites = m
	return &next, nil
}

type amendment struct {
	Gen    *uint64                      `json:"gen"`
	Upsert map[string][]json.RawMessage `json:"upsert"`
	Del    map[string][]string          `json:"del"`
}

func (b *State) amended(body []byte) ([]byte, error) {
	var a amendment
	if err := strict(body, &a); err != nil {
		return nil, refuse(400, "cut_short", "the change can't be read in full: %v", err)
	}
	if a.Gen == nil {
		return nil, refuse(400, "bad_field", "a change needs its gen")
	}
	if b.Gen == 0 {
		return nil, refuse(412, "other_base", "there is no configuration yet that could be changed")
	}
	doc := map[string]json.RawMessage{}
	if err := strict(b.Raw, &doc); err != nil {
		return nil, oops.In("amend").Wrap(err)
	}
	lists := map[string]bool{}
	for k := range a.Upsert {
		lists[k] = true
	}
	for k := range a.Del {
		lists[k] = true
	}
	for list := range lists {
		var items []json.RawMessage
		if old, ok := doc[list]; ok {
			if err := json.Unmarshal(old, &items); err != nil {
				return nil, refuse(400, "bad_field", "%q is no list of items", list)
			}
		}
		items, err := amendList(items, a.Upsert[list], a.Del[list])
		if err != nil {
			return nil, err
		}
		if doc[list], err = json.Marshal(items); err != nil {
			return nil, oops.In("amend").Wrap(err)
		}
	}
	doc["gen"], _ = json.Marshal(*a.Gen)
	return json.Marshal(doc)
}

func amendList(items, upsert []json.RawMessage, del []string) ([]json.RawMessage, error) {
	at := map[string]int{}
	for i, item := range items {
		at[itemName(item)] = i
	}
	seen := map[string]bool{}
	for _, item := range upsert {
		name := itemName(item)
		if name == "" || seen[name] {
			return nil, refuse(400, "bad_field", "an item without a name of its own: %.80s", item)
		}
		seen[name] = true
		if i, ok := at[name]; ok {
			items[i] = item
		} else {
			at[name] = len(items)
			items = append(items, item)
		}
	}
	if len(del) == 0 {
		return items, nil
	}
	gone := map[string]bool{}
	for _, name := range del {
		gone[strings.TrimSpace(name)] = true
	}
	return slices.DeleteFunc(items, func(item json.RawMessage) bool { return gone[itemName(item)] && !seen[itemName(item)] }), nil
}

func itemName(item json.RawMessage) string {
	var named struct {
		Name string `json:"name"`
	}
	if json.Unmarshal(item, &named) != nil {
		return ""
	}
	return named.Name
}

// Diff says what differs between two configurations: lines with + for what only b has, - for what only a has, ~ for what changed.
func Diff(a, b []byte) ([]string, error) {
	x, y := map[string]json.RawMessage{}, map[string]json.RawMessage{}
	if err := strict(a, &x); err != nil {
		return nil, err
	}
	if err := strict(b, &y); err != nil {
		return nil, err
	}
	keys := map[string]bool{}
	for k := range x {
		keys[k] = true
	}
	for k := range y {
		keys[k] = true
	}
	var out []string
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		var old, now []json.RawMessage
		if json.Unmarshal(x[k], &old) == nil && json.Unmarshal(y[k], &now) == nil && (old != nil || now != nil) {
			out = append(out, diffList(k, old, now)...)
		} else if compact(x[k]) != compact(y[k]) {
			out = append(out, fmt.Sprintf("~ %s: %s -> %s", k, compact(x[k]), compact(y[k])))
		}
	}
	return out, nil
}

func diffList(list string, old, now []json.RawMessage) (out []string) {
	was := map[string]string{}
	for _, i := range old {
		was[itemName(i)] = compact(i)
	}
	for _, i := range now {
		name := itemName(i)
		text, known := was[name]
		switch {
		case !known:
			out = append(out, fmt.Sprintf("+ %s %s: %s", list, name, compact(i)))
		case text != compact(i):
			out = append(out, fmt.Sprintf("~ %s %s: %s -> %s", list, name, text, compact(i)))
		}
		delete(was, name)
	}
	for _, name := range slices.Sorted(maps.Keys(was)) {
		out = append(out, fmt.Sprintf("- %s %s", list, name))
	}
	return out
}

func compact(raw json.RawMessage) string {
	var b bytes.Buffer
	if json.Compact(&b, raw) != nil {
		return string(raw)
	}
	return b.String()
}

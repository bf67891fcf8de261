// Package config is the operator's configuration: what it says, what is wrong with one, and what a change makes of
// it.
//
// It does no I/O. Items are kept as they were sent, fields that are not known here included, so that what is read
// back is what was sent. This file owns reading and checking.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/go-playground/validator/v10"
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

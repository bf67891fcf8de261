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
	"reflect"

	"github.com/go-playground/validator/v10"
)

// Types of routes: what a read must have seen.
const (
	ConsistencyPrimary          = "primary"  // every commit
	ConsistencyBoundedStaleness = "stale_ok" // all but those of the last MaxStale
	ConsistencySession          = "self"     // those, and all of its own session
)

// Route leads clients of a host to a service.
type Route struct {
	Name          string  `json:"name" validate:"required"`
	Host          string  `json:"host" validate:"required"`
	Prefix        string  `json:"prefix"`
	Consistency   string  `json:"type" reported:"Type" validate:"oneof=primary stale_ok self"`
	Timeout       float64 `json:"timeoutMs" validate:"gt=0"` // milliseconds
	LatencyTarget float64 `json:"targetMs" reported:"Target" validate:"gte=0"`
	Priority      int     `json:"prio" reported:"Prio" validate:"gte=0"`
	Service       string  `json:"svc" reported:"Svc" validate:"required"`
	Attempts      int     `json:"tries" reported:"Tries" validate:"gte=0"`
	MaxStaleness  float64 `json:"maxStaleMs" reported:"MaxStale" validate:"gte=0"` // milliseconds
	Shard         string  `json:"shard"`                                           // who holds it serves the route, whatever svc says; "": svc does
}

// Service is a replication group.
type Service struct {
	Name           string `json:"name" validate:"required"`
	MaxConnections int    `json:"maxConns" reported:"MaxConns" validate:"gte=0"` // at each member, from all callers
	SyncReplicas   int    `json:"syncN" reported:"SyncN" validate:"gte=0"`       // replicas that have received a commit when it is answered
}

// Limits bound what clients may do.
type Limits struct {
	IdleInTransactionTimeout float64 `json:"txIdleMs" reported:"TxIdle" validate:"gte=0"` // milliseconds; 0: not bounded
	IdleTimeout              float64 `json:"idleMs" reported:"Idle" validate:"gte=0"`
}

// Config is a configuration, read and checked.
type Config struct {
	Version  uint64    `json:"gen" reported:"Gen" validate:"gt=0"`
	Routes   []Route   `json:"routes" validate:"dive"`
	Services []Service `json:"svcs" reported:"Svcs" validate:"dive"`
	Limits   Limits    `json:"limits"`

	byHost map[string]*Route
	bySvc  map[string]*Service
}

// RejectedError is why a configuration is not taken. Status is the answer's: 400, 409 or 412.
type RejectedError struct {
	Status int
	Reason string // a word for logs
	Text   string
}

func (r *RejectedError) Error() string { return r.Text }

func refuse(status int, reason, format string, args ...any) error {
	return &RejectedError{status, reason, fmt.Sprintf(format, args...)}
}

var check = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("reported") })
	return v
}

// Parse reads a whole configuration and checks it against itself.
func Parse(raw []byte) (*Config, error) {
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
	for i := range c.Services {
		s := &c.Services[i]
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
		if c.bySvc[r.Service] == nil {
			return nil, refuse(400, "unknown_service", "route %q names service %q, which there is not", r.Name, r.Service)
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

// RouteForHost gives the route of a host, nil for none.
func (c *Config) RouteForHost(host string) *Route { return c.byHost[host] }

// Service gives a service, nil for none.
func (c *Config) Service(name string) *Service { return c.bySvc[name] }

package config

// Levels of consistency of a route: which commits a read must have seen.
const (
	ConsistencyPrimary          = "primary"  // all of them: reads go to the primary
	ConsistencyBoundedStaleness = "stale_ok" // all but those of the last MaxStaleness
	ConsistencySession          = "self"     // those, and all of its own session
)

// Route leads the clients of a host to a service.
//
// Fields are validated in the order in which they stand, here and below, and of several that are wrong the first is
// reported: the order is part of what operators see. The tag "reported" is the name that errors give a field, where its
// Go name is another. LatencyTarget, Priority and Attempts are validated, but nothing in this version uses them.
type Route struct {
	Name          string  `json:"name" validate:"required"`
	Host          string  `json:"host" validate:"required"`
	Prefix        string  `json:"prefix"` // of several routes of a host, the one with the shortest serves it
	Consistency   string  `json:"type" reported:"Type" validate:"oneof=primary stale_ok self"`
	Timeout       float64 `json:"timeoutMs" validate:"gt=0"`                   // of a statement, in milliseconds
	LatencyTarget float64 `json:"targetMs" reported:"Target" validate:"gte=0"` // milliseconds
	Priority      int     `json:"prio" reported:"Prio" validate:"gte=0"`
	Service       string  `json:"svc" reported:"Svc" validate:"required"` // by its name
	Attempts      int     `json:"tries" reported:"Tries" validate:"gte=0"`
	MaxStaleness  float64 `json:"maxStaleMs" reported:"MaxStale" validate:"gte=0"` // milliseconds

	// Public routes serve any client; others serve those that attach with a tenant's key, where there are tenants.
	Public bool `json:"public"`

	// Shard names the shard whose owner serves the route, whatever Service says; "": Service does.
	Shard string `json:"shard"`
}

// Service is a replication group.
type Service struct {
	Name string `json:"name" validate:"required"`

	// MaxConnections bounds the connections to each member, of all drivers together.
	MaxConnections int `json:"maxConns" reported:"MaxConns" validate:"gte=0"`
	// SyncReplicas is how many replicas have received a commit when it is acknowledged.
	SyncReplicas int `json:"syncN" reported:"SyncN" validate:"gte=0"`
}

// Tenant is a customer. Its clients attach with one of its keys; members are told its name, never a key.
type Tenant struct {
	Name     string   `json:"name" validate:"required"`
	Keys     []string `json:"keys" reported:"Keys" validate:"dive,required"` // may be empty: nobody attaches with it
	Priority int      `json:"prio" reported:"Prio" validate:"gte=0"`         // 0 is the highest

	// Its operations, over all drivers, are bounded by a token bucket: Rate a second, Burst at once.
	Rate  float64 `json:"perS" reported:"PerS" validate:"gte=0"`
	Burst float64 `json:"burst" reported:"Burst" validate:"gte=0"`
}

// Limits bound what clients may do.
type Limits struct {
	// IdleInTransactionTimeout ends an open transaction whose client is idle for so long, in milliseconds; 0: unbounded.
	IdleInTransactionTimeout float64 `json:"txIdleMs" reported:"TxIdle" validate:"gte=0"`
	// IdleTimeout is validated, but nothing in this version uses it.
	IdleTimeout float64 `json:"idleMs" reported:"Idle" validate:"gte=0"`
}

// Config is a configuration that was parsed and is valid. It is not changed any more.
type Config struct {
	Version  uint64    `json:"gen" reported:"Gen" validate:"gt=0"`
	Routes   []Route   `json:"routes" validate:"dive"`
	Services []Service `json:"svcs" reported:"Svcs" validate:"dive"`
	Limits   Limits    `json:"limits"`
	Tenants  []Tenant  `json:"tenants" validate:"dive"` // none: every client is served

	routeByHost   map[string]*Route // of several routes of a host, the first with the shortest prefix
	serviceByName map[string]*Service
	tenantByName  map[string]*Tenant
	tenantByKey   map[string]*Tenant
}

// RouteForHost gives the route of a host, nil for none.
func (c *Config) RouteForHost(host string) *Route { return c.routeByHost[host] }

// Service gives a service, nil for none.
func (c *Config) Service(name string) *Service { return c.serviceByName[name] }

// Tenant gives a tenant, nil for none.
func (c *Config) Tenant(name string) *Tenant { return c.tenantByName[name] }

// TenantByKey gives the tenant that holds a key, nil for none.
func (c *Config) TenantByKey(key string) *Tenant { return c.tenantByKey[key] }

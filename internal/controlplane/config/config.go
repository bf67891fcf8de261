package config

// Consistency levels of a route: which commits a read must observe.
const (
	ConsistencyPrimary          = "primary"  // all commits: reads go to the primary
	ConsistencyBoundedStaleness = "stale_ok" // all commits older than MaxStaleness
	ConsistencySession          = "self"     // all commits older than MaxStaleness, and all those of its own session
)

// Route assigns the clients of a host to a service.
//
// Fields of this and the other structs are validated in the order of their declaration, and only the first invalid
// field is reported: reordering them changes which error operators see. The tag "reported" is a field's name in errors,
// if it differs from the Go name. LatencyTarget, Priority and Attempts are validated but otherwise unused.
type Route struct {
	Name          string  `json:"name" validate:"required"`
	Host          string  `json:"host" validate:"required"`
	Prefix        string  `json:"prefix"` // if a host has several routes, the one with the shortest prefix is used
	Consistency   string  `json:"type" reported:"Type" validate:"oneof=primary stale_ok self"`
	Timeout       float64 `json:"timeoutMs" validate:"gt=0"`                   // of a statement, in milliseconds
	LatencyTarget float64 `json:"targetMs" reported:"Target" validate:"gte=0"` // milliseconds
	Priority      int     `json:"prio" reported:"Prio" validate:"gte=0"`
	Service       string  `json:"svc" reported:"Svc" validate:"required"` // name of the service
	Attempts      int     `json:"tries" reported:"Tries" validate:"gte=0"`
	MaxStaleness  float64 `json:"maxStaleMs" reported:"MaxStale" validate:"gte=0"` // milliseconds

	// Public routes serve any client. If tenants are configured, other routes serve only clients that attach with a
	// tenant's key.
	Public bool `json:"public"`

	// Shard names the shard whose owner serves the route in place of Service; if empty, Service does.
	Shard string `json:"shard"`
}

// Service is a replication group.
type Service struct {
	Name string `json:"name" validate:"required"`

	// MaxConnections bounds the number of connections to each member, summed over all drivers.
	MaxConnections int `json:"maxConns" reported:"MaxConns" validate:"gte=0"`
	// SyncReplicas is the number of replicas that must have received a commit before it is acknowledged.
	SyncReplicas int `json:"syncN" reported:"SyncN" validate:"gte=0"`
}

// Tenant is a customer. Its clients attach with one of its keys; members receive its name, but never a key.
type Tenant struct {
	Name     string   `json:"name" validate:"required"`
	Keys     []string `json:"keys" reported:"Keys" validate:"dive,required"` // may be empty: then no client can attach
	Priority int      `json:"prio" reported:"Prio" validate:"gte=0"`         // 0 is the highest

	// A token bucket bounds its operations, summed over all drivers: Rate per second, Burst at once.
	Rate  float64 `json:"perS" reported:"PerS" validate:"gte=0"`
	Burst float64 `json:"burst" reported:"Burst" validate:"gte=0"`
}

// Limits bounds what clients may do.
type Limits struct {
	// IdleInTransactionTimeout is how long a client may be idle in an open transaction before the transaction is ended,
	// in milliseconds; 0 means no limit.
	IdleInTransactionTimeout float64 `json:"txIdleMs" reported:"TxIdle" validate:"gte=0"`
	// IdleTimeout is validated but otherwise unused.
	IdleTimeout float64 `json:"idleMs" reported:"Idle" validate:"gte=0"`
}

// Config is a parsed, valid configuration. It is immutable.
type Config struct {
	Version  uint64    `json:"gen" reported:"Gen" validate:"gt=0"`
	Routes   []Route   `json:"routes" validate:"dive"`
	Services []Service `json:"svcs" reported:"Svcs" validate:"dive"`
	Limits   Limits    `json:"limits"`
	Tenants  []Tenant  `json:"tenants" validate:"dive"` // if empty, all clients are served

	routeByHost   map[string]*Route // per host the first route with the shortest prefix
	serviceByName map[string]*Service
	tenantByName  map[string]*Tenant
	tenantByKey   map[string]*Tenant
}

// RouteForHost returns the route of a host, nil if there is none.
func (c *Config) RouteForHost(host string) *Route { return c.routeByHost[host] }

// Service returns the service with a name, nil if there is none.
func (c *Config) Service(name string) *Service { return c.serviceByName[name] }

// Tenant returns the tenant with a name, nil if there is none.
func (c *Config) Tenant(name string) *Tenant { return c.tenantByName[name] }

// TenantByKey returns the tenant that has a key, nil if there is none.
func (c *Config) TenantByKey(key string) *Tenant { return c.tenantByKey[key] }

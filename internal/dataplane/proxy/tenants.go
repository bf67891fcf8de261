package proxy

import (
	"weirwind/internal/controlplane/config"
	"weirwind/internal/member/wire"
)

// This file looks up the tenant for which a client's operation runs.

// tenantsInForce reports whether clients must have the key of a tenant on all but public routes. The deployment's
// tenant contract requires it, or a configuration with tenants. cfg may be nil.
func (p *Proxy) tenantsInForce(cfg *config.Config) bool {
	return p.tenantsRequired || cfg != nil && len(cfg.Tenants) > 0
}

// tenantFor returns the name of the tenant for which an operation on a route runs, "" on a public route or without
// tenants. It is called for each operation, as the key may have been revoked or reassigned to another tenant. The keys
// of a tenant whose name can't be sent to a member are treated as unknown.
func (s *session) tenantFor(route *config.Route) (string, error) {
	cfg := s.proxy.config.Load()
	if route.Public || !s.proxy.tenantsInForce(cfg) {
		return "", nil
	}
	tenant := cfg.TenantByKey(s.key)
	if tenant == nil || !wire.IsField(tenant.Name) {
		return "", errUnknownKey
	}
	return tenant.Name, nil
}

// deny answers an operation of a client whose key no longer belongs to a tenant. The session ends after the answer.
func (s *session) deny() {
	s.proxy.denials.record(deniedOperation)
	s.closing = true
	s.replyError(errUnknownKey, wire.StateIdle)
}

// rollBackIfKeyRevoked rolls back the open transaction if the client's key no longer belongs to the tenant for which
// the transaction began. It then answers the statement and returns true. There is no grace period: once a member has
// received a request that needs the newer configuration, it must not receive one that only the older one allows.
func (s *session) rollBackIfKeyRevoked(tx *transaction, st *statement) bool {
	tenant, err := s.tenantFor(tx.route)
	if err == nil && tenant == tx.tenant {
		return false
	}
	s.proxy.denials.record(deniedTransaction)
	s.rollBack(tx)
	s.failTransaction(errKeyRevoked, st)
	return true
}

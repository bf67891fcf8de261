package proxy

import (
	"weirwind/internal/controlplane/config"
	"weirwind/internal/member/wire"
)

// This file owns the lookup of the tenant that a client's operation is run for.

// tenantsInForce reports whether a client is served only in the name of a tenant, but on public routes: by the
// deployment's contract or by the configuration, which may be nil.
func (p *Proxy) tenantsInForce(cfg *config.Config) bool {
	return p.tenantsByContract || cfg != nil && len(cfg.Tenants) > 0
}

// tenantFor gives the name of the tenant that an operation on a route, which begins now, is run for: "" on a public
// route and where there are no tenants. The key is looked up anew for each operation, as it may have been taken away
// from the client or passed on to another tenant. A tenant whose name can't be sent to a member has no clients.
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

// deny answers an operation whose client's key is no tenant's any more. The session ends after the answer.
func (s *session) deny() {
	s.proxy.denials.record(deniedOperation)
	s.ended = true
	s.replyError(errUnknownKey, wire.StateIdle)
}

// endWithdrawn rolls the open transaction back if the client's key is no longer that of the tenant for which it was
// begun. true: it did, and the statement is answered. No time is left to such a transaction: after a request with a
// newer key has reached a member, one that only an older configuration allows must not.
func (s *session) endWithdrawn(tx *transaction, st *statement) bool {
	tenant, err := s.tenantFor(tx.route)
	if err == nil && tenant == tx.tenant {
		return false
	}
	s.proxy.denials.record(deniedTransaction)
	s.rollBack(tx)
	s.failTransaction(errKeyWithdrawn, st)
	return true
}

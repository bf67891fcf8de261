package proxy

import (
	"weirwind/internal/controlplane/config"
	"weirwind/internal/member/wire"
	"weirwind/internal/util/settings"
)

// This file owns the lookup of the tenant that a client's operation is run for.

// tenantIndex says whose each key is, by one configuration. It is not changed once sessions can see it.
type tenantIndex struct {
	// inForce: a client is served only in the name of a tenant, but on public routes.
	inForce   bool
	nameByKey map[string]string
}

// newTenantIndex builds the index of a configuration; nil: none is known. Tenants are in force by the deployment's
// contract or by the configuration. A tenant whose name can't be sent to a member has no keys.
func newTenantIndex(s *settings.Settings, cfg *config.Config) *tenantIndex {
	index := &tenantIndex{inForce: s.HasContract(settings.ContractTenants), nameByKey: map[string]string{}}
	if cfg == nil {
		return index
	}
	index.inForce = index.inForce || len(cfg.Tenants) > 0
	for i := range cfg.Tenants {
		t := &cfg.Tenants[i]
		if !wire.IsField(t.Name) {
			continue
		}
		for _, key := range t.Keys {
			index.nameByKey[key] = t.Name
		}
	}
	return index
}

// tenantFor gives the name of the tenant that an operation on a route, which begins now, is run for: "" on a public
// route and where there are no tenants. The key is looked up anew for each operation, as it may have been taken away
// from the client or passed on to another tenant.
func (s *session) tenantFor(route *config.Route) (string, error) {
	index := s.proxy.tenants.Load()
	if route.Public || !index.inForce {
		return "", nil
	}
	name, known := index.nameByKey[s.key]
	if !known {
		return "", errUnknownKey
	}
	return name, nil
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

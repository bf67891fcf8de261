package limiter

import "weirwind/internal/controlplane/controlmsg"

const (
	maxTokensAtOnce = 1000 // of a tenant, in one request
	// shareRetryMs is after how long a proxy asks again while a share of the tenant's quota is on its way.
	shareRetryMs = 80.0
	// unknownTenantRetryMs is after how long a proxy asks again for a tenant that has no limit here.
	unknownTenantRetryMs = 200.0
)

// Answer answers a request with the tokens that there are.
func (l *Limiter) Answer(r *controlmsg.QuotaRequest, now float64) *controlmsg.QuotaAnswer {
	answer := &controlmsg.QuotaAnswer{Driver: r.Driver, Incarnation: r.Incarnation, Seq: r.Seq}
	for _, asked := range r.Tenants {
		answer.Tenants = append(answer.Tenants, l.take(asked, now))
	}
	return answer
}

// take takes tokens for some operations of a tenant, as many as there are.
func (l *Limiter) take(asked controlmsg.QuotaCount, now float64) controlmsg.QuotaTokens {
	answer := controlmsg.QuotaTokens{Tenant: asked.Tenant}
	if l.tenants[asked.Tenant] == nil { // the proxy knows of a limit: one of the two configurations is old
		answer.RetryAfterMs = unknownTenantRetryMs
		return answer
	}
	for range min(asked.Operations, maxTokensAtOnce) {
		decision := l.Admit(asked.Tenant, 0, now)
		switch decision.Verdict {
		case Admitted:
			answer.Tokens++
		case Waiting:
			answer.RetryAfterMs = min(decision.RetryAfterMs, shareRetryMs)
		default:
			answer.RetryAfterMs = decision.RetryAfterMs
		}
	}
	return answer
}

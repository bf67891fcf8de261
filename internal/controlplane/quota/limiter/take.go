package limiter

import "weirwind/internal/controlplane/controlmsg"

const (
	maxTokensAtOnce = 1000 // of a tenant, in one request
	// shareRetryMs is the retry delay of a proxy while the holder waits for a share of the tenant's limit.
	shareRetryMs = 80.0
	// unknownTenantRetryMs is the retry delay of a proxy for a tenant that has no limit here.
	unknownTenantRetryMs = 200.0
)

// Answer answers a request with the available tokens.
func (l *Limiter) Answer(r *controlmsg.QuotaRequest, now float64) *controlmsg.QuotaAnswer {
	answer := &controlmsg.QuotaAnswer{Driver: r.Driver, Incarnation: r.Incarnation, Seq: r.Seq}
	for _, requested := range r.Tenants {
		answer.Tenants = append(answer.Tenants, l.take(requested, now))
	}
	return answer
}

// take takes tokens for a tenant's operations, as many as are available.
func (l *Limiter) take(requested controlmsg.QuotaTokenRequest, now float64) controlmsg.QuotaTokens {
	answer := controlmsg.QuotaTokens{Tenant: requested.Tenant}
	if l.tenants[requested.Tenant] == nil { // the proxy knows of a limit: its configuration or the one here is out of date
		answer.RetryAfterMs = unknownTenantRetryMs
		return answer
	}
	for range min(requested.Operations, maxTokensAtOnce) {
		decision := l.Admit(requested.Tenant, 0, now)
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

package limiter

import "weirwind/internal/controlplane/controlmsg"

const (
	maxTokensAtOnce = 1000 // of a tenant, in one request
	// shareRetryMs is after how long a proxy asks again while a share of the tenant's quota is on its way.
	shareRetryMs = 80.0
)

// Take takes tokens for some operations of a tenant with a limit, as many as there are.
func (l *Limiter) Take(asked controlmsg.QuotaCount, now float64) controlmsg.QuotaTokens {
	answer := controlmsg.QuotaTokens{Tenant: asked.Tenant}
	for range min(asked.Operations, maxTokensAtOnce) {
		decision := l.Admit(asked.Tenant, 0, now)
		switch decision.Verdict {
		case Admitted:
			answer.Tokens++
		case Waiting:
			answer.RetryAfterMs = min(decision.AfterMs, shareRetryMs)
		default:
			answer.RetryAfterMs = decision.AfterMs
		}
	}
	return answer
}

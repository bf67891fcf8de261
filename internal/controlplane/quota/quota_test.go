package quota

import (
	"fmt"
	"testing"
)

const (
	historyCount    = 40
	historyLengthMs = 80_000.0
	maxAllowedUsage = 1 + 1e-9
)

// worstCase has the largest values over many simulated histories.
type worstCase struct {
	windowUsage           float64 // operations admitted in a window, as a fraction of its limit
	shareSum              float64 // sum of a tenant's shares
	windowSeed, shareSeed uint64
}

func (w worstCase) exceedsLimit() bool {
	return w.windowUsage > maxAllowedUsage || w.shareSum > maxAllowedUsage
}

func (w worstCase) String() string {
	return fmt.Sprintf("largest window usage %.3f of the limit (seed %d), largest sum of shares %.6f (seed %d)",
		w.windowUsage, w.windowSeed, w.shareSum, w.shareSeed)
}

func simulateHistories(options modelOptions) (worst worstCase) {
	for seed := range uint64(historyCount) {
		m := newModel(seed, options)
		m.run(historyLengthMs)
		for tenant := range m.limits {
			if usage := m.maxWindowUsage(tenant); usage > worst.windowUsage {
				worst.windowUsage, worst.windowSeed = usage, seed
			}
		}
		if m.maxShareSum > worst.shareSum {
			worst.shareSum, worst.shareSeed = m.maxShareSum, seed
		}
	}
	return worst
}

// No window has more operations than the limit, and the shares of holders never sum to more than 1, in histories with
// lost, delayed and duplicated messages, restarts, and changes of leaders, voters and limits. The lower bounds check
// that the histories come close to the limit.
func TestNoWindowHasMoreThanTheLimit(t *testing.T) {
	worst := simulateHistories(modelOptions{})
	t.Log(worst)
	if worst.exceedsLimit() || worst.windowUsage < 0.9 || worst.shareSum < 0.99 {
		t.Error(worst)
	}
}

// If any one safeguard of the protocol is disabled, the same histories exceed the limit.
func TestLimitIsExceededWithoutEachSafeguard(t *testing.T) {
	for name, options := range map[string]modelOptions{
		"a holder applies grants that answer older reports": {acceptsOldGrants: true},
		"a new leader assumes that no share is unreported":  {assumesAllSharesKnown: true},
		"a new leader doesn't wait for former voters":       {forgetsFormerVoters: true},
	} {
		worst := simulateHistories(options)
		t.Log(name, worst)
		if !worst.exceedsLimit() {
			t.Error("the limit is not exceeded, although", name, worst)
		}
	}
}

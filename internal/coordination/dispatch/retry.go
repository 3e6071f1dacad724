package dispatch

import (
	"sync"
	"time"
)

const (
	// retryRatio is the number of retries that each request adds to the budget of its pool.
	retryRatio = 0.1
	// retryBurst is the largest number of retries that a pool can accumulate.
	retryBurst = 20
	// maxAttempts bounds the attempts of one request, the first one included.
	maxAttempts = 3
)

// retryBudget is a token bucket that limits retries to a fraction of the requests.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryBurst} }

func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryRatio, retryBurst)
}

func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// responseTimeout returns how long an upstream host may leave a request
// unanswered while it answers others. After that the connection is taken to be
// broken.
func responseTimeout(runTime time.Duration) time.Duration {
	const (
		floor  = 500 * time.Millisecond
		factor = 6
	)
	return max(floor, factor*runTime)
}

// abandonedSlotDelay returns how long a slot stays taken after its work was
// abandoned and the upstream host has not confirmed that the work stopped.
func abandonedSlotDelay(runTime time.Duration) time.Duration {
	const longest = 5 * time.Second
	return min(2*runTime, longest)
}

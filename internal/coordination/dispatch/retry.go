package dispatch

import (
	"sync"
	"time"
)

const (
	// retryRatio is how many retries each request earns its pool.
	retryRatio = 0.1
	// retryBurst is the most retries that a pool saves up.
	retryBurst = 20
	// maxTries bounds the tries of one request.
	maxTries = 3
)

// retryBudget keeps retries to a part of the requests.
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

// silence is how long an upstream may be silent on a connection, while it
// answers others, before the connection is suspected.
func silence(runTime time.Duration) time.Duration {
	const (
		floor  = 500 * time.Millisecond
		factor = 6
	)
	return max(floor, factor*runTime)
}

// holdAfter is how long a slot stays taken after its work was abandoned
// without a word from the upstream that it stopped.
func holdAfter(runTime time.Duration) time.Duration {
	const longest = 5 * time.Second
	return min(2*runTime, longest)
}

package jobhost

import (
	"sync"
	"time"
)

// confirmation holds the time up to which the configuration in force is known to be the newest: no later
// version had been published then.
type confirmation struct {
	mu sync.Mutex
	at time.Time
}

// confirm notes that no version was published before a time that is not in force.
func (c *confirmation) confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.at) {
		c.at = at
	}
}

// confirmedAt returns the time of the last confirmation, zero if there was none.
func (c *confirmation) confirmedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

// ConfirmedAt returns the time up to which the configuration in force is known to be the newest that was
// published, on the clock that the job host was started with; zero if it is not known for any time.
func (h *JobHost) ConfirmedAt() time.Time { return h.versions.confirmation.confirmedAt() }

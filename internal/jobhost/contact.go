package jobhost

import (
	"sync"
	"time"
)

const (
	// contactTimeout is how long after the last confirmed renewal of the membership the log
	// counts as reachable: long enough for two renewals.
	contactTimeout = 1300 * time.Millisecond
	// readContactTimeout is the same for a host that is not a member and learns of the log's
	// state by its long polls only.
	readContactTimeout = readWait + 700*time.Millisecond
)

// contact holds when and how fast the log answered the reads of an entry host.
type contact struct {
	mu sync.Mutex
	at time.Time
	// latency is the duration of the last call that the log answers without waiting.
	latency time.Duration
}

func (c *contact) answered(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = at
}

func (c *contact) answeredAfter(at time.Time, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at, c.latency = at, latency
}

// inContact reports whether the log has answered this entry host recently.
func (h *JobHost) inContact() bool {
	now := h.now()
	if h.keeper.Joined() {
		return now.Sub(h.keeper.Confirmed()) < contactTimeout
	}
	h.contact.mu.Lock()
	defer h.contact.mu.Unlock()
	return now.Sub(h.contact.at) < readContactTimeout
}

// logLatency returns how long the log last took to answer a short call.
func (h *JobHost) logLatency() time.Duration {
	if h.keeper.Joined() {
		return h.keeper.Latency()
	}
	h.contact.mu.Lock()
	defer h.contact.mu.Unlock()
	return h.contact.latency
}

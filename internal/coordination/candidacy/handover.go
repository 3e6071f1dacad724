package candidacy

import "time"

// HandOver decides when a host that shuts down gives up its partitions: once others own some
// too, since nobody would schedule them otherwise, and in any case before it exits.
type HandOver struct {
	// Began is when the shutdown began, Last when the partitions are given up in any case.
	Began, Last time.Time
	// TTL is how long the list may name an owner that has gone.
	TTL time.Duration
}

// Due reports whether the host is to give up its partitions now.
func (o HandOver) Due(view View, now time.Time) bool {
	if !now.Before(o.Last) {
		return true
	}
	return len(view.Owners) > 0 && !view.ReadAt.Before(o.Began.Add(o.TTL))
}

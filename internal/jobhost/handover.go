package jobhost

import (
	"context"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/candidacy"
)

const (
	// handOverTime is how long before the end of a shutdown the partitions are given up in any
	// case, so that the log still learns of it.
	handOverTime = time.Second
	// handOverInterval is how often the list of owners is read while the host waits for another.
	handOverInterval = 300 * time.Millisecond
)

// awaitSuccessor waits until the partitions may be given up, within the time that ctx leaves.
func (h *JobHost) awaitSuccessor(ctx context.Context) {
	now := h.now()
	handOver := candidacy.HandOver{Began: now, Last: now, TTL: h.settings.GroupTTL}
	if end, ok := ctx.Deadline(); ok {
		handOver.Last = now.Add(time.Until(end) - handOverTime)
	}
	for len(h.ownedPartitions()) > 0 && !handOver.Due(h.directory.ownersView(), h.now()) && ctx.Err() == nil {
		h.directory.refresh(ctx, handOverInterval)
		wait(ctx, candidacyInterval)
	}
}

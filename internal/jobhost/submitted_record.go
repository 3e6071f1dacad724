package jobhost

import (
	"context"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

// submittedRecord is a record to be written with the next append.
type submittedRecord struct {
	record keyedlog.Record
	// sent is set once the record has been taken for an append, which may have been sent.
	sent bool
	done chan outcome
}

// outcome is what has become of a record. If it is refused, the log won't ever take it.
type outcome struct {
	verdict verdict.Verdict
	message string
	refused bool
	// otherOrganisation is set if the job belongs to another organisation.
	otherOrganisation bool
	// retryAfter is set if the pool's owner rejects the job, which could not end in time.
	retryAfter time.Duration
}

var (
	ownerChanged = outcome{verdict: verdict.NotRun, message: "the partition's owner has changed"}
	unconfirmed  = outcome{verdict: verdict.MayHaveRun, message: "the log has not confirmed the record to the partition's owner"}
	tooLarge     = outcome{verdict: verdict.NotRun, message: "the log refuses the record for good, such as one that is too large", refused: true}
)

// submit adds a record to the next append and waits for its outcome.
func (r *recorder) submit(ctx context.Context, record keyedlog.Record) outcome {
	return r.await(ctx, r.enqueue(record))
}

// enqueue adds a record to the next append. Records are appended in this order.
func (r *recorder) enqueue(record keyedlog.Record) *submittedRecord {
	s := &submittedRecord{record: record, done: make(chan outcome, 1)}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		s.done <- ownerChanged
		return s
	}
	r.submitted = append(r.submitted, s)
	r.signal()
	return s
}

// await waits for the outcome of a record's append.
func (r *recorder) await(ctx context.Context, s *submittedRecord) outcome {
	select {
	case o := <-s.done:
		return o
	case <-ctx.Done():
		return r.withdraw(s)
	}
}

// withdraw removes a record that is still queued; one that was taken for an append may
// have been written.
func (r *recorder) withdraw(s *submittedRecord) outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.sent {
		return unconfirmed
	}
	r.submitted = slices.DeleteFunc(r.submitted, func(other *submittedRecord) bool { return other == s })
	return outcome{verdict: verdict.NotRun, message: "the log did not answer the partition's owner in time"}
}

// takeSubmitted returns the queued records and marks them as sent.
func (r *recorder) takeSubmitted() []*submittedRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.submitted
	r.submitted, r.taken = nil, taken
	for _, s := range taken {
		s.sent = true
	}
	return taken
}

// applied notes that the partition has the records that were taken.
func (r *recorder) applied() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.taken = nil
}

// has reports whether a record with a key waits to be applied to the partition.
func (r *recorder) has(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	same := func(s *submittedRecord) bool { return s.record.Key == key }
	return slices.ContainsFunc(r.submitted, same) || slices.ContainsFunc(r.taken, same)
}

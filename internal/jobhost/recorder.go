package jobhost

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

var errTenureOver = errors.New("the tenure has ended or is not confirmed; no order was sent")

// recorder writes the records of a partition's pools, callers and peers to the log. It
// sends one append at a time, in order, and batches what accumulates meanwhile.
type recorder struct {
	partition *partition
	wake      chan struct{}
	dropped   chan []job.ID
	appender  *appender

	mu sync.Mutex
	// submitted holds the records of callers and peers for the next append.
	submitted []*submittedRecord
	closed    bool
}

// submittedRecord is a record to be written with the next append.
type submittedRecord struct {
	record keyedlog.Record
	// sent is set once the record has been taken for an append, which may have been sent.
	sent bool
	done chan verdict.Verdict
}

// submit adds a record to the next append and waits for its outcome.
func (r *recorder) submit(ctx context.Context, record keyedlog.Record) (verdict.Verdict, string) {
	return r.await(ctx, r.enqueue(record))
}

// enqueue adds a record to the next append. Records are appended in this order.
func (r *recorder) enqueue(record keyedlog.Record) *submittedRecord {
	s := &submittedRecord{record: record, done: make(chan verdict.Verdict, 1)}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		s.done <- verdict.NotRun
		return s
	}
	r.submitted = append(r.submitted, s)
	r.signal()
	return s
}

// await waits for the outcome of a record's append.
func (r *recorder) await(ctx context.Context, s *submittedRecord) (verdict.Verdict, string) {
	select {
	case v := <-s.done:
		return v, "the partition's owner has changed"
	case <-ctx.Done():
		return r.withdraw(s), "the log did not answer the partition's owner in time"
	}
}

// withdraw removes a record that is still queued; one that was taken for an append may
// have been written.
func (r *recorder) withdraw(s *submittedRecord) verdict.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.sent {
		return verdict.MayHaveRun
	}
	r.submitted = slices.DeleteFunc(r.submitted, func(other *submittedRecord) bool { return other == s })
	return verdict.NotRun
}

// takeSubmitted returns the queued records and marks them as sent.
func (r *recorder) takeSubmitted() []*submittedRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.submitted
	r.submitted = nil
	for _, s := range taken {
		s.sent = true
	}
	return taken
}

// close refuses the queued records, and all later ones, at the end of the tenure.
func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for _, s := range r.submitted {
		s.done <- verdict.NotRun
	}
	r.submitted = nil
}

func newRecorder(p *partition) *recorder {
	return &recorder{
		partition: p, wake: make(chan struct{}, 1), dropped: make(chan []job.ID, 1), appender: newAppender(p.host, p.id, p.token),
	}
}

func (r *recorder) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// drop deletes the records of jobs from the log. If another drop is still queued, this
// one is skipped and left to the sweep of a later owner.
func (r *recorder) drop(ids []job.ID) {
	if len(ids) == 0 {
		return
	}
	select {
	case r.dropped <- ids:
	default:
	}
}

// claim makes the log refuse the appends of earlier owners, by an empty append with this
// tenure's fencing token.
func (r *recorder) claim(ctx context.Context) {
	for ctx.Err() == nil {
		if r.append(ctx, nil) {
			return
		}
	}
}

// run writes records until ctx ends.
func (r *recorder) run(ctx context.Context) {
	defer r.close()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case ids := <-r.dropped:
			r.append(ctx, dropRecords(ids))
		case <-r.wake:
			r.record(ctx)
		}
	}
}

// poolBatch holds the unrecorded changes taken from one pool for an append.
type poolBatch struct {
	runner  *poolRunner
	changes schedule.Unrecorded
}

func (r *recorder) record(ctx context.Context) {
	var batches []poolBatch
	submitted := r.takeSubmitted()
	records := make([]keyedlog.Record, 0, len(submitted))
	for _, s := range submitted {
		records = append(records, s.record)
	}
	// Submitted jobs are applied before they are recorded, so that one append records
	// both the jobs and their placements; no start is sent before that append succeeds.
	// Cancels take effect only once they are recorded.
	r.partition.apply(withPrefix(records, keyJob))
	for _, runner := range r.partition.runners() {
		runner.planIfDue(ctx)
		changes, err := runner.pool.TakeUnrecorded()
		if err != nil {
			r.partition.host.events.Event("record-failed", "pool", runner.pool.Name(), "error", err)
			continue
		}
		if changes.Empty() {
			continue
		}
		batches = append(batches, poolBatch{runner, changes})
		for id, data := range changes.Progress {
			records = append(records, keyedlog.Record{Key: keyProgress + string(id), Value: data})
		}
	}
	written := len(records) == 0 || r.append(ctx, records)
	if written {
		r.partition.apply(withPrefix(records, keyCancel))
	}
	r.answer(submitted, written)
	for _, b := range batches {
		if written {
			b.runner.startAll(ctx, b.runner.pool.Recorded(b.changes, r.partition.host.now()))
			b.runner.recorded.notify()
			b.runner.signal()
		} else {
			b.runner.pool.RecordFailed(b.changes)
		}
	}
	if !written {
		r.signal()
	}
}

func withPrefix(records []keyedlog.Record, prefix string) []keyedlog.Record {
	var found []keyedlog.Record
	for _, record := range records {
		if strings.HasPrefix(record.Key, prefix) {
			found = append(found, record)
		}
	}
	return found
}

// answer reports the outcome of submitted records to the callers and peers that wait.
func (r *recorder) answer(submitted []*submittedRecord, written bool) {
	for _, s := range submitted {
		if written {
			s.done <- verdict.Ran
			continue
		}
		// The append may have succeeded although its answer was lost.
		s.done <- verdict.MayHaveRun
	}
}

// append retries until the log confirms the records, and returns false if the tenure
// ends first.
func (r *recorder) append(ctx context.Context, records []keyedlog.Record) bool {
	err := r.appender.append(ctx, records)
	if errors.Is(err, keyedlog.ErrFenced) {
		r.partition.onFenced()
		<-ctx.Done()
	}
	return err == nil
}

func dropRecords(ids []job.ID) []keyedlog.Record {
	records := make([]keyedlog.Record, 0, 3*len(ids))
	for _, id := range ids {
		for _, prefix := range []string{keyJob, keyProgress, keyCancel} {
			records = append(records, keyedlog.Record{Key: prefix + string(id)})
		}
	}
	return records
}

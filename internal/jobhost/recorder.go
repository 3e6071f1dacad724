package jobhost

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

var errTenureOver = errors.New("the tenure has ended or is not confirmed; no order was sent")

// recorder writes the records of a partition's pools, callers and peers to the log. It
// sends one append at a time, in order, and batches what accumulates meanwhile.
type recorder struct {
	partition *partition
	wake      chan struct{}
	dropped   chan []keyedlog.Record
	appender  *appender

	mu sync.Mutex
	// submitted holds the records of callers and peers for the next append.
	submitted []*submittedRecord
	// taken holds the records that were taken for an append and may not be applied to the partition yet.
	taken  []*submittedRecord
	closed bool
}

// close refuses the queued records, and all later ones, at the end of the tenure.
func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for _, s := range r.submitted {
		s.done <- ownerChanged
	}
	r.submitted = nil
}

func newRecorder(p *partition) *recorder {
	return &recorder{
		partition: p, wake: make(chan struct{}, 1), dropped: make(chan []keyedlog.Record, 1), appender: newAppender(p.host, p.id, p.token),
	}
}

func (r *recorder) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// drop appends records that delete others. If another drop is still queued, this one is skipped
// and left to the sweep of a later owner.
func (r *recorder) drop(records []keyedlog.Record) {
	if len(records) == 0 {
		return
	}
	select {
	case r.dropped <- records:
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
		wait(ctx, retryPause)
	}
}

// run writes records until ctx ends.
func (r *recorder) run(ctx context.Context) {
	defer r.close()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case dropped := <-r.dropped:
			for _, records := range r.partition.host.settings.LogLimits.Split(dropped) {
				if !r.append(ctx, records) {
					break
				}
			}
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
	submitted, records := r.refuseOthers(r.takeSubmitted())
	r.applied()
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
		for id, parts := range changes.Progress {
			records = append(records, progressRecords(id, parts)...)
		}
	}
	lost, written := r.appendAll(ctx, records)
	if written {
		r.giveUp(lost)
		r.partition.apply(append(withPrefix(records, keyCancel), withPrefix(records, keyRevocation)...))
	}
	r.answer(submitted, lost, written)
	for _, b := range batches {
		if written {
			b.runner.startAll(ctx, b.runner.pool.Recorded(b.changes, r.partition.host.now()))
			b.runner.recorded.notify()
			if len(records) > 0 {
				b.runner.signal()
			}
		} else {
			b.runner.pool.RecordFailed(b.changes)
		}
	}
	if !written {
		r.signal()
	}
}

// appendAll appends records in as many calls as their size needs, and returns the keys of those
// that the log refuses for good; written is false if the tenure has ended before. One record that
// can't be kept must not hold up the others.
func (r *recorder) appendAll(ctx context.Context, records []keyedlog.Record) (lost map[string]struct{}, written bool) {
	lost = map[string]struct{}{}
	limits := r.partition.host.settings.LogLimits
	fitting := slices.DeleteFunc(slices.Clone(records), func(record keyedlog.Record) bool {
		fits := limits.Fits(&record)
		if !fits {
			r.refused(&record, lost)
		}
		return !fits
	})
	for _, call := range limits.Split(fitting) {
		if len(call) > 0 && !r.appendCall(ctx, call, lost) {
			return lost, false
		}
	}
	return lost, true
}

// appendCall appends the records of one call. If the log refuses them for good, it finds out which.
func (r *recorder) appendCall(ctx context.Context, records []keyedlog.Record, lost map[string]struct{}) bool {
	err := r.appendOnce(ctx, records)
	if !refused(err) {
		return err == nil
	}
	if len(records) == 1 {
		r.refused(&records[0], lost)
		return true
	}
	half := len(records) / 2
	return r.appendCall(ctx, records[:half], lost) && r.appendCall(ctx, records[half:], lost)
}

// refused notes that the log won't ever take a record.
func (r *recorder) refused(record *keyedlog.Record, lost map[string]struct{}) {
	lost[record.Key] = struct{}{}
	r.partition.host.events.Event("record-refused", "topic", r.partition.id.Topic, "partition", r.partition.id.Number, "key", record.Key,
		"bytes", record.Size(), "limit", r.partition.host.settings.LogLimits.Record)
}

// giveUp ends the jobs of which the log refuses a record: a job that is not kept was not accepted,
// and one whose progress can't be kept fails.
func (r *recorder) giveUp(lost map[string]struct{}) {
	for key := range lost {
		switch prefix, id, _ := parseKey(key); prefix {
		case keyJob:
			r.partition.discard(id)
		case keyProgress:
			r.partition.fail(id)
		}
	}
}

// answer reports the outcome of submitted records to the callers and peers that wait.
func (r *recorder) answer(submitted []*submittedRecord, lost map[string]struct{}, written bool) {
	for _, s := range submitted {
		_, isLost := lost[s.record.Key]
		switch {
		case isLost:
			s.done <- tooLarge
		case written:
			s.done <- outcome{verdict: verdict.Ran}
		default:
			// The append may have succeeded although its answer was lost.
			s.done <- unconfirmed
		}
	}
}

// append retries until the log confirms the records, and returns false if the tenure
// ends first or the log refuses them for good.
func (r *recorder) append(ctx context.Context, records []keyedlog.Record) bool {
	return r.appendOnce(ctx, records) == nil
}

func (r *recorder) appendOnce(ctx context.Context, records []keyedlog.Record) error {
	err := r.appender.append(ctx, records)
	if errors.Is(err, keyedlog.ErrFenced) {
		r.partition.onFenced()
		<-ctx.Done()
	}
	return err
}

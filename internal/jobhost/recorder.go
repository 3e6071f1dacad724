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

var errTenureOver = errors.New("the tenure is over or not confirmed; nothing is ordered")

// recorder writes what has ended in a partition's pools: one append for all that
// came meanwhile, one at a time, in order.
type recorder struct {
	partition *partition
	wake      chan struct{}
	dropped   chan []job.ID
	appender  *appender

	mu sync.Mutex
	// submitted are the records that callers and peers wait for.
	submitted []*submittedRecord
	closed    bool
}

// submittedRecord is a record to be written with the next append.
type submittedRecord struct {
	record keyedlog.Record
	// sent is set once an append that has it may have been sent.
	sent bool
	done chan verdict.Verdict
}

// submit writes a record with the next append and waits for it.
func (r *recorder) submit(ctx context.Context, record keyedlog.Record) (verdict.Verdict, string) {
	s := &submittedRecord{record: record, done: make(chan verdict.Verdict, 1)}
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return verdict.NotRun, "the partition's owner has changed"
	}
	r.submitted = append(r.submitted, s)
	r.mu.Unlock()
	r.signal()
	select {
	case v := <-s.done:
		return v, "the partition's owner has changed"
	case <-ctx.Done():
		return r.withdraw(s), "the log did not answer the partition's owner in time"
	}
}

// withdraw takes a record back; one that may have been sent may be written.
func (r *recorder) withdraw(s *submittedRecord) verdict.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.sent {
		return verdict.MayHaveRun
	}
	r.submitted = slices.DeleteFunc(r.submitted, func(other *submittedRecord) bool { return other == s })
	return verdict.NotRun
}

// takeSubmitted takes the records that wait, for an append that is sent now.
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

// close answers what still waits when the tenure has ended.
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

// drop forgets jobs in the log; if another drop still waits, the next sweep of a
// later owner does it.
func (r *recorder) drop(ids []job.ID) {
	if len(ids) == 0 {
		return
	}
	select {
	case r.dropped <- ids:
	default:
	}
}

// claim refuses the appends of earlier owners from here on.
func (r *recorder) claim(ctx context.Context) {
	for ctx.Err() == nil {
		if r.append(ctx, nil) {
			return
		}
	}
}

// run records until ctx ends.
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

// taken is what one pool gave to be recorded.
type taken struct {
	runner *poolRunner
	what   schedule.Unrecorded
}

func (r *recorder) record(ctx context.Context) {
	var all []taken
	submitted := r.takeSubmitted()
	records := make([]keyedlog.Record, 0, len(submitted))
	for _, s := range submitted {
		records = append(records, s.record)
	}
	// Jobs are placed at once, so that one append records both; nothing is sent before
	// it. Cancels count once they are recorded.
	r.partition.take(withPrefix(records, keyJob))
	for _, runner := range r.partition.runners() {
		runner.plan(ctx)
		what, err := runner.pool.TakeUnrecorded()
		if err != nil {
			r.partition.host.events.Event("record-failed", "pool", runner.pool.Name(), "error", err)
			continue
		}
		if what.Empty() {
			continue
		}
		all = append(all, taken{runner, what})
		for id, data := range what.Progress {
			records = append(records, keyedlog.Record{Key: keyProgress + string(id), Value: data})
		}
	}
	written := len(records) == 0 || r.append(ctx, records)
	if written {
		r.partition.take(withPrefix(records, keyCancel))
	}
	r.answer(submitted, written)
	for _, t := range all {
		if written {
			t.runner.startAll(ctx, t.runner.pool.Recorded(t.what, r.partition.host.now()))
			t.runner.signal()
		} else {
			t.runner.pool.Unwritten(t.what)
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

// answer tells callers and peers what became of their records.
func (r *recorder) answer(submitted []*submittedRecord, written bool) {
	for _, s := range submitted {
		if written {
			s.done <- verdict.Ran
			continue
		}
		// The append may have been done without an answer.
		s.done <- verdict.MayHaveRun
	}
}

// append writes records until they are certainly there; it gives up when the
// tenure ends.
func (r *recorder) append(ctx context.Context, records []keyedlog.Record) bool {
	err := r.appender.append(ctx, records)
	if errors.Is(err, keyedlog.ErrFenced) {
		r.partition.lost()
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

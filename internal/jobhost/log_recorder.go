package jobhost

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/pause"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

// logRecorder adds what callers ask to the log, through a peer when the log turns
// this entry host away.
type logRecorder struct {
	host *JobHost

	mu      sync.Mutex
	batches map[keyedlog.Partition]*batch
}

// batch gathers the records that come while an append is on its way.
type batch struct {
	records []keyedlog.Record
	done    chan struct{}
	err     error
}

const (
	// submitTimeout bounds an append for callers.
	submitTimeout = 2500 * time.Millisecond
	// submitRetry is the pause before an append is tried again.
	submitRetry = 100 * time.Millisecond
	// submitPatience is how long a record is tried that nobody has taken yet; a new
	// owner is there within it.
	submitPatience = time.Second
	// slowLog is the latency from which on only owners append: others would stand in
	// line before them.
	slowLog = 40 * time.Millisecond
	// relayPeers is how many peers are asked when the log turns this entry host away.
	relayPeers = 2
)

func newLogRecorder(h *JobHost) *logRecorder {
	return &logRecorder{host: h, batches: map[keyedlog.Partition]*batch{}}
}

// Submit records a job.
func (l *logRecorder) Submit(ctx context.Context, j *job.Job) error {
	data, err := j.Marshal()
	if err != nil {
		return err
	}
	began := time.Now()
	err = l.add(ctx, j.Pool, keyedlog.Record{Key: keyJob + string(j.ID), Value: data})
	l.host.metrics.submit.observe(time.Since(began), err)
	return err
}

// Cancel records a cancel.
func (l *logRecorder) Cancel(ctx context.Context, pool string, id job.ID) error {
	began := time.Now()
	err := l.add(ctx, pool, keyedlog.Record{Key: keyCancel + string(id), Value: []byte{1}})
	l.host.metrics.cancel.observe(time.Since(began), err)
	return err
}

// add has the partition's owner append a record, with all else that it writes; it
// appends the record itself if the owner can't, and asks other peers if the log
// turns this entry host away. The records are whole and keyed, so that one which is
// added twice changes nothing: while an answer is missing, the record is added again.
func (l *logRecorder) add(ctx context.Context, pool string, record keyedlog.Record) error {
	partition := l.host.partitionOf(pool)
	mayHaveRun := false
	began := l.host.now()
	for {
		v, message := l.addOnce(ctx, pool, partition, record)
		if v == verdict.Ran {
			return nil
		}
		mayHaveRun = mayHaveRun || v != verdict.NotRun
		if !mayHaveRun && l.host.now().Sub(began) > submitPatience {
			return verdict.Refuse(verdict.CauseNotServing, "the log can't be reached: "+message)
		}
		if pause.For(ctx, submitRetry) != nil {
			if !mayHaveRun {
				return verdict.Refuse(verdict.CauseDeadline, "the log could not be reached in time: "+message)
			}
			return verdict.Doubt(verdict.CauseClaimFailed, "the log did not say whether it took the record: "+message)
		}
	}
}

// addOnce tries each way once; Ran means that the record is in the log.
func (l *logRecorder) addOnce(ctx context.Context, pool string, partition keyedlog.Partition, record keyedlog.Record) (verdict.Verdict, string) {
	result, message := verdict.NotRun, "no entry host is in contact with it"
	note := func(v verdict.Verdict, text string) bool {
		if v != verdict.NotRun {
			result = v
		}
		message = text
		return v == verdict.Ran
	}
	if p := l.host.held(partition); p != nil {
		if note(p.recorder.submit(ctx, record)) {
			return result, message
		}
	} else if address, ok := l.host.directory.ownerOf(ctx, pool); ok {
		if note(l.relay(ctx, address, partition, record)) {
			return result, message
		}
	}
	if l.host.inContact() && l.host.keeper.Latency() > slowLog {
		return result, "the log is slow, and the partition's owner does not answer"
	}
	if l.host.inContact() {
		note(verdictOf(l.append(ctx, partition, record)))
		return result, message
	}
	peers := l.host.directory.members(ctx)
	for _, address := range peers[:min(relayPeers, len(peers))] {
		if ctx.Err() != nil || note(l.relay(ctx, address, partition, record)) {
			break
		}
	}
	return result, message
}

func verdictOf(err error) (verdict.Verdict, string) {
	if err == nil {
		return verdict.Ran, ""
	}
	e := verdict.Of(err)
	return e.Verdict, e.Message
}

// append adds a record with the next batch of its partition.
func (l *logRecorder) append(ctx context.Context, partition keyedlog.Partition, record keyedlog.Record) error {
	l.mu.Lock()
	b, running := l.batches[partition]
	if b == nil {
		b = &batch{done: make(chan struct{})}
		l.batches[partition] = b
	}
	b.records = append(b.records, record)
	l.mu.Unlock()
	if !running && !l.host.spawn(func() { l.flush(partition, b) }) {
		return verdict.Refuse(verdict.CauseShuttingDown, "this entry host is shutting down; try another")
	}
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return verdict.Doubt(verdict.CauseDeadline, "the caller's time is over before the log answered")
	}
}

// flush appends batches of a partition until none is left.
func (l *logRecorder) flush(partition keyedlog.Partition, first *batch) {
	for b := first; b != nil; {
		l.mu.Lock()
		// What comes from here on is the next batch; an empty one shows that an append runs.
		next := &batch{done: make(chan struct{})}
		l.batches[partition] = next
		l.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
		b.err = l.host.platform.Log.Append(ctx, partition, b.records, nil)
		cancel()
		close(b.done)
		l.mu.Lock()
		b = next
		if len(next.records) == 0 {
			delete(l.batches, partition)
			b = nil
		}
		l.mu.Unlock()
	}
}

// relay asks a peer to add a record.
func (l *logRecorder) relay(ctx context.Context, address netip.AddrPort, partition keyedlog.Partition, record keyedlog.Record) (verdict.Verdict, string) {
	if l.host.directory.unreachable(address) {
		return verdict.NotRun, "peer " + address.String() + " did not answer lately"
	}
	reply, err := l.host.peers.Relay(ctx, address, &wire.RelayRequest{
		Partition: int32(partition.Number), Key: record.Key, Value: record.Value, //nolint:gosec // Below Partitions.
	})
	if err != nil {
		l.host.directory.unanswered(address)
		return verdict.Of(err).Verdict, err.Error()
	}
	return verdict.Verdict(reply.GetVerdict()), reply.GetMessage()
}

// relayHere adds a record for a peer.
func (h *JobHost) relayHere(ctx context.Context, request *wire.RelayRequest) *wire.RelayReply {
	partition := keyedlog.Partition{Topic: TopicJobs, Number: int(request.GetPartition())}
	record := keyedlog.Record{Key: request.GetKey(), Value: request.GetValue()}
	v, message := verdict.NotRun, "this entry host is not in contact with the log"
	if p := h.held(partition); p != nil {
		v, message = p.recorder.submit(ctx, record)
	} else if h.inContact() {
		v, message = verdictOf(h.recorder.append(ctx, partition, record))
	}
	return &wire.RelayReply{Verdict: string(v), Message: message}
}

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

// logRecorder adds callers' jobs and cancels to the log: through the owner of the pool's
// partition, directly, or through other peers when the log does not answer this entry host.
type logRecorder struct {
	host *JobHost

	mu      sync.Mutex
	batches map[keyedlog.Partition]*batch
}

// batch collects the records that arrive while an append is in flight.
type batch struct {
	records []keyedlog.Record
	done    chan struct{}
	err     error
}

const (
	// submitTimeout bounds one append of a batch of callers' records.
	submitTimeout = 2500 * time.Millisecond
	// submitRetryPause is the pause before a record is submitted again.
	submitRetryPause = 100 * time.Millisecond
	// submitRefuseAfter is how long a record is retried as long as no attempt may have
	// added it; a partition gets a new owner within that time.
	submitRefuseAfter = time.Second
	// slowLogLatency is the log latency above which only owners append, since the appends
	// of other entry hosts would delay theirs.
	slowLogLatency = 40 * time.Millisecond
	// relayPeers is how many peers are tried when the log does not answer this entry host.
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

// add has the partition's owner append a record together with its own writes. If the
// owner can't, this entry host appends it itself, or asks other peers if the log does not
// answer. It retries until an attempt succeeds, until ctx ends, or for submitRefuseAfter
// while no attempt may have added the record. Records are keyed and self-contained, so that
// adding one twice changes nothing.
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
		if !mayHaveRun && l.host.now().Sub(began) > submitRefuseAfter {
			return verdict.NotRunError(verdict.CauseNotServing, "the log can't be reached: "+message)
		}
		if pause.For(ctx, submitRetryPause) != nil {
			if !mayHaveRun {
				return verdict.NotRunError(verdict.CauseDeadline, "the log could not be reached in time: "+message)
			}
			return verdict.MayHaveRunError(verdict.CauseClaimFailed, "the log did not confirm whether the record was added: "+message)
		}
	}
}

// addOnce tries the owner, the log and peers once each, until one succeeds. It returns Ran
// if the record is in the log, and NotRun only if no attempt may have added it.
func (l *logRecorder) addOnce(ctx context.Context, pool string, partition keyedlog.Partition, record keyedlog.Record) (verdict.Verdict, string) {
	result, message := verdict.NotRun, "no entry host is in contact with it"
	merge := func(v verdict.Verdict, text string) bool {
		if v != verdict.NotRun {
			result = v
		}
		message = text
		return v == verdict.Ran
	}
	if p := l.host.ownedPartition(partition); p != nil {
		if merge(p.recorder.submit(ctx, record)) {
			return result, message
		}
	} else if address, ok := l.host.directory.ownerOf(ctx, pool); ok {
		if merge(l.relay(ctx, address, partition, record)) {
			return result, message
		}
	}
	if l.host.inContact() && l.host.keeper.Latency() > slowLogLatency {
		return result, "the log is slow, and the partition's owner does not answer"
	}
	if l.host.inContact() {
		merge(verdictOf(l.append(ctx, partition, record)))
		return result, message
	}
	peers := l.host.directory.members(ctx)
	for _, address := range peers[:min(relayPeers, len(peers))] {
		if ctx.Err() != nil || merge(l.relay(ctx, address, partition, record)) {
			break
		}
	}
	return result, message
}

func verdictOf(err error) (verdict.Verdict, string) {
	if err == nil {
		return verdict.Ran, ""
	}
	e := verdict.FromError(err)
	return e.Verdict, e.Message
}

// append adds a record to the next batch of its partition and waits for its outcome.
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
		return verdict.NotRunError(verdict.CauseShuttingDown, "this entry host is shutting down; try another")
	}
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return verdict.MayHaveRunError(verdict.CauseDeadline, "the caller's deadline passed before the log answered")
	}
}

// flush appends a partition's batches, beginning with first, until the next one is empty.
func (l *logRecorder) flush(partition keyedlog.Partition, first *batch) {
	for b := first; b != nil; {
		l.mu.Lock()
		// Records that arrive during the append go into the next batch. Its presence in
		// the map, even while empty, shows that an append is running.
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
		return verdict.NotRun, "peer " + address.String() + " did not answer recently"
	}
	reply, err := l.host.peers.Relay(ctx, address, &wire.RelayRequest{
		Partition: int32(partition.Number), Key: record.Key, Value: record.Value, //nolint:gosec // Below Partitions.
	})
	if err != nil {
		l.host.directory.markUnresponsive(address)
		return verdict.FromError(err).Verdict, err.Error()
	}
	return verdict.Verdict(reply.GetVerdict()), reply.GetMessage()
}

// addForPeer adds a record on behalf of a peer.
func (h *JobHost) addForPeer(ctx context.Context, request *wire.RelayRequest) *wire.RelayReply {
	partition := keyedlog.Partition{Topic: TopicJobs, Number: int(request.GetPartition())}
	record := keyedlog.Record{Key: request.GetKey(), Value: request.GetValue()}
	v, message := verdict.NotRun, "this entry host is not in contact with the log"
	if p := h.ownedPartition(partition); p != nil {
		v, message = p.recorder.submit(ctx, record)
	} else if h.inContact() {
		v, message = verdictOf(h.recorder.append(ctx, partition, record))
	}
	return &wire.RelayReply{Verdict: string(v), Message: message}
}

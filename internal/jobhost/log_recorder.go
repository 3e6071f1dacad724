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

// submitter adds callers' jobs and cancels to the log: through the owner of the pool's
// partition, directly, or through other peers when the log does not answer this entry host.
type submitter struct {
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

func newSubmitter(h *JobHost) *submitter {
	return &submitter{host: h, batches: map[keyedlog.Partition]*batch{}}
}

// Submit records a job.
func (s *submitter) Submit(ctx context.Context, j *job.Job) error {
	data, err := j.Marshal()
	if err != nil {
		return err
	}
	began := time.Now()
	err = s.add(ctx, s.host.partitionOf(j.Pool), keyedlog.Record{Key: keyJob + string(j.ID), Value: data})
	s.host.metrics.submit.observe(time.Since(began), err)
	return err
}

// Cancel records a cancel in a partition.
func (s *submitter) Cancel(ctx context.Context, partition int, id job.ID) error {
	began := time.Now()
	err := s.add(ctx, jobsPartition(partition), keyedlog.Record{Key: keyCancel + string(id), Value: []byte{1}})
	s.host.metrics.cancel.observe(time.Since(began), err)
	return err
}

// add has the partition's owner append a record together with its own writes. If the
// owner can't, this entry host appends it itself, or asks other peers if the log does not
// answer. It retries until an attempt succeeds, until ctx ends, or for submitRefuseAfter
// while no attempt may have added the record. Records are keyed and self-contained, so that
// adding one twice changes nothing.
func (s *submitter) add(ctx context.Context, partition keyedlog.Partition, record keyedlog.Record) error {
	mayHaveRun := false
	began := s.host.now()
	for {
		v, message := s.addOnce(ctx, partition, record)
		if v == verdict.Ran {
			return nil
		}
		mayHaveRun = mayHaveRun || v != verdict.NotRun
		if !mayHaveRun && s.host.now().Sub(began) > submitRefuseAfter {
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

// addOnce tries the owner first, and then the log, or peers if the log does not answer this
// entry host, once each until one succeeds. It does not append to a slow log itself. It
// returns Ran if the record is in the log, and NotRun only if no attempt may have added it.
func (s *submitter) addOnce(ctx context.Context, partition keyedlog.Partition, record keyedlog.Record) (verdict.Verdict, string) {
	result, message := verdict.NotRun, "no entry host is in contact with it"
	merge := func(v verdict.Verdict, text string) bool {
		if v != verdict.NotRun {
			result = v
		}
		message = text
		return v == verdict.Ran
	}
	if p := s.host.ownedPartition(partition); p != nil {
		if merge(p.recorder.submit(ctx, record)) {
			return result, message
		}
	} else if address, ok := s.host.directory.ownerOfPartition(ctx, partition); ok {
		if merge(s.relay(ctx, address, partition, record)) {
			return result, message
		}
	}
	if s.host.inContact() && s.host.logLatency() > slowLogLatency {
		return result, "the log is slow, and the partition's owner does not answer"
	}
	if s.host.inContact() {
		merge(verdictOf(s.append(ctx, partition, record)))
		return result, message
	}
	peers := s.host.directory.ownerAddresses(ctx)
	for _, address := range peers[:min(relayPeers, len(peers))] {
		if ctx.Err() != nil || merge(s.relay(ctx, address, partition, record)) {
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
func (s *submitter) append(ctx context.Context, partition keyedlog.Partition, record keyedlog.Record) error {
	s.mu.Lock()
	b, running := s.batches[partition]
	if b == nil {
		b = &batch{done: make(chan struct{})}
		s.batches[partition] = b
	}
	b.records = append(b.records, record)
	s.mu.Unlock()
	if !running && !s.host.spawn(func() { s.flush(partition, b) }) {
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
func (s *submitter) flush(partition keyedlog.Partition, first *batch) {
	for b := first; b != nil; {
		s.mu.Lock()
		// Records that arrive during the append go into the next batch. Its presence in
		// the map, even while empty, shows that an append is running.
		next := &batch{done: make(chan struct{})}
		s.batches[partition] = next
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
		b.err = s.host.platform.Log.Append(ctx, partition, b.records, nil)
		cancel()
		close(b.done)
		s.mu.Lock()
		b = next
		if len(next.records) == 0 {
			delete(s.batches, partition)
			b = nil
		}
		s.mu.Unlock()
	}
}

// relay asks a peer to add a record.
func (s *submitter) relay(ctx context.Context, address netip.AddrPort, partition keyedlog.Partition, record keyedlog.Record) (verdict.Verdict, string) {
	if s.host.directory.unresponsive(address) {
		return verdict.NotRun, "peer " + address.String() + " did not answer recently"
	}
	reply, err := s.host.peers.Relay(ctx, address, &wire.RelayRequest{
		Partition: int32(partition.Number), Key: record.Key, Value: record.Value, //nolint:gosec // Below Partitions.
	})
	if err != nil {
		s.host.directory.markUnresponsive(address)
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
		v, message = verdictOf(h.submitter.append(ctx, partition, record))
	}
	return &wire.RelayReply{Verdict: string(v), Message: message}
}

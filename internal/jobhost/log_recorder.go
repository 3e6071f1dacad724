package jobhost

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/intake"
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

	mu sync.Mutex
	// pending holds the records that have arrived while an append to their partition is in flight,
	// which the presence of the partition shows.
	pending map[keyedlog.Partition][]pendingRecord
}

// pendingRecord is a record of a caller that waits to be appended.
type pendingRecord struct {
	record keyedlog.Record
	done   chan error
}

const (
	// submitTimeout bounds one append of callers' records.
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
	return &submitter{host: h, pending: map[keyedlog.Partition][]pendingRecord{}}
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
	err := s.add(ctx, jobsPartition(partition), cancelRecord(id))
	s.host.metrics.cancel.observe(time.Since(began), err)
	return err
}

// Revoke records the cancel of a job that the partition may not know yet.
func (s *submitter) Revoke(ctx context.Context, partition int, id job.ID, r intake.Revocation) error {
	record, err := revocationRecord(id, r)
	if err != nil {
		return err
	}
	began := time.Now()
	err = s.add(ctx, jobsPartition(partition), record)
	s.host.metrics.cancel.observe(time.Since(began), err)
	return err
}

// add has the partition's owner append a record together with its own writes. If the
// owner can't, this entry host appends it itself, or asks other peers if the log does not
// answer. It retries until an attempt succeeds, until ctx ends, or for submitRefuseAfter
// while no attempt may have added the record. Records are keyed and self-contained, so that
// adding one twice changes nothing. A job that the owner rejects is not added in another way.
func (s *submitter) add(ctx context.Context, partition keyedlog.Partition, record keyedlog.Record) error {
	mayHaveRun := false
	began := s.host.now()
	if !s.host.settings.LogLimits.Fits(&record) {
		return verdict.NotRunError(verdict.CauseTooLarge, fmt.Sprintf("the job takes %d bytes in the log, which keeps %d", record.Size(), s.host.settings.LogLimits.Record))
	}
	for {
		o := s.addOnce(ctx, partition, record)
		message := o.message
		if o.verdict == verdict.Ran {
			return nil
		}
		mayHaveRun = mayHaveRun || o.verdict != verdict.NotRun
		if err := refusal(o, mayHaveRun); err != nil {
			return err
		}
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
func (s *submitter) addOnce(ctx context.Context, partition keyedlog.Partition, record keyedlog.Record) outcome {
	result := outcome{verdict: verdict.NotRun, message: "no entry host is in contact with it"}
	merge := func(o outcome) bool {
		if o.verdict != verdict.NotRun {
			result.verdict = o.verdict
		}
		result.message, result.refused, result.otherOrganisation, result.retryAfter = o.message, o.refused, o.otherOrganisation, o.retryAfter
		return o.verdict == verdict.Ran || o.refused || o.retryAfter > 0
	}
	if p := s.host.ownedPartition(partition); p != nil {
		if merge(p.submit(ctx, record)) {
			return result
		}
	} else if address, ok := s.host.directory.ownerOfPartition(ctx, partition); ok {
		if merge(s.relay(ctx, address, partition, record)) {
			return result
		}
	}
	if s.host.inContact() && s.host.logLatency() > slowLogLatency {
		result.message = "the log is slow, and the partition's owner does not answer"
		return result
	}
	if s.host.inContact() {
		merge(outcomeOf(s.append(ctx, partition, record)))
		return result
	}
	peers := s.host.directory.ownerAddresses(ctx)
	for _, address := range peers[:min(relayPeers, len(peers))] {
		if ctx.Err() != nil || merge(s.relay(ctx, address, partition, record)) {
			break
		}
	}
	return result
}

func outcomeOf(err error) outcome {
	if err == nil {
		return outcome{verdict: verdict.Ran}
	}
	e := verdict.FromError(err)
	return outcome{verdict: e.Verdict, message: e.Message, refused: refused(err)}
}

// append adds a record to the next append to its partition and waits for its outcome.
func (s *submitter) append(ctx context.Context, partition keyedlog.Partition, record keyedlog.Record) error {
	r := pendingRecord{record, make(chan error, 1)}
	s.mu.Lock()
	_, running := s.pending[partition]
	s.pending[partition] = append(s.pending[partition], r)
	s.mu.Unlock()
	if !running && !s.host.spawn(func() { s.flush(partition) }) {
		return verdict.NotRunError(verdict.CauseShuttingDown, "this entry host is shutting down; try another")
	}
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
		return verdict.MayHaveRunError(verdict.CauseDeadline, "the caller's deadline passed before the log answered")
	}
}

// flush appends the pending records of a partition until there are none.
func (s *submitter) flush(partition keyedlog.Partition) {
	for {
		s.mu.Lock()
		all := s.pending[partition]
		if len(all) == 0 {
			delete(s.pending, partition)
			s.mu.Unlock()
			return
		}
		s.pending[partition] = []pendingRecord{}
		s.mu.Unlock()
		records := make([]keyedlog.Record, 0, len(all))
		for _, r := range all {
			records = append(records, r.record)
		}
		for _, call := range s.host.settings.LogLimits.Split(records) {
			s.appendCall(partition, call, all[:len(call)])
			all = all[len(call):]
		}
	}
}

// appendCall appends records in one call, or one by one if the log refuses them together: others
// must not suffer for one of them.
func (s *submitter) appendCall(partition keyedlog.Partition, records []keyedlog.Record, all []pendingRecord) {
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	err := s.host.platform.Log.Append(ctx, partition, records, nil)
	cancel()
	if refused(err) && len(records) > 1 {
		for n := range records {
			s.appendCall(partition, records[n:n+1], all[n:n+1])
		}
		return
	}
	for _, r := range all {
		r.done <- err
	}
}

// relay asks a peer to add a record.
func (s *submitter) relay(ctx context.Context, address netip.AddrPort, partition keyedlog.Partition, record keyedlog.Record) outcome {
	if s.host.directory.unresponsive(address) {
		return outcome{verdict: verdict.NotRun, message: "peer " + address.String() + " did not answer recently"}
	}
	reply, err := s.host.peers.Relay(ctx, address, &wire.RelayRequest{
		Partition: int32(partition.Number), Key: record.Key, Value: record.Value, //nolint:gosec // Below Partitions.
	})
	if err != nil {
		s.host.directory.markUnresponsive(address)
		return outcome{verdict: verdict.FromError(err).Verdict, message: err.Error()}
	}
	return outcomeOfReply(reply)
}

// addForPeer adds a record on behalf of a peer.
func (h *JobHost) addForPeer(ctx context.Context, request *wire.RelayRequest) *wire.RelayReply {
	partition := jobsPartition(int(request.GetPartition()))
	record := keyedlog.Record{Key: request.GetKey(), Value: request.GetValue()}
	o := outcome{verdict: verdict.NotRun, message: "this entry host is not in contact with the log"}
	if p := h.ownedPartition(partition); p != nil {
		o = p.submit(ctx, record)
	} else if h.inContact() {
		o = outcomeOf(h.submitter.append(ctx, partition, record))
	}
	return relayReply(o)
}

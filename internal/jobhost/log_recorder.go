package jobhost

import (
	"context"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

// logRecorder adds what callers ask to the log, through a peer when the log turns
// this entry host away.
type logRecorder struct{ host *JobHost }

// submitTimeout bounds an append for a caller.
const submitTimeout = 1200 * time.Millisecond

// Submit records a job.
func (l logRecorder) Submit(ctx context.Context, j *job.Job) error {
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
func (l logRecorder) Cancel(ctx context.Context, pool string, id job.ID) error {
	began := time.Now()
	err := l.add(ctx, pool, keyedlog.Record{Key: keyCancel + string(id), Value: []byte{1}})
	l.host.metrics.cancel.observe(time.Since(began), err)
	return err
}

// add appends a record here, then through peers. The records are whole and keyed,
// so that one which is added twice changes nothing.
func (l logRecorder) add(ctx context.Context, pool string, record keyedlog.Record) error {
	partition := l.host.partitionOf(pool)
	call, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	err := l.host.platform.Log.Append(call, partition, []keyedlog.Record{record}, nil)
	if err == nil {
		return nil
	}
	mayHaveRun := verdict.Of(err).Verdict != verdict.NotRun
	for _, address := range l.host.directory.members(ctx) {
		if ctx.Err() != nil {
			break
		}
		reply, peerErr := l.host.peers.Relay(ctx, address, &wire.RelayRequest{
			Partition: int32(partition.Number), Key: record.Key, Value: record.Value, //nolint:gosec // Below Partitions.
		})
		switch {
		case peerErr != nil:
			mayHaveRun = true
		case verdict.Verdict(reply.GetVerdict()) == verdict.Ran:
			l.host.events.Event("record-relayed", "key", record.Key, "peer", address, "log-error", err)
			return nil
		case verdict.Verdict(reply.GetVerdict()) != verdict.NotRun:
			mayHaveRun = true
		}
	}
	if mayHaveRun {
		return verdict.Doubt(verdict.CauseClaimFailed, "the log did not say whether it took the record: "+err.Error())
	}
	return verdict.Refuse(verdict.CauseNotServing, "the log can't be reached: "+err.Error())
}

// relayHere appends a record for a peer.
func (h *JobHost) relayHere(ctx context.Context, request *wire.RelayRequest) *wire.RelayReply {
	partition := keyedlog.Partition{Topic: TopicJobs, Number: int(request.GetPartition())}
	record := keyedlog.Record{Key: request.GetKey(), Value: request.GetValue()}
	err := h.platform.Log.Append(ctx, partition, []keyedlog.Record{record}, nil)
	if err != nil {
		e := verdict.Of(err)
		return &wire.RelayReply{Verdict: string(e.Verdict), Message: e.Message}
	}
	return &wire.RelayReply{Verdict: string(verdict.Ran)}
}

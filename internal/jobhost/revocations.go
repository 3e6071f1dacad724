package jobhost

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeammast/hornbeammast/internal/coordination/intake"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

// revocations are the cancels of jobs that were not known, by job. They are kept for as long as the
// state of an ended job.
type revocations map[job.ID][]intake.Revocation

// revocationKey returns the key of a revocation. One by a caller that may see some jobs only must not
// replace that of another.
func revocationKey(id job.ID, scope intake.Scope) string {
	if !scope.Restricted {
		return keyRevocation + string(id)
	}
	return keyRevocation + string(id) + "/" + strconv.FormatUint(xxhash.Sum64String(scope.Organisation), 16)
}

func revocationRecord(id job.ID, r intake.Revocation) (keyedlog.Record, error) {
	data, err := proto.Marshal(&wire.Revocation{AtMs: r.At.UnixMilli(), Restricted: r.Scope.Restricted, Organisation: r.Scope.Organisation})
	return keyedlog.Record{Key: revocationKey(id, r.Scope), Value: data}, errors.Wrap(err, "marshal the cancel of a job")
}

// applyRevocation cancels a job, also if it comes later. The lock is held.
func (p *partition) applyRevocation(id job.ID, record keyedlog.Record) {
	m := &wire.Revocation{}
	if err := proto.Unmarshal(record.Value, m); err != nil {
		p.host.events.Event("record-unreadable", "topic", p.id.Topic, "partition", p.id.Number, "key", record.Key, "offset", record.Offset, "error", err)
		return
	}
	r := intake.Revocation{
		At: time.UnixMilli(m.GetAtMs()), Scope: intake.Scope{Restricted: m.GetRestricted(), Organisation: m.GetOrganisation()},
	}
	p.revoked.add(id, r)
	if t, ok := p.taken[id]; ok && p.revokes(r, t.job) {
		p.recordCancel(id)
		p.applyCancel(id)
	}
}

func (p *partition) revokes(r intake.Revocation, j *job.Job) bool {
	return r.Scope.Sees(intake.Status{Organisation: p.host.visibleTo(j.Organisation, j.QueueAddress)})
}

// revoke cancels a new job if it was cancelled before it came. The lock is held.
func (p *partition) revoke(state *jobs.Job) {
	for _, r := range p.revoked[state.ID] {
		if state.Ended() || !p.revokes(r, state.Job) {
			continue
		}
		p.host.events.Event("job-revoked", "job", state.ID, "pool", state.Pool, "cancelled-at", r.At, "accepted-at", state.AcceptedAt)
		state.Cancel(p.host.now())
		// The revocation may be dropped before the job is.
		p.recordCancel(state.ID)
	}
}

// recordCancel has the cancel of a job recorded for later owners.
func (p *partition) recordCancel(id job.ID) {
	p.recorder.enqueue(cancelRecord(id))
}

func cancelRecord(id job.ID) keyedlog.Record {
	return keyedlog.Record{Key: keyCancel + string(id), Value: []byte{1}}
}

// add adds a revocation in place of an earlier one of the same scope.
func (r revocations) add(id job.ID, added intake.Revocation) {
	for n := range r[id] {
		if r[id][n].Scope == added.Scope {
			r[id][n] = added
			return
		}
	}
	r[id] = append(r[id], added)
}

// expire drops the revocations from before a time and returns the records that delete them.
func (r revocations) expire(before time.Time) []keyedlog.Record {
	var dropped []keyedlog.Record
	for id, all := range r {
		kept := all[:0]
		for _, revocation := range all {
			if revocation.At.Before(before) {
				dropped = append(dropped, keyedlog.Record{Key: revocationKey(id, revocation.Scope)})
			} else {
				kept = append(kept, revocation)
			}
		}
		if r[id] = kept; len(kept) == 0 {
			delete(r, id)
		}
	}
	return dropped
}

package jobhost

import (
	"strings"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

// messageOtherOrganisation is part of the protocol between peers, since RelayReply has no field for
// it: a peer that does not know the text answers as for a record that the log refuses.
const messageOtherOrganisation = "the job ID is in use by another organisation"

// otherOrganisation is the outcome of a job whose ID another organisation uses.
var otherOrganisation = outcome{verdict: verdict.NotRun, message: messageOtherOrganisation, refused: true, otherOrganisation: true}

// refuseOthers applies submitted jobs and answers those that belong to another organisation. It
// returns what is left, with its records. Jobs are applied before they are recorded, so that one append
// records both the jobs and their placements; no start is sent before that append succeeds. Cancels
// take effect only once they are recorded.
func (r *recorder) refuseOthers(submitted []*submittedRecord) ([]*submittedRecord, []keyedlog.Record) {
	left, records := make([]*submittedRecord, 0, len(submitted)), make([]keyedlog.Record, 0, len(submitted))
	for _, s := range submitted {
		if !r.partition.applySubmitted(s.record) {
			s.done <- otherOrganisation
			continue
		}
		left, records = append(left, s), append(records, s.record)
	}
	return left, records
}

// known returns a job that the partition has read, whether or not it is known yet if the partition
// takes it. The lock is held.
func (p *partition) known(id job.ID) (takenJob, bool) {
	if t, ok := p.taken[id]; ok {
		return t, true
	}
	if h, ok := p.held[id]; ok {
		return takenJob{job: h.state.Job, sum: h.sum}, true
	}
	if state, ok := p.loading[id]; ok {
		return takenJob{job: state.Job}, true
	}
	return takenJob{}, false
}

// applySubmitted applies a submitted record of a job, and returns false if the job belongs to another
// organisation, which keeps it. Other records are applied once they are in the log.
func (p *partition) applySubmitted(record keyedlog.Record) bool {
	if !strings.HasPrefix(record.Key, keyJob) || len(record.Value) == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, id, _ := parseKey(record.Key); p.ofAnother(id, record) {
		return false
	}
	p.applyRecord(record)
	return true
}

// ofAnother reports whether the job that a record submits belongs to another organisation. A job
// without an organisation belongs to whoever repeats it. The lock is held.
func (p *partition) ofAnother(id job.ID, record keyedlog.Record) bool {
	first := p.forwarded[id].organisation
	if known, ok := p.known(id); ok {
		first = known.job.Organisation
	}
	if first == "" {
		return false
	}
	submitted, err := job.Unmarshal(record.Value)
	if err != nil || submitted.Organisation == "" || submitted.Organisation == first {
		return false
	}
	p.host.events.Event("job-of-another", "job", id, "partition", p.id.Number, "organisation", first, "refused", submitted.Organisation)
	return true
}

// restoreJob records the job that was taken again if the record of a repeat, which replaces it in
// the log, differs in what runs where or for whom: a later owner knows the newest record only. The lock is held.
func (p *partition) restoreJob(first, repeated *job.Job) {
	if first.SameWork(repeated) && first.Organisation == repeated.Organisation {
		return
	}
	data, err := first.Marshal()
	p.host.events.Event("job-repeated", "job", first.ID, "partition", p.id.Number, "pool", first.Pool, "repeat-pool", repeated.Pool,
		"config", first.ConfigVersion, "repeat-config", repeated.ConfigVersion, "error", err)
	if err == nil {
		p.recorder.enqueue(keyedlog.Record{Key: keyJob + string(first.ID), Value: data})
	}
}

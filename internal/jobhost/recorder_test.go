package jobhost

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

// pickyLog refuses appends with certain records for good.
type pickyLog struct {
	Log
	refuses map[string]bool
	kept    []string
}

func (l *pickyLog) Append(_ context.Context, _ keyedlog.Partition, records []keyedlog.Record, _ *keyedlog.Producer) error {
	for _, r := range records {
		if l.refuses[r.Key] {
			return verdict.NotRunError(verdict.CauseTooLarge, "never")
		}
	}
	for _, r := range records {
		l.kept = append(l.kept, r.Key)
	}
	return nil
}

// TestRefusedRecordHoldsUpNoOthers guards against an owner that sends records again for ever because
// the log never takes one of them.
func TestRefusedRecordHoldsUpNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &pickyLog{refuses: map[string]bool{"job/b": true, "progress/e": true}}
		a := newTestAppender(log)
		a.host.settings.LogLimits = keyedlog.Limits{Record: 100, Call: 150}
		r := &recorder{partition: &partition{host: a.host, id: a.partition}, appender: a}
		records := []keyedlog.Record{{Key: "job/large", Value: make([]byte, 100)}}
		for _, key := range []string{"job/a", "job/b", "job/c", "progress/d", "progress/e", "progress/f"} {
			records = append(records, keyedlog.Record{Key: key, Value: make([]byte, 30)})
		}
		lost, written := r.appendAll(t.Context(), records)
		if !written {
			t.Error("the records were not written")
		}
		if diff := cmp.Diff(map[string]struct{}{"job/large": {}, "job/b": {}, "progress/e": {}}, lost); diff != "" {
			t.Errorf("refused records (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff([]string{"job/a", "job/c", "progress/d", "progress/f"}, log.kept); diff != "" {
			t.Errorf("written records (-want +got):\n%s", diff)
		}
	})
}

// TestRefusedSubmissionsAreAnswered guards against a caller who waits for a record that the log never
// takes, and against others who suffer for it.
func TestRefusedSubmissionsAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &pickyLog{refuses: map[string]bool{"job/b": true}}
		h := newTestAppender(log).host
		s := newSubmitter(h)
		partition := keyedlog.Partition{Topic: TopicJobs}
		got := map[string]verdict.Verdict{}
		for _, id := range []job.ID{"a", "b", "c"} {
			began := time.Now()
			o := outcomeOf(s.append(t.Context(), partition, keyedlog.Record{Key: keyJob + string(id), Value: []byte{1}}))
			got[string(id)] = o.verdict
			if o.refused != (id == "b") || time.Since(began) > 0 {
				t.Errorf("job %s: refused for good: %v, after %s", id, o.refused, time.Since(began))
			}
		}
		if diff := cmp.Diff(map[string]verdict.Verdict{"a": verdict.Ran, "b": verdict.NotRun, "c": verdict.Ran}, got); diff != "" {
			t.Errorf("verdicts (-want +got):\n%s", diff)
		}
	})
}

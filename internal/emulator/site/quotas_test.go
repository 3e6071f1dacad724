package site

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// TestQuotaCheck shows that the ledger finds a start above the quota, and that a run counts until it
// has ended and an earlier quota while it may be in force.
func TestQuotaCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLedger()
		quota := func(version, cpu int64) {
			l.configured(withOrganisations(configuration, version, queue.Organisation{Name: "blue", Quota: worker.Resources{CPU: cpu}}))
		}
		quota(2, 4000)
		j := &job.Job{ID: JobID(1), Queue: "tiles", Organisation: "blue", Steps: []job.Step{newStep(9, 1000, time.Second)}, MaxAttempts: 3}
		l.submit(j, declared(j))
		start := func(index int) {
			l.started(&Worker{id: "w", pool: "maps"}, worker.StartOrder{Task: worker.TaskName{Job: string(j.ID), Index: index}, Run: 1}, declared(j)[0], false)
		}
		for index := range 5 {
			start(index)
		}
		quota(3, 1000)
		time.Sleep(quotaGrace / 2)
		if violations := l.Violations(); len(violations) > 0 {
			t.Errorf("violations within the quota and one task: %v", violations)
		}
		start(5)
		start(6)
		l.ended(nil, runKey{worker.TaskName{Job: string(j.ID), Index: 6}, 1}, worker.OutcomeDone)
		time.Sleep(quotaGrace)
		start(7)
		if violations := l.Violations(); len(violations) != 3 {
			t.Errorf("%d violations, want 3: two above the quota and one above the lowered one: %v", len(violations), violations)
		}
	})
}

// TestQuotaIsUsed guards against parts that stay at the floors: one pool wants most of the quota, then
// the other.
func TestQuotaIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 7)
		if err := f.site.Configure(withOrganisations(configuration, 2, queue.Organisation{Name: "blue", Quota: worker.Resources{CPU: 20000}})); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		f.organisations = []string{"blue"}
		for _, queueName := range []string{"tiles", "rebuild"} {
			for range 10 {
				f.submit(queueName, []job.Step{newStep(4, 1000, 4*time.Second)}, nil)
			}
			time.Sleep(3 * time.Second)
			if running := f.running("blue").CPU; running < 17000 {
				t.Errorf("%d of 20000 run while %s wants 40000", running, queueName)
			}
			time.Sleep(10 * time.Second)
		}
		f.finish()
	})
}

func (f *fixture) running(organisation string) worker.Resources {
	l := f.site.Ledger()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runningOf(organisation)
}

// TestRandomQuotas has random days on which organisations exceed their quotas, which change.
func TestRandomQuotas(t *testing.T) {
	for n := range *seeds {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandom(t, seed, changeQuotas) })
		})
	}
}

// changeQuotas changes the quotas during a random day. In the end, all jobs fit into them.
func changeQuotas(f *fixture) {
	s := f.site
	configure := func(version int64, blue, green int64) {
		if err := s.Configure(withOrganisations(
			configuration, version, queue.Organisation{Name: "blue", Quota: worker.Resources{CPU: blue}},
			queue.Organisation{Name: "green", Quota: worker.Resources{CPU: green, MemoryMB: 64000}},
		)); err != nil {
			f.t.Error(err)
		}
	}
	configure(2, 12000, 30000)
	f.mu.Lock()
	f.organisations = []string{"", "blue", "blue", "blue", "green"}
	f.mu.Unlock()
	for version := range int64(8) {
		time.Sleep(time.Duration(2000+s.randomIndex(5000)) * time.Millisecond)
		configure(3+version, int64(4000+s.randomIndex(20000)), int64(20000+s.randomIndex(20000)))
		for range s.randomIndex(2) * 8 {
			f.submitRandomJob()
		}
	}
	configure(11, 200000, 200000)
	f.t.Logf("the most that ran: blue %.2f, green %.2f of the quota", s.Ledger().QuotaPeak("blue"), s.Ledger().QuotaPeak("green"))
}

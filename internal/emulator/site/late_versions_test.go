package site

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// silentOperators leaves reads of what the operators publish unanswered.
var silentOperators = StoreFault{SilentTopic: recordCodec{}.OperatorPartition().Topic}

// silenceOperators leaves an entry host's reads of what the operators publish unanswered, once the one
// that waits for a record has ended.
func (f *fixture) silenceOperators(h *EntryHost) {
	f.site.SetStoreFault(h.Name, silentOperators)
	time.Sleep(1100 * time.Millisecond)
}

// expectVersion checks the version that an entry host has in force.
func (f *fixture) expectVersion(h *EntryHost, want int64) {
	f.t.Helper()
	if got := h.Configuration().Version; got != want {
		f.t.Errorf("%s has version %d in force; want %d", h.Name, got, want)
	}
}

// trimmedHook calls a function when an entry host finds that records which it has not read are gone.
type trimmedHook struct{ call func() }

func (h trimmedHook) Event(name string, _ ...any) {
	if name == "log-trimmed" {
		h.call()
	}
}

func TestLostAnswerToALoadDelaysNoVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f *fixture
		hook := trimmedHook{func() {
			f.site.SetStoreFault("a-0", silentOperators)
			time.AfterFunc(50*time.Millisecond, func() { f.site.SetStoreFault("a-0", StoreFault{}) })
		}}
		f = newFixtureOf(t, layout, configuration, 1, func(host string) Events {
			if host == "a-0" {
				return hook
			}
			return noEvents{}
		})
		f.silenceOperators(f.hosts[0])
		if err := f.site.Configure(&queue.Configuration{Version: 2, Queues: configuration.Queues, Pools: configuration.Pools}); err != nil {
			t.Fatal(err)
		}
		f.site.Compact()
		f.site.SetStoreFault("a-0", StoreFault{})
		time.Sleep(keyBound)
		f.expectVersion(f.hosts[0], 2)
		f.finish()
	})
}

func TestVersionComesFromPeersIfItsTopicIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMovedFixture(t, 2)
		h := f.hosts[0]
		f.silenceOperators(h)
		if err := f.site.Configure(movedTo(2, "charts")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(keyBound)
		f.expectVersion(h, 2)
		f.site.SetStoreFault(h.Name, StoreFault{})
		f.finish()
	})
}

func TestHostWithoutContactRefusesNoNewKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureOf(t, layout, WithKeys(configuration, 1, map[string][]string{"one": {"k-1"}}), 1, events(t))
		f.site.IsolateDataCentre("a", true)
		// The read that waits for a record ends.
		time.Sleep(1100 * time.Millisecond)
		if err := f.site.Configure(WithKeys(configuration, 2, twoOrganisations)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(keyBound + time.Second)
		for key, want := range map[string]verdict.Cause{"k-2": verdict.CauseNotServing, "k-none": verdict.CauseNotServing} {
			if _, err := f.site.IdentifyCaller(f.hosts[0], key, "tiles"); err == nil || verdict.FromError(err).Cause != want {
				t.Errorf("without contact, %s is answered with %v; want %s", key, err, want)
			}
		}
		if _, err := f.site.IdentifyCaller(f.hosts[0], "k-1", "tiles"); err != nil {
			t.Errorf("without contact, a known key is answered with %v", err)
		}
		f.site.IsolateDataCentre("a", false)
		time.Sleep(keyBound)
		if _, err := f.site.IdentifyCaller(f.hosts[0], "k-2", "tiles"); err != nil {
			t.Errorf("in contact again, the new key is answered with %v", err)
		}
		if _, err := f.site.IdentifyCaller(f.hosts[0], "k-none", "tiles"); err == nil || verdict.FromError(err).Cause != verdict.CauseUnauthorised {
			t.Errorf("in contact again, an unknown key is answered with %v", err)
		}
		f.finish()
	})
}

func TestPeersConfirmARefusalIfTheLogIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureOf(t, layout, WithKeys(configuration, 1, twoOrganisations), 1, events(t))
		h := f.hosts[0]
		time.Sleep(keyBound)
		f.silenceOperators(h)
		time.Sleep(2 * keyBound)
		if _, err := f.site.IdentifyCaller(h, "k-none", "tiles"); err == nil || verdict.FromError(err).Cause != verdict.CauseUnauthorised {
			t.Errorf("an unknown key is answered with %v; want unauthorised", err)
		}
		f.site.SetStoreFault(h.Name, StoreFault{})
		f.finish()
	})
}

func TestOwnerStartsNothingByAVersionThatItLacks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMovedFixture(t, 3)
		owner, other := f.site.Owner("charts"), f.hosts[0]
		if other == owner {
			other = f.hosts[1]
		}
		f.silenceOperators(owner)
		if err := f.site.Configure(movedTo(2, "charts")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		j := &job.Job{ID: JobID(1), Spec: "spec", Steps: []job.Step{newStep(1, 500, 5*time.Second)}}
		f.queue[j.ID] = "tiles"
		if err := f.site.SubmitWithKey(other, "", "tiles", j); err != nil {
			t.Fatal(err)
		}
		name := worker.TaskName{Job: string(j.ID)}
		for range 3000 {
			if f.site.Ledger().isRunning(name) {
				f.expectVersion(owner, 2)
				break
			}
			time.Sleep(time.Millisecond)
		}
		if !f.site.Ledger().isRunning(name) {
			t.Error("the job does not run")
		}
		f.site.SetStoreFault(owner.Name, StoreFault{})
		f.finish()
	})
}

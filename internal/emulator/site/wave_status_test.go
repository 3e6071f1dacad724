package site

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
)

// waveStatuses returns the newest status of each wave by its key; it is "true" once the wave is done.
func (s *Site) waveStatuses() map[string]string {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	statuses := map[string]string{}
	for _, r := range s.store.partition(recordCodec{}.WaveStatusPartition()).newest() {
		statuses[r.Key] = string(r.Value)
	}
	return statuses
}

// TestLateStatusOfAWave guards against a wave that is shown as running for good: the log adds the
// first status only after the wave is done.
func TestLateStatusOfAWave(t *testing.T) {
	runWithLateStatus(t, func(*fixture) {})
}

// TestLateStatusOfAFormerOwner: the owner of the machines ends before the log adds its status.
func TestLateStatusOfAFormerOwner(t *testing.T) {
	runWithLateStatus(t, func(f *fixture) {
		for n, h := range f.hosts {
			f.site.KillHost(h)
			again, err := f.site.StartHost(h.Name, h.DataCentre, 1+n)
			if err != nil {
				f.t.Fatal(err)
			}
			f.hosts[n] = again
		}
	})
}

// runWithLateStatus runs a wave whose first status takes effect after the wave, with an incident
// once that status was sent.
func runWithLateStatus(t *testing.T, incident func(*fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 6)
		time.Sleep(6 * time.Second)
		f.site.store.mu.Lock()
		f.site.store.lateAppends[recordCodec{}.WaveStatusPartition()] = 70 * time.Second
		f.site.store.mu.Unlock()
		if err := f.site.Publish(machine.Wave{Number: 1, Machines: f.site.Machines(), Duration: 60 * time.Second, MaxDown: 3}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		f.site.store.mu.Lock()
		sent := len(f.site.store.lateAppends) == 0
		f.site.store.mu.Unlock()
		if !sent {
			t.Fatal("no status was sent within a second")
		}
		incident(f)
		time.Sleep(65 * time.Second)
		before := f.site.waveStatuses()
		time.Sleep(20 * time.Second)
		want := map[string]string{keyWave + "1": "true"}
		if diff := cmp.Diff([]map[string]string{want, want}, []map[string]string{before, f.site.waveStatuses()}); diff != "" {
			t.Errorf("statuses of the waves after the wave, and after the late one (-want +got):\n%s", diff)
		}
		f.finish()
	})
}

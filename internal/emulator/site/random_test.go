package site

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// TestRandom injects random faults of all kinds under a load of all kinds of jobs.
func TestRandom(t *testing.T) {
	for n := range *seeds {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandom(t, seed) })
		})
	}
}

func runRandom(t *testing.T, seed uint64, beside ...func(*fixture)) {
	f := newFixture(t, seed)
	for _, b := range beside {
		f.wait.Go(func() { b(f) })
	}
	for _, perHost := range []int{1, 2} {
		f.submit("serving", []job.Step{{
			Tasks: 4, Needs: worker.Resources{CPU: 2000, MemoryMB: 4000}, LongRunning: true, MaxPerHost: perHost, MaxUnavailable: 1,
		}}, nil)
	}
	if err := f.site.Publish(machine.Wave{Number: 1, Machines: f.site.Machines(), Duration: 40 * time.Second, MaxDown: 3}); err != nil {
		t.Fatal(err)
	}
	end := time.Now().Add(40 * time.Second)
	f.wait.Go(func() {
		for time.Now().Before(end) {
			f.submitRandomJob()
			time.Sleep(time.Duration(50+300*f.site.random()) * time.Millisecond)
		}
	})
	for time.Now().Before(end) {
		time.Sleep(time.Duration(500+2500*f.site.random()) * time.Millisecond)
		f.injectRandomFault()
	}
	f.endFaults()
	f.finish()
}

func (f *fixture) submitRandomJob() {
	s := f.site
	first := newStep(1+s.randomIndex(6), int64(500+s.randomIndex(3000)), time.Duration(200+s.randomIndex(1500))*time.Millisecond)
	switch s.randomIndex(8) {
	case 0:
		first.Gang = true
		f.submit("rebuild", []job.Step{first}, nil)
	case 1:
		first.Speculative = true
		f.submit("tiles", []job.Step{first}, func(_ *job.Job, actual []taskBehaviour) { actual[0].duration *= 2 })
	case 2:
		first.SavesProgress, first.MaxPerHost = true, 2
		f.submit("rebuild", []job.Step{first, newStep(2, 1000, time.Second, 0)}, nil)
	case 3:
		f.submit("tiles", []job.Step{first}, func(_ *job.Job, actual []taskBehaviour) { actual[0].poison = s.chance(0.5) })
	case 4:
		f.submit("tiles", []job.Step{first}, func(j *job.Job, _ []taskBehaviour) {
			j.Occurrences, j.FirstAt, j.Interval = 3, time.Now().Add(time.Second), 2*time.Second
		})
	case 5:
		id := f.submit("rebuild", []job.Step{first}, nil)
		f.wait.Go(func() {
			time.Sleep(time.Duration(s.randomIndex(2000)) * time.Millisecond)
			s.Cancel("rebuild", id)
		})
	default:
		f.submit("tiles", []job.Step{first, newStep(1+s.randomIndex(3), 1000, 500*time.Millisecond, 0), newStep(1, 1000, 300*time.Millisecond, 0, 1)}, nil)
	}
}

func (f *fixture) injectRandomFault() {
	s := f.site
	duration := time.Duration(1000+s.randomIndex(8000)) * time.Millisecond
	during := func(begin, end func()) {
		begin()
		f.wait.Go(func() {
			time.Sleep(duration)
			end()
		})
	}
	host := ""
	if s.chance(0.6) {
		host = f.hosts[s.randomIndex(len(f.hosts))].Name
	}
	storeFault := func(fault StoreFault) {
		during(func() { s.SetStoreFault(host, fault) }, func() { s.SetStoreFault(host, StoreFault{}) })
	}
	switch s.randomIndex(14) {
	case 0:
		storeFault(StoreFault{Refuses: true})
	case 1:
		storeFault(StoreFault{Unresponsive: true})
	case 2:
		storeFault(StoreFault{LostAnswerShare: 0.3})
	case 3:
		storeFault(StoreFault{LatencyFactor: 50})
	case 4:
		s.CrashWorker(duration)
	case 5:
		s.IsolateWorker(duration)
	case 6:
		s.DrainWorker(3 * time.Second)
	case 7:
		s.Compact()
	case 8:
		s.Rebalance()
	case 9:
		dataCentre := layout.DataCentres[s.randomIndex(len(layout.DataCentres))]
		during(func() { s.IsolateDataCentre(dataCentre, true) }, func() { s.IsolateDataCentre(dataCentre, false) })
	case 10:
		during(func() { s.SetLostOrderShare(0.05) }, func() { s.SetLostOrderShare(0) })
	case 11:
		s.MakeWorkerFaulty(s.chance(0.5), duration)
	default:
		f.restart(s.randomIndex(len(f.hosts)), time.Duration(s.randomIndex(3000))*time.Millisecond)
	}
}

// restart kills an entry host and starts it again after the downtime.
func (f *fixture) restart(n int, downtime time.Duration) {
	h := f.hosts[n]
	f.site.KillHost(h)
	time.Sleep(downtime)
	again, err := f.site.StartHost(h.Name, h.DataCentre, 1+n)
	if err != nil {
		f.t.Error(err)
		return
	}
	f.hosts[n] = again
}

// endFaults waits 9 s, as long as the longest random fault, and ends all that remain.
func (f *fixture) endFaults() {
	time.Sleep(9 * time.Second)
	for _, h := range f.hosts {
		f.site.SetStoreFault(h.Name, StoreFault{})
	}
	f.site.SetStoreFault("", StoreFault{})
	for _, dataCentre := range layout.DataCentres {
		f.site.IsolateDataCentre(dataCentre, false)
	}
	f.site.SetLostOrderShare(0)
}

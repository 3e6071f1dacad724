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

// TestRandom plays troubles of all kinds at random, over a load of all kinds of jobs.
func TestRandom(t *testing.T) {
	for n := range *seeds {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playRandom(t, seed) })
		})
	}
}

func playRandom(t *testing.T, seed uint64) {
	r := begin(t, seed)
	for _, most := range []int{1, 2} {
		r.submit("serving", []job.Step{{
			Tasks: 4, Needs: worker.Resources{CPU: 2000, MemoryMB: 4000}, LongRunning: true, MaxPerHost: most, MaxUnavailable: 1,
		}}, nil)
	}
	if err := r.site.Publish(machine.Wave{Number: 1, Machines: r.site.Machines(), Duration: 40 * time.Second, MaxDown: 3}); err != nil {
		t.Fatal(err)
	}
	end := time.Now().Add(40 * time.Second)
	r.wait.Go(func() {
		for time.Now().Before(end) {
			r.randomJob()
			time.Sleep(time.Duration(50+300*r.site.random()) * time.Millisecond)
		}
	})
	for time.Now().Before(end) {
		time.Sleep(time.Duration(500+2500*r.site.random()) * time.Millisecond)
		r.randomTrouble()
	}
	r.calm()
	r.settle()
}

func (r *run) randomJob() {
	s := r.site
	first := tasks(1+s.pick(6), int64(500+s.pick(3000)), time.Duration(200+s.pick(1500))*time.Millisecond)
	switch s.pick(8) {
	case 0:
		first.Gang = true
		r.submit("rebuild", []job.Step{first}, nil)
	case 1:
		first.Speculative = true
		r.submit("tiles", []job.Step{first}, func(_ *job.Job, truth []taskTruth) { truth[0].duration *= 2 })
	case 2:
		first.SavesProgress, first.MaxPerHost = true, 2
		r.submit("rebuild", []job.Step{first, tasks(2, 1000, time.Second, 0)}, nil)
	case 3:
		r.submit("tiles", []job.Step{first}, func(_ *job.Job, truth []taskTruth) { truth[0].poison = s.chance(0.5) })
	case 4:
		r.submit("tiles", []job.Step{first}, func(j *job.Job, _ []taskTruth) {
			j.Occurrences, j.FirstAt, j.Interval = 3, time.Now().Add(time.Second), 2*time.Second
		})
	case 5:
		id := r.submit("rebuild", []job.Step{first}, nil)
		r.wait.Go(func() {
			time.Sleep(time.Duration(s.pick(2000)) * time.Millisecond)
			s.Cancel("rebuild", id)
		})
	default:
		r.submit("tiles", []job.Step{first, tasks(1+s.pick(3), 1000, 500*time.Millisecond, 0), tasks(1, 1000, 300*time.Millisecond, 0, 1)}, nil)
	}
}

func (r *run) randomTrouble() {
	s := r.site
	lasts := time.Duration(1000+s.pick(8000)) * time.Millisecond
	during := func(begin, end func()) {
		begin()
		r.wait.Go(func() {
			time.Sleep(lasts)
			end()
		})
	}
	host := ""
	if s.chance(0.6) {
		host = r.hosts[s.pick(len(r.hosts))].Name
	}
	trouble := func(t Trouble) { during(func() { s.SetTrouble(host, t) }, func() { s.SetTrouble(host, Trouble{}) }) }
	switch s.pick(14) {
	case 0:
		trouble(Trouble{Refuses: true})
	case 1:
		trouble(Trouble{Silent: true})
	case 2:
		trouble(Trouble{LosesAnswers: 0.3})
	case 3:
		trouble(Trouble{Slow: 50})
	case 4:
		s.CrashWorker(lasts)
	case 5:
		s.DarkenWorker(lasts)
	case 6:
		s.DrainWorker(3 * time.Second)
	case 7:
		s.Compact()
	case 8:
		s.Redeal()
	case 9:
		dataCentre := layout.DataCentres[s.pick(len(layout.DataCentres))]
		during(func() { s.Cut(dataCentre, true) }, func() { s.Cut(dataCentre, false) })
	case 10:
		during(func() { s.LoseOrders(0.05) }, func() { s.LoseOrders(0) })
	case 11:
		s.SpoilWorker(s.chance(0.5), lasts)
	default:
		r.restart(s.pick(len(r.hosts)), time.Duration(s.pick(3000))*time.Millisecond)
	}
}

// restart kills an entry host and starts it again.
func (r *run) restart(n int, away time.Duration) {
	h := r.hosts[n]
	r.site.KillHost(h)
	time.Sleep(away)
	again, err := r.site.StartHost(h.Name, h.DataCentre, 1+n)
	if err != nil {
		r.t.Error(err)
		return
	}
	r.hosts[n] = again
}

func (r *run) calm() {
	time.Sleep(9 * time.Second)
	for _, h := range r.hosts {
		r.site.SetTrouble(h.Name, Trouble{})
	}
	r.site.SetTrouble("", Trouble{})
	for _, dataCentre := range layout.DataCentres {
		r.site.Cut(dataCentre, false)
	}
	r.site.LoseOrders(0)
}

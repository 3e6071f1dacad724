package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// takeoverRate is the number of submissions a second, as of visit-plan on the site's sheet.
	takeoverRate = 23.5
	// takeoverSpec is the size of a spec: the largest that the pages allow.
	takeoverSpec = 4000
	// trafficBefore and trafficAfter are the times of the traffic before and after the kill.
	trafficBefore, trafficAfter = 62 * time.Second, 10 * time.Second
	// askedFor is how many submissions are asked for at the end.
	askedFor = 40
)

// smallGrown is the class of most machines of isikbakim-hbm-grown, with the bounds of that site. LINK=0
// leaves their links unlimited, which shows what the takeover fails by.
var smallGrown = hostClass{
	coreShare: 0.192, memoryMB: 184, linkMbps: 10, limited: os.Getenv("LINK") != "0",
	bounds: map[string]any{"notice-time": "5500ms", "contact-time": "4000ms"},
}

// takeover: the owner of a queue's partition is killed once and is back after 3.5 s. The machines have
// links of 10 Mbit/s, and the submissions of the last minute are in the log.
func takeover(rec *recorder, trouble bool) (*site, error) {
	s, err := newSite(rec, true, route{service: "fieldwork"})
	if err != nil {
		return nil, err
	}
	s.class = smallGrown
	for n := range 8 {
		pool := "fieldwork"
		if n >= 6 {
			pool = sparePool
		}
		if err := s.addMachine(fmt.Sprintf("m-%d", n), pool, "a", "ank-a", resources{CPU: 16000, MemoryMB: 65536}); err != nil {
			return s, err
		}
	}
	if err := threeHosts(s); err != nil {
		return s, err
	}
	spec := strings.Repeat("lamp ", takeoverSpec/5)
	var accepted acceptedJobs
	rec.brief.Store(true)
	s.traffic(spec, trafficBefore, &accepted)
	rec.brief.Store(false)
	rec.note("%d submissions are accepted, %d starts so far", len(accepted.all()), s.startsSoFar())
	part, bytes, owner := s.jobsPartition()
	rec.note("partition %d of the owner %s has newest records of %d KB", part.number, owner, bytes>>10)
	if h := s.host(owner); trouble && h != nil {
		s.kill(h)
		go func() {
			time.Sleep(downTime)
			_ = s.launch(h)
		}()
	}
	s.traffic(spec, trafficAfter, &accepted)
	rec.note("the traffic ends: %d submissions are accepted", len(accepted.all()))
	time.Sleep(finishTime)
	s.askForAll(accepted.all())
	return s, nil
}

// acceptedJobs are the submissions that were answered with 2xx.
type acceptedJobs struct {
	mu   sync.Mutex
	jobs []*jobDef
}

func (a *acceptedJobs) add(j *jobDef) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.jobs = append(a.jobs, j)
}

func (a *acceptedJobs) all() []*jobDef {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]*jobDef(nil), a.jobs...)
}

// traffic submits at takeoverRate for a time and waits for the answers.
func (s *site) traffic(spec string, length time.Duration, accepted *acceptedJobs) {
	var open sync.WaitGroup
	defer open.Wait()
	noted := time.Now()
	for end, n := time.Now(), 0; n < int(length.Seconds()*takeoverRate); n++ {
		j := s.register(0, &jobDef{work: 300 * time.Millisecond, spec: spec})
		j.steps = []*stepDef{{Count: 1, CPU: 500, MemoryMB: 256, EstimateMS: 300, job: j}}
		open.Go(func() {
			if s.submit(j) {
				accepted.add(j)
			}
		})
		end = end.Add(time.Second * 10 / (10 * takeoverRate))
		time.Sleep(time.Until(end))
		if time.Since(noted) >= time.Second {
			noted = time.Now()
			s.rec.summary("%d submissions are accepted, %d starts so far", len(accepted.all()), s.startsSoFar())
		}
	}
}

func (s *site) startsSoFar() int {
	starts, _ := s.check.result()
	return starts
}

// askForAll asks for the last submissions, each up to five times at changing hosts, as clients do.
func (s *site) askForAll(all []*jobDef) {
	var open sync.WaitGroup
	var unanswered, waiting atomic.Int64
	asked := all[max(0, len(all)-askedFor):]
	for _, j := range asked {
		open.Go(func() {
			state := s.stateOf(j)
			if state == "" {
				unanswered.Add(1)
			} else if state != "done" {
				waiting.Add(1)
			}
		})
	}
	open.Wait()
	never := 0
	for _, j := range all {
		if runs, _ := s.check.runsOf(j.id + ".0.0.0"); runs == 0 {
			never++
		}
	}
	s.rec.note("of %d submissions asked for, %d got no answer and %d are not done; %d accepted ones were never started", len(asked), unanswered.Load(), waiting.Load(), never)
	if n := unanswered.Load(); n > 0 {
		s.check.broken("LOST", "%v after the end of the traffic, %d of %d accepted submissions get no answer at any host; %d were never started", finishTime, n, len(asked), never)
	}
}

// stateOf returns the state of a submission, or "" if no host answers.
func (s *site) stateOf(j *jobDef) string {
	first := rand.IntN(len(s.hosts))
	for n := range 5 {
		status, text := s.request(s.hosts[(first+n)%len(s.hosts)], http.MethodGet, j.path, nil)
		var reply struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(text), &reply) == nil {
			return reply.State
		}
		if status == http.StatusGone {
			s.check.broken("LOST", "a GET for the accepted submission %s is answered 410", j.id)
			return "gone"
		}
	}
	return ""
}

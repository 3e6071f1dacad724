package demo

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/emulator/site"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	jobQueue = "tiles"
	jobPool  = "tile-workers"
	// siteSeed seeds the random numbers of the emulated platform.
	siteSeed = 1
)

// startSite starts the emulated platform and entry hosts for jobs, and waits until the pool
// has an owner.
func (d *demo) startSite() error {
	layout := site.Layout{DataCentres: []string{"gilgit", "thatta", "quetta"}, EntryHosts: 1, Machines: 3, Spares: 1, Pools: []string{jobPool}}
	d.site = site.New(layout, siteSeed, func(string) site.Events { return d.events })
	for n, dataCentre := range layout.DataCentres {
		if _, err := d.site.StartHost(fmt.Sprintf("%s-jobs", dataCentre), dataCentre, n+1); err != nil {
			return err
		}
	}
	err := d.site.Configure(&queue.Configuration{
		Version: 1,
		Queues: []queue.Queue{{
			Name: jobQueue, Pool: jobPool, MaxAttempts: 3, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond, Timeout: 3 * time.Second,
		}},
		Pools: []queue.Pool{{Name: jobPool, ChecksCapacity: true}, {Name: site.SparePool, Spare: true}},
	})
	if err != nil {
		return err
	}
	return eventually("the pool has an owner", func() bool { return d.site.Owner(jobPool) != nil })
}

// submitJob submits a job and returns its ID.
func (d *demo) submitJob(steps ...job.Step) (job.ID, error) {
	d.jobs++
	id := site.JobID(d.jobs)
	if !d.site.SubmitDeclared(jobQueue, &job.Job{ID: id, Spec: "tile", Steps: steps}) {
		return id, errors.Newf("job %s was not accepted", id)
	}
	return id, nil
}

func tileStep(tasks int, estimate time.Duration, dependsOn ...int) job.Step {
	return job.Step{Tasks: tasks, Needs: worker.Resources{CPU: 2000, MemoryMB: 1000}, Estimate: estimate, DependsOn: dependsOn}
}

func (d *demo) awaitJobState(id job.ID, want job.State) error {
	return eventually(fmt.Sprintf("job %s is %s", id, want), func() bool { return d.site.JobState(jobQueue, id) == want })
}

func (d *demo) runDependentSteps() error {
	id, err := d.submitJob(tileStep(4, 300*time.Millisecond), tileStep(2, 200*time.Millisecond, 0))
	if err != nil {
		return err
	}
	return d.awaitJobState(id, job.Done)
}

func (d *demo) cancelJob() error {
	id, err := d.submitJob(tileStep(4, time.Hour))
	if err != nil {
		return err
	}
	if err := eventually("all tasks of the job run", func() bool { return d.site.Ledger().Running(id) == 4 }); err != nil {
		return err
	}
	d.site.Cancel(jobQueue, id)
	if err := d.awaitJobState(id, job.Cancelled); err != nil {
		return err
	}
	return eventually("no task of the job runs", func() bool { return d.site.Ledger().Running(id) == 0 })
}

func (d *demo) crashWorker() error {
	id, err := d.submitJob(tileStep(8, 1500*time.Millisecond))
	if err != nil {
		return err
	}
	if err := eventually("all tasks of the job run", func() bool { return d.site.Ledger().Running(id) == 8 }); err != nil {
		return err
	}
	d.site.CrashWorker(time.Minute)
	return d.awaitJobState(id, job.Done)
}

func (d *demo) killOwner() error {
	id, err := d.submitJob(tileStep(4, 1500*time.Millisecond), tileStep(1, 200*time.Millisecond, 0))
	if err != nil {
		return err
	}
	owner := d.site.Owner(jobPool)
	if owner == nil {
		return errors.New("the pool has no owner")
	}
	d.site.KillHost(owner)
	return d.awaitJobState(id, job.Done)
}

func (d *demo) checkGuarantees() error {
	if violations := d.site.Ledger().Violations(); len(violations) > 0 {
		return errors.Newf("%d guarantees violated, the first: %s", len(violations), violations[0])
	}
	return nil
}

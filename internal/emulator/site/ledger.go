package site

import (
	"fmt"
	"sync"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// Ledger records what workers, callers and the machine service observe, and checks it
// against the guarantees of the entry hosts.
type Ledger struct {
	mu   sync.Mutex
	jobs map[job.ID]*submitted
	// cancels holds the jobs whose cancellation was requested.
	cancels    map[job.ID]bool
	tasks      map[worker.TaskName]*taskHistory
	orders     map[string]machineOrder
	violations []string
	// routes holds the pools to which the configurations send each queue.
	routes map[string]map[string]bool
	// keys holds the periods in which each key is valid, in order.
	keys map[queue.KeyDigest][]keyPeriod
	// gangCheckpoints holds the checkpoint with which the first member of each run was started.
	gangCheckpoints map[gangKey]string
	quotas          quotaLedger
	// Starts and Ends count runs, Moves and Maintained count accepted machine orders.
	Starts, Ends, Moves, Maintained int
}

// submitted is a job with what its caller knows about it.
type submitted struct {
	*job.Job
	// actual is the behaviour of each step's tasks.
	actual     []taskBehaviour
	acceptedAt time.Time
	// cancelled is when the cancellation was acknowledged.
	cancelled time.Time
	// refused is set once every attempt to submit the job was refused.
	refused bool
	// shown is the state that a caller was shown last.
	shown job.State
	// doneShownAt is when a caller was first shown that the job is done.
	doneShownAt time.Time
	// lastStops are ordered ends after which too few tasks of a step were left, of a job that may
	// have been given up. They are violations if it was not, or if one of its tasks starts again.
	lastStops []string
}

// taskBehaviour is how a step's tasks actually behave, which may differ from what the
// step declares.
type taskBehaviour struct {
	step     *job.Step
	duration time.Duration
	// poison makes every run fail, failShare a random share of the runs.
	poison    bool
	failShare float64
	// deadly holds the indexes of the tasks that crash the worker that starts them.
	deadly map[int]bool
}

// taskHistory is the history of one task's runs.
type taskHistory struct {
	// running maps the live runs to their workers.
	running map[runKey]worker.ID
	// lastEnded is when the last run ended; endedByOrder is set if an entry host's order
	// ended it.
	lastEnded    time.Time
	endedByOrder bool
	// done is set once a run has succeeded, acknowledged once an entry host has
	// acknowledged that end to the worker.
	done, acknowledged bool
	// acknowledgedAt is when a successful end was first acknowledged.
	acknowledgedAt time.Time
	// doneRuns are the runs that succeeded. early are starts after such an end was
	// reported and before it was acknowledged; they are violations if one of these
	// ends is acknowledged later.
	doneRuns []int64
	early    []earlyStart
	// failed are the runs that failed, and whether that end was acknowledged.
	failed map[runKey]bool
	// startsOverLimit holds, for each start that followed MaxAttempts or more failures, the
	// failures up to that start. The start is a violation if at least MaxAttempts of them
	// are acknowledged in the end, before or after it.
	startsOverLimit []map[runKey]bool
	crashHistory
}

// earlyStart is a start of a task after the successful ends of some of its runs.
type earlyStart struct {
	// what names the run and its worker.
	what  string
	after []int64
}

// machineOrder is the last order for a machine whose fencing token was valid.
type machineOrder struct {
	holder string
	token  worker.FencingToken
	at     time.Time
}

func newLedger() *Ledger {
	return &Ledger{jobs: map[job.ID]*submitted{}, cancels: map[job.ID]bool{}, tasks: map[worker.TaskName]*taskHistory{}, orders: map[string]machineOrder{}, routes: map[string]map[string]bool{}, keys: map[queue.KeyDigest][]keyPeriod{}, gangCheckpoints: map[gangKey]string{}, quotas: quotaLedger{peak: map[string]float64{}}}
}

// Violations returns a message for each violation of a guarantee.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

func (l *Ledger) reportViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolation(format, args...)
}

// addViolation records a violation. Most messages begin with a tag, which is the name of the
// violated invariant, such as "twice:". The caller holds the ledger's lock.
func (l *Ledger) addViolation(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// configured records where a configuration sends its queues, its keys and its quotas.
func (l *Ledger) configured(c *queue.Configuration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keysPublished(c)
	l.quotas.configured(c)
	for n := range c.Queues {
		q := &c.Queues[n]
		if l.routes[q.Name] == nil {
			l.routes[q.Name] = map[string]bool{}
		}
		l.routes[q.Name][q.Pool] = true
	}
}

// submit notes a job unless there is one with its ID, and reports whether it was noted.
func (l *Ledger) submit(j *job.Job, actual []taskBehaviour) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.jobs[j.ID]
	if !known {
		l.jobs[j.ID] = &submitted{Job: j, actual: actual}
	}
	return !known
}

func (l *Ledger) accepted(id job.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.jobs[id]; s.acceptedAt.IsZero() {
		s.acceptedAt = time.Now()
	}
}

func (l *Ledger) refused(id job.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id].refused = true
}

// refusedJobs returns how many jobs were refused.
func (l *Ledger) refusedJobs() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, j := range l.jobs {
		if j.refused {
			n++
		}
	}
	return n
}

func (l *Ledger) cancelRequested(id job.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancels[id] = true
}

func (l *Ledger) cancelAcknowledged(id job.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.jobs[id]; ok {
		s.cancelled = time.Now()
	}
}

func (l *Ledger) behaviour(task worker.TaskName) (taskBehaviour, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.jobs[job.ID(task.Job)]
	if !ok || task.Step >= len(s.actual) || task.Index >= s.actual[task.Step].step.Tasks {
		return taskBehaviour{}, false
	}
	return s.actual[task.Step], true
}

func (l *Ledger) history(task worker.TaskName) *taskHistory {
	h, ok := l.tasks[task]
	if !ok {
		h = &taskHistory{running: map[runKey]worker.ID{}, failed: map[runKey]bool{}}
		l.tasks[task] = h
	}
	return h
}

// Running counts the live runs of a job.
func (l *Ledger) Running(id job.ID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for name, h := range l.tasks {
		if name.Job == string(id) {
			n += len(h.running)
		}
	}
	return n
}

// unfinished returns the accepted jobs that have to end and were not yet shown as ended.
func (l *Ledger) unfinished() []job.ID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var unfinished []job.ID
	for id, s := range l.jobs {
		if !s.acceptedAt.IsZero() && !s.shown.Ended() && !l.cancels[id] && !s.Steps[0].LongRunning {
			unfinished = append(unfinished, id)
		}
	}
	return unfinished
}

// notRunning returns the tasks of accepted long-running jobs that have no live run. A job that
// was shown as failed, which checkFailed has checked, has none.
func (l *Ledger) notRunning() []worker.TaskName {
	l.mu.Lock()
	defer l.mu.Unlock()
	var notRunning []worker.TaskName
	for id, s := range l.jobs {
		if s.acceptedAt.IsZero() || !s.cancelled.IsZero() || s.shown == job.Failed || !s.Steps[0].LongRunning {
			continue
		}
		for index := range s.Steps[0].Tasks {
			name := worker.TaskName{Job: string(id), Index: index}
			if len(l.history(name).running) == 0 {
				notRunning = append(notRunning, name)
			}
		}
	}
	return notRunning
}

// isRunning reports whether a worker runs a task.
func (l *Ledger) isRunning(name worker.TaskName) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.history(name).running) > 0
}

// holderLease is the minimum time between orders of two different holders for a machine.
const holderLease = 3 * time.Second

// ordered checks that an order for a machine does not conflict with another holder's.
func (l *Ledger) ordered(name, holder string, token worker.FencingToken) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	before, ok := l.orders[name]
	l.orders[name] = machineOrder{holder, token, now}
	if !ok || before.holder == holder {
		return
	}
	if before.token == token {
		l.addViolation("one: machine %s ordered by %s and %s with fencing token %d", name, before.holder, holder, token)
	}
	if now.Sub(before.at) < holderLease {
		l.addViolation("one: machine %s ordered by %s and %s within %s", name, before.holder, holder, now.Sub(before.at))
	}
}

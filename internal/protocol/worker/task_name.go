package worker

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// String returns the name as JOB.OCCURRENCE.STEP.INDEX.
func (t TaskName) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the task's step as JOB.OCCURRENCE.STEP.
func (t TaskName) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTaskName parses JOB.OCCURRENCE.STEP.INDEX.
func ParseTaskName(text string) (TaskName, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskName{}, errors.Newf("task %q: use JOB.OCCURRENCE.STEP.INDEX", text)
	}
	name := TaskName{Job: parts[0]}
	for n, target := range []*int{&name.Occurrence, &name.Step, &name.Index} {
		number, err := strconv.Atoi(parts[n+1])
		if err != nil || number < 0 {
			return TaskName{}, errors.Newf("task %q: %q is not a non-negative number", text, parts[n+1])
		}
		*target = number
	}
	return name, nil
}

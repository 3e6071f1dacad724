package jobhost

import (
	"time"

	"golang.org/x/sys/unix"
)

// NewClock gives a clock that starts at the time of day and then goes on steadily,
// also while the machine is suspended, whatever becomes of the time of day.
func NewClock() (func() time.Time, error) {
	first, err := sinceBoot()
	if err != nil {
		return nil, err
	}
	// Round drops the reading of the clock that stops in a suspend.
	began := time.Now().Round(0)
	return func() time.Time {
		// The call can't fail for a clock that could be read once.
		boot, _ := sinceBoot()
		return began.Add(boot - first)
	}, nil
}

func sinceBoot() (time.Duration, error) {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return 0, err
	}
	return time.Duration(at.Nano()), nil
}

package jobhost

import (
	"time"

	"golang.org/x/sys/unix"
)

// NewClock returns a clock that starts at the current time of day and then advances
// monotonically, also while the machine is suspended; later changes of the system time do
// not affect it.
func NewClock() (func() time.Time, error) {
	first, err := sinceBoot()
	if err != nil {
		return nil, err
	}
	// Round strips Go's monotonic reading, which stops while the machine is suspended.
	began := time.Now().Round(0)
	return func() time.Time {
		// The call can't fail here, since this clock has been read before.
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

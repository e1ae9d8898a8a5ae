package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock returns the time since the machine started. It includes the time in which the
// machine is suspended, which Go's monotonic clock leaves out, so that a resumed VM sees the
// true age of its state.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39; without it no state can be shown to be recent.
		panic("no boot-time clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

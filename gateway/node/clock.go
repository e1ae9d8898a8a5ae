package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock is the time since the VM started, also while it is suspended, which Go's
// monotonic time leaves out. A VM that slept must see its proofs as old.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Kernels since 2.6.39 have the clock; without it nothing can be proved fresh.
		panic("no boot-time clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

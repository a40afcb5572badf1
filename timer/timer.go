package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, including suspended time.
func Now() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		// CLOCK_BOOTTIME exists on every supported kernel, and leases are unsafe without it.
		panic("timer: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(spec.Nano())
}

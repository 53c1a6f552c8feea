package galenatimer

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTimeService is a Service whose clock is CLOCK_BOOTTIME. This clock also advances
// while the machine is suspended, so that a suspension does not extend a lease.
// Its times are not wall-clock times. Its zero value is ready to use.
type BootTimeService struct{ Service }

// Now returns the time since the machine booted, as if that were the time since
// the Unix epoch.
func (*BootTimeService) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// A kernel without CLOCK_BOOTTIME has CLOCK_MONOTONIC, which stops while
		// the machine is suspended.
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts)
	}
	return time.Unix(ts.Unix())
}

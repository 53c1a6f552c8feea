package galenatimer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Steady is a Service whose Now also counts the time that the machine was
// suspended, so that leases do not outlive a suspension. Its times are no times
// of day. Its zero value is ready to use.
type Steady struct{ Service }

// Now returns the time since the machine booted, as a time.
func (*Steady) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// A kernel without this clock has the monotonic one, which stands still
		// while the machine is suspended.
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts)
	}
	return time.Unix(ts.Unix())
}

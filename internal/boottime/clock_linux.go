package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// readClocks returns by how much CLOCK_BOOTTIME is ahead of CLOCK_MONOTONIC: what the machine has slept since it was started.
func readClocks() (ahead time.Duration, ok bool) {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0, false
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), true
}

//go:build !linux

package processes

import "syscall"

// endWithParent has no means on this system: Stop alone ends the processes.
func endWithParent() *syscall.SysProcAttr { return nil }

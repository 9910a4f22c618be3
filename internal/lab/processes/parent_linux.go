package processes

import "syscall"

// endWithParent makes the system kill a process when the one that started it dies.
func endWithParent() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }

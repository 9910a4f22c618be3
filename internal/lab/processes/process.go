package processes

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// startTimeout bounds the time until a process announces its addresses.
const startTimeout = 30 * time.Second

// notExited is the exit code of a process that runs or was never started.
const notExited = -1

// ErrNotRunning reports a signal to a process that does not run.
var ErrNotRunning = errors.New("processes: not running")

// Process is one process of a deployment, which may be started again after it has ended. All its lives share one log.
type Process struct {
	name      string
	path      string
	arguments []string
	logFile   string
	// announce is told the addresses of every life, and of their end with the zero value.
	announce func(addresses)

	mu      sync.Mutex
	current *life
}

// life is one start of a process until its end.
type life struct {
	command *exec.Cmd
	ended   chan struct{}
}

// Name returns the name of the process.
func (p *Process) Name() string { return p.name }

// Start starts the process and waits until it has announced its addresses.
func (p *Process) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	started, announced, err := p.launch()
	if err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	select {
	case found := <-announced:
		p.announce(found)
		return nil
	case <-started.ended:
		return fmt.Errorf("start %s: it ended at once: %s", p.name, lastLines(p.logFile))
	case <-ctx.Done():
		return fmt.Errorf("start %s: %w", p.name, ctx.Err())
	}
}

func (p *Process) launch() (*life, <-chan addresses, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil && !p.current.over() {
		return nil, nil, errors.New("it runs already")
	}
	log, err := os.OpenFile(p.logFile, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, nil, err
	}
	writer := newAnnouncementWriter(log)
	command := exec.Command(p.path, p.arguments...)
	command.Stdout, command.Stderr = writer, writer
	command.Env = environment()
	command.SysProcAttr = endWithParent()
	if err := command.Start(); err != nil {
		_ = log.Close()
		return nil, nil, err
	}
	started := &life{command: command, ended: make(chan struct{})}
	p.current = started
	go func() {
		_ = command.Wait()
		p.announce(addresses{})
		_ = log.Close()
		close(started.ended)
	}()
	return started, writer.announced, nil
}

// environment returns this process's own without the variables that a node reads as settings.
func environment() []string {
	return slices.DeleteFunc(os.Environ(), func(variable string) bool { return strings.HasPrefix(variable, "COVELINK") })
}

func (l *life) over() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

// Running reports whether the process has been started and has not ended.
func (p *Process) Running() bool {
	current := p.life()
	return current != nil && !current.over()
}

// PID returns the id of the running process.
func (p *Process) PID() (int, bool) {
	current := p.life()
	if current == nil || current.over() {
		return 0, false
	}
	return current.command.Process.Pid, true
}

func (p *Process) life() *life {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// Signal sends a signal to the running process.
func (p *Process) Signal(signal syscall.Signal) error {
	current := p.life()
	if current == nil || current.over() {
		return fmt.Errorf("%s: %w", p.name, ErrNotRunning)
	}
	if err := current.command.Process.Signal(signal); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	return nil
}

// Wait waits for the end of the process and returns its exit code, which is -1 if a signal ended it.
func (p *Process) Wait(ctx context.Context) (int, error) {
	current := p.life()
	if current == nil {
		return notExited, fmt.Errorf("%s: %w", p.name, ErrNotRunning)
	}
	select {
	case <-current.ended:
		return current.command.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return notExited, fmt.Errorf("wait for the end of %s: %w", p.name, ctx.Err())
	}
}

// Kill ends the process by SIGKILL and waits for its end. It does nothing to a process that does not run.
func (p *Process) Kill(ctx context.Context) error {
	err := p.Signal(syscall.SIGKILL)
	if errors.Is(err, ErrNotRunning) {
		return nil
	}
	_, waited := p.Wait(ctx)
	if waited != nil {
		return errors.Join(err, waited)
	}
	return nil
}

// Terminate asks the process for a planned stop by SIGTERM, waits for its end and returns its exit code.
func (p *Process) Terminate(ctx context.Context) (int, error) {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return notExited, err
	}
	return p.Wait(ctx)
}

// Pause stops the process by SIGSTOP; Continue lets it go on.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Continue lets a paused process go on.
func (p *Process) Continue() error { return p.Signal(syscall.SIGCONT) }

// Log returns what all lives of the process wrote so far.
func (p *Process) Log() string {
	content, err := os.ReadFile(p.logFile)
	if err != nil {
		return err.Error()
	}
	return string(content)
}

// lastLines returns the end of a log.
func lastLines(file string) string {
	const lines = 10
	content, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimSpace(string(content)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

package soaker

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// restartAfter is the delay before the platform restarts a process.
const restartAfter = 300 * time.Millisecond

// process keeps one real program running and restarts it when it exits by itself.
// It signals only the program that it started.
type process struct {
	name        string
	program     string
	arguments   []string
	environment []string
	logPath     string
	starter     *starter
	// onExit is called when the program exited without having been stopped.
	onExit func(how string)

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	// stopping is set from the signal to stop until the next start.
	stopping bool
	starts   atomic.Int64
}

// start starts the program unless it is running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	output, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	command := exec.Command(p.program, p.arguments...)
	command.Env, command.Stdout, command.Stderr = p.environment, output, output
	// The kernel kills the program when the soak ends for any reason.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = p.starter.start(command)
	if closed := output.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.command, p.done, p.stopping = command, make(chan struct{}), false
	p.starts.Add(1)
	go p.awaitExit(command, p.done)
	return nil
}

// awaitExit waits for the program to exit and restarts it if it exited by
// itself.
func (p *process) awaitExit(command *exec.Cmd, done chan struct{}) {
	err := command.Wait()
	p.mu.Lock()
	unexpected := !p.stopping
	p.command = nil
	close(done)
	p.mu.Unlock()
	if !unexpected {
		return
	}
	p.onExit(fmt.Sprint(err))
	time.Sleep(restartAfter)
	if err := p.start(); err != nil {
		p.onExit(err.Error())
	}
}

// signal sends a signal to the program if it is running.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
		p.stopping = true
	}
	if err := p.command.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.onExit(fmt.Sprintf("signal %s: %s", signal, err))
	}
}

// stop ends the program and waits for its exit. It sends SIGTERM, and SIGKILL
// after grace; with a grace of 0 it sends SIGKILL at once.
func (p *process) stop(grace time.Duration) {
	p.mu.Lock()
	done, running := p.done, p.command != nil
	p.mu.Unlock()
	if !running {
		return
	}
	if grace > 0 {
		p.signal(syscall.SIGTERM)
		select {
		case <-done:
			return
		case <-time.After(grace):
		}
	}
	p.signal(syscall.SIGKILL)
	<-done
}

// resourceUse returns the program's number of open descriptors and its resident
// memory. ok is false if the program isn't running.
func (p *process) resourceUse() (descriptors, mebibytes int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0, 0, false
	}
	folder := filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid))
	entries, err := os.ReadDir(filepath.Join(folder, "fd"))
	if err != nil {
		return 0, 0, false
	}
	status, err := os.ReadFile(filepath.Join(folder, "status"))
	if err != nil {
		return 0, 0, false
	}
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			const kibibytes = 1024
			resident, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return len(entries), resident / kibibytes, err == nil
		}
	}
	return 0, 0, false
}

// starter starts all programs from one OS thread that lasts as long as the soak.
// Pdeathsig is sent when the thread that started a program ends, not only when
// the process does.
type starter struct {
	requests chan startRequest
}

type startRequest struct {
	command *exec.Cmd
	started chan error
}

func newStarter() *starter {
	s := &starter{requests: make(chan startRequest)}
	go func() {
		runtime.LockOSThread()
		for request := range s.requests {
			request.started <- request.command.Start()
		}
	}()
	return s
}

func (s *starter) start(command *exec.Cmd) error {
	started := make(chan error)
	s.requests <- startRequest{command, started}
	return <-started
}

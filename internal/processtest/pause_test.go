package processtest

import (
	"errors"
	"syscall"
	"testing"
)

// pause stops the process. It returns once all threads have stopped: until then some of them
// may run on for as long as others wait for a processor.
func (p *process) pause(t testing.TB) {
	t.Helper()
	p.signal(syscall.SIGSTOP)
	for {
		var status syscall.WaitStatus
		_, err := syscall.Wait4(p.cmd.Process.Pid, &status, syscall.WUNTRACED, nil)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if err != nil || !status.Stopped() {
			t.Fatalf("%s was not stopped: status %#x, %v", p.name, status, err)
		}
		return
	}
}

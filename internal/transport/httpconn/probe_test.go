package httpconn

import (
	"net"
	"sync"
	"testing"
	"testing/synctest"
)

// TestNewConnectionsQueueForTurnsOfTheirPoller guards against new connections that wait for one
// turn of a busy poller each, and time out.
func TestNewConnectionsQueueForTurnsOfTheirPoller(t *testing.T) {
	const waiting, maxTurns = 50, 2
	synctest.Test(t, func(t *testing.T) {
		near, poller := net.Pipe()
		p := &probe{near: near}
		var done sync.WaitGroup
		for range waiting {
			done.Go(func() {
				if err := p.awaitTurn(); err != nil {
					t.Errorf("wait for the poller: %v", err)
				}
			})
		}
		synctest.Wait()
		turns := 0
		var loop sync.WaitGroup
		loop.Go(func() {
			for one := make([]byte, 1); ; turns++ {
				if _, err := poller.Read(one); err != nil {
					return
				}
				_, _ = poller.Write(one)
			}
		})
		done.Wait()
		_ = near.Close()
		loop.Wait()
		if turns > maxTurns {
			t.Errorf("%d connections waited for %d turns; want at most %d", waiting, turns, maxTurns)
		}
	})
}

package httpconn

import (
	"net/http"
	"net/netip"
	"runtime"
	"testing"
)

// TestClosedBeforeItsPollersRan guards against a client or a server that waits forever, with
// a busy poller, if it is closed before the loops of its pollers have begun. With one
// processor, they don't begin before the goroutine that made them waits.
func TestClosedBeforeItsPollersRan(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const repeats = 50
	for name, openAndClose := range map[string]func() error{
		"client": func() error {
			c, err := New()
			if err == nil {
				c.Close()
			}
			return err
		},
		"server": func() error {
			s, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), http.NotFoundHandler(), Limits{MaxConns: 1})
			if err == nil {
				s.Close()
			}
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan error, 1)
			go func() {
				for range repeats {
					if err := openAndClose(); err != nil {
						closed <- err
						return
					}
				}
				closed <- nil
			}()
			select {
			case err := <-closed:
				if err != nil {
					t.Fatal(err)
				}
			case <-timeout(t).Done():
				t.Fatal("close did not return")
			}
		})
	}
}

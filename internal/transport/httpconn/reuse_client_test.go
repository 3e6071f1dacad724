package httpconn

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
)

// TestRequestsBesideClosedConnections guards against a request that fails because the
// poller still holds an event of a closed connection with the same descriptor. Its caller
// would be told that it may have run.
func TestRequestsBesideClosedConnections(t *testing.T) {
	const senders, repeats = 8, 1000
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.SetKeepAlivesEnabled(false)
	server.Start()
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	c := client(t, WithMaxConns(senders))
	var sent sync.WaitGroup
	for range senders {
		sent.Go(func() {
			for range repeats {
				if _, err := c.Do(t.Context(), address, Request{Method: "GET", Path: "/", NewConn: true}); err != nil {
					t.Errorf("a request over a new connection failed: %v", err)
				}
			}
		})
	}
	sent.Wait()
}

package httpconn

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"
)

func listen(t *testing.T, handler http.HandlerFunc) *Server {
	t.Helper()
	server, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), handler, Limits{MaxBody: 1 << 20, MaxConns: 20000})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

func client(t *testing.T, opts ...Option) *Client {
	t.Helper()
	c, err := New(opts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func timeout(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// TestDisconnected guards against a server that does not notice that a client has
// disconnected while its request is held.
func TestDisconnected(t *testing.T) {
	held, noticed := make(chan struct{}), make(chan struct{})
	server := listen(t, func(_ http.ResponseWriter, r *http.Request) {
		gone := Disconnected(r)
		close(held)
		for !gone() {
			time.Sleep(time.Millisecond)
		}
		close(noticed)
	})
	raw, err := net.Dial("tcp", server.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprint(raw, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-held
	_ = raw.Close()
	select {
	case <-noticed:
	case <-timeout(t).Done():
		t.Fatal("the server did not notice that its client had disconnected")
	}
}

// TestStages guards against a failed request that may have been sent and is reported as
// unsent: the caller would then repeat a request that has run.
func TestStages(t *testing.T) {
	refused := netip.MustParseAddrPort("127.0.0.1:1")
	if _, err := client(t).Do(timeout(t), refused, Request{Method: "GET", Path: "/"}); StageOf(err) != Unsent {
		t.Errorf("a refused connection must be unsent, got %v", err)
	}
	for name, answer := range map[string]string{
		"no answer":   "",
		"half answer": "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"half chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := rawServer(t, answer)
			got, err := client(t).Do(timeout(t), address, Request{Method: "POST", Path: "/", Body: []byte("x")})
			if err == nil || StageOf(err) != MaybeSent {
				t.Errorf("a broken answer must be an error with stage MaybeSent, got %+v, %v", got, err)
			}
		})
	}
}

// rawServer reads the first line of one request, writes answer and closes the connection.
func rawServer(t *testing.T, answer string) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = bufio.NewReader(c).ReadString('\n')
		_, _ = c.Write([]byte(answer))
		_ = c.Close()
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// TestTooLarge guards against an answer over the size limit that is returned truncated
// instead of as an error.
func TestTooLarge(t *testing.T) {
	server := listen(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat("x", 100_000)))
	})
	got, err := client(t, WithMaxAnswer(10_000)).Do(timeout(t), server.Address(), Request{Method: "GET", Path: "/"})
	if err == nil {
		t.Fatalf("got %d bytes of an answer over the limit", len(got.Body))
	}
	whole, err := client(t).Do(timeout(t), server.Address(), Request{Method: "GET", Path: "/"})
	if err != nil || len(whole.Body) != 100_000 {
		t.Fatalf("got %d bytes, %v", len(whole.Body), err)
	}
}

// TestDeadConnections guards against a pool that stays full of unresponsive connections:
// they must be closed at the deadlines of their requests, and never exceed the limit.
func TestDeadConnections(t *testing.T) {
	const bound = 4
	release := make(chan struct{})
	server := listen(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/silent" {
			<-release
		}
	})
	defer close(release)
	c := client(t, WithMaxConns(bound))
	var senders sync.WaitGroup
	for range bound {
		senders.Add(1)
		go func() {
			defer senders.Done()
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			_, _ = c.Do(ctx, server.Address(), Request{Method: "GET", Path: "/silent"})
		}()
	}
	senders.Wait()
	for range 2 * bound {
		if _, err := c.Do(timeout(t), server.Address(), Request{Method: "GET", Path: "/"}); err != nil {
			t.Fatal(err)
		}
	}
	if open, _ := c.Conns(server.Address()); open > bound {
		t.Fatalf("%d connections are open, limit %d", open, bound)
	}
}

// TestHeldRequests guards against many held requests that block the answers to others.
func TestHeldRequests(t *testing.T) {
	const held = 2000
	release := make(chan struct{})
	var arrived sync.WaitGroup
	arrived.Add(held)
	server := listen(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			arrived.Done()
			<-release
		}
	})
	holder := client(t, WithMaxConns(held))
	var holders sync.WaitGroup
	for range held {
		holders.Add(1)
		go func() {
			defer holders.Done()
			_, _ = holder.Do(timeout(t), server.Address(), Request{Method: "GET", Path: "/held"})
		}()
	}
	arrived.Wait()
	if _, err := client(t).Do(timeout(t), server.Address(), Request{Method: "GET", Path: "/"}); err != nil {
		t.Fatal(err)
	}
	close(release)
	holders.Wait()
}

// TestOwnAnswer guards against a request that gets the answer to another. With nbio's
// default buffer pool this happens after an answer breaks off midway, because the
// buffer is freed twice.
func TestOwnAnswer(t *testing.T) {
	server := listen(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat(r.URL.Path, 200)))
	})
	c := client(t)
	for range 20 {
		address := rawServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
		_, _ = c.Do(timeout(t), address, Request{Method: "POST", Path: "/", Body: []byte("x")})
		var senders sync.WaitGroup
		for n := range 32 {
			senders.Add(1)
			go func() {
				defer senders.Done()
				path := fmt.Sprintf("/%d", n)
				got, err := c.Do(timeout(t), server.Address(), Request{Method: "GET", Path: path})
				if err != nil || string(got.Body) != strings.Repeat(path, 200) {
					t.Errorf("%s got the answer to another request or none: %d bytes, %v", path, len(got.Body), err)
				}
			}()
		}
		senders.Wait()
	}
}

package httpconn

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// seen records the requests that reach a handler.
type seen struct {
	mu       sync.Mutex
	requests []string
}

func (s *seen) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.requests = append(s.requests, fmt.Sprintf("%s %s %s %q", r.Method, r.RequestURI, r.Host, body))
	s.mu.Unlock()
}

// serveBytes sends bytes in two parts over one connection to a server and returns the requests
// that the server's handler got.
func serveBytes(t testing.TB, address netip.AddrPort, s *seen, data []byte, split int) []string {
	t.Helper()
	s.mu.Lock()
	s.requests = nil
	s.mu.Unlock()
	c, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	for _, part := range [][]byte{data[:split], data[split:]} {
		_, _ = c.Write(part)
		if split > 0 {
			time.Sleep(200 * time.Microsecond)
		}
	}
	_ = c.(*net.TCPConn).CloseWrite() //nolint:forcetypeassert // Fails the test.
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// readBytes returns the requests that net/http reads from bytes.
func readBytes(data []byte) []string {
	var found []string
	reader := bufio.NewReader(bytes.NewReader(data))
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return found
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return found
		}
		found = append(found, fmt.Sprintf("%s %s %s %q", r.Method, r.RequestURI, r.Host, body))
	}
}

// wholeRequests are read as by net/http, however they are split.
var wholeRequests = []string{
	"GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhelloGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nT: v\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\nPOST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx",
}

// ambiguous requests could be taken for others by a proxy; none may reach the handler, nor
// anything that follows.
var ambiguous = map[string]string{
	"length and encoding":   "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
	"two lengths":           "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!GET /b HTTP/1.1\r\nHost: x\r\n\r\n",
	"two equal lengths":     "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
	"length list":           "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5, 5\r\n\r\nhello",
	"signed length":         "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: +5\r\n\r\nhello",
	"two encodings":         "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
	"unknown encoding":      "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
	"encoding in HTTP/1.0":  "POST /a HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
	"space before colon":    "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length : 5\r\n\r\nhello",
	"folded field":          "POST /a HTTP/1.1\r\nHost: x\r\nX: y\r\n Content-Length: 5\r\n\r\nhello",
	"bare LF":               "GET /a HTTP/1.1\r\nHost: x\nX: y\r\n\r\n",
	"bare CR":               "GET /a HTTP/1.1\r\nHost: x\rX: y\r\n\r\n",
	"two hosts":             "GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
	"no host":               "GET /a HTTP/1.1\r\n\r\n",
	"prefixed chunk size":   "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n0\r\n\r\n",
	"bare LF in chunk size": "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\nhello\r\n0\r\n\r\n",
	"huge chunk size":       "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000005\r\nhello\r\n0\r\n\r\n",
	"chunk longer than its size": "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhello\r\n0\r\n\r\n" +
		"GET /b HTTP/1.1\r\nHost: x\r\n\r\n",
}

// TestAmbiguousRequests guards against request smuggling.
func TestAmbiguousRequests(t *testing.T) {
	s := &seen{}
	server := listen(t, s.ServeHTTP)
	for name, data := range ambiguous {
		t.Run(name, func(t *testing.T) {
			if got := serveBytes(t, server.Address(), s, []byte(data), 0); len(got) > 0 {
				t.Errorf("the handler got %q", got)
			}
		})
	}
}

// TestSplitRequests guards against requests that are read differently if they arrive in parts.
func TestSplitRequests(t *testing.T) {
	s := &seen{}
	server := listen(t, s.ServeHTTP)
	for _, data := range wholeRequests {
		want := readBytes([]byte(data))
		for split := range len(data) {
			if diff := cmp.Diff(want, serveBytes(t, server.Address(), s, []byte(data), split)); diff != "" {
				t.Fatalf("split at %d of %q (-want +got):\n%s", split, data, diff)
			}
		}
	}
}

// FuzzFront guards against a request that the server takes for another or for two: what
// reaches the handler must be the first requests that net/http reads.
func FuzzFront(f *testing.F) {
	for _, data := range wholeRequests {
		f.Add([]byte(data), uint16(0))
		f.Add([]byte(data), uint16(len(data)/2))
	}
	for _, data := range ambiguous {
		f.Add([]byte(data), uint16(0))
	}
	s := &seen{}
	server, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), s, Limits{MaxBody: 1 << 20, MaxConns: 64})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(server.Close)
	f.Fuzz(func(t *testing.T, data []byte, split uint16) {
		got := serveBytes(t, server.Address(), s, data, int(split)%(len(data)+1))
		want := readBytes(data)
		if len(got) > len(want) {
			t.Fatalf("%q: the handler got %q, net/http reads %q", data, got, want)
		}
		if diff := cmp.Diff(want[:len(got)], got, cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("%q (-want +got):\n%s", data, diff)
		}
	})
}

// TestRefusalBeforeTheBody guards against a refusal that waits for the body, or after which the
// connection can't be used.
func TestRefusalBeforeTheBody(t *testing.T) {
	server := listen(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusUnauthorized)
	})
	const size = 1 << 20
	for name, header := range map[string]string{"length": fmt.Sprintf("Content-Length: %d", size), "chunks": "Transfer-Encoding: chunked"} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", server.Address().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(30 * time.Second))
			reader := bufio.NewReader(c)
			body := strings.Repeat("x", size)
			if name == "chunks" {
				body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body)
			}
			for range 2 {
				_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n", header)
				answer, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				if answer.StatusCode != http.StatusUnauthorized {
					t.Errorf("got %v", answer)
				}
				if _, err := io.Copy(io.Discard, answer.Body); err != nil {
					t.Fatal(err)
				}
				_ = answer.Body.Close()
				if _, err := io.WriteString(c, body); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
}

// TestAnnouncedBody guards against a body over the limit that is read before it is refused.
func TestAnnouncedBody(t *testing.T) {
	s := &seen{}
	server := listen(t, s.ServeHTTP)
	c, err := net.Dial("tcp", server.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000000\r\n\r\n")
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusRequestEntityTooLarge || !answer.Close {
		t.Fatalf("got %v", answer)
	}
}

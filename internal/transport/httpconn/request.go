package httpconn

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/transport/inbound"
)

// ServeHTTP bounds a request and passes it to the handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(*inbound.Conn)
	if !ok {
		http.Error(w, "the connection is not known", http.StatusInternalServerError)
		return
	}
	switch err := conn.CheckHeader(r.Method+" "+r.RequestURI+" "+r.Proto, r.ContentLength); {
	case errors.Is(err, inbound.ErrUnchecked):
		w.Header().Set("Connection", "close")
	case err != nil:
		s.refuseRequest(w, conn, inbound.CauseAmbiguous, http.StatusBadRequest, err.Error())
		return
	}
	limits := s.limits()
	if headerSize(r) > limits.MaxHeaderBytes {
		s.refuseRequest(w, conn, inbound.CauseHeaderSize, http.StatusRequestHeaderFieldsTooLarge,
			fmt.Sprintf("the header is over %d bytes", limits.MaxHeaderBytes))
		return
	}
	if r.ContentLength > int64(limits.MaxBody) {
		s.refuseRequest(w, conn, inbound.CauseBodySize, http.StatusRequestEntityTooLarge,
			fmt.Sprintf("the body is over %d bytes", limits.MaxBody))
		return
	}
	if r.ContentLength == 0 {
		if conn.Execute() {
			s.handler.ServeHTTP(w, r)
		}
		return
	}
	s.serveWithBody(w, r, conn, limits)
}

// refuseRequest refuses a request without reading its body, and closes the connection.
func (s *Server) refuseRequest(w http.ResponseWriter, conn *inbound.Conn, cause inbound.Cause, status int, message string) {
	conn.Refuse(cause)
	w.Header().Set("Connection", "close")
	s.refuse(w, status, message)
}

// serveWithBody calls the handler before the body has been read. If the handler answers
// without reading it, the answer is sent at once, and the rest of the body is read so that the
// connection can be used again.
func (s *Server) serveWithBody(w http.ResponseWriter, r *http.Request, conn *inbound.Conn, limits RequestLimits) {
	controller := http.NewResponseController(w)
	// Otherwise net/http reads the rest of a body before it sends the answer.
	if err := controller.EnableFullDuplex(); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	b := &body{ReadCloser: http.MaxBytesReader(w, r.Body, int64(limits.MaxBody)), conn: conn, timeout: limits.IdleTimeout}
	// net/http examines the body of its own request afterwards, so that is left as it is.
	bounded := r.WithContext(r.Context())
	bounded.Body = b
	answer := &bufferedAnswer{ResponseWriter: w}
	s.handler.ServeHTTP(answer, bounded)
	answer.finish()
	if b.isDone() || r.Header.Get("Expect") != "" {
		return
	}
	conn.Discard()
	if controller.Flush() == nil {
		_, _ = io.Copy(io.Discard, b)
	}
}

// body is the body of a request, which must keep arriving.
type body struct {
	io.ReadCloser
	conn    *inbound.Conn
	timeout time.Duration

	mu   sync.Mutex
	done bool
}

// Read reads a part of the body, and waits for it at most for the timeout.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.done {
		if err := b.conn.SetReadDeadline(time.Now().Add(b.timeout)); err != nil {
			return 0, err //nolint:wrapcheck // As the body.
		}
	}
	n, err := b.ReadCloser.Read(p)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) && !b.done {
		b.conn.Refuse(inbound.CauseBodySize)
	}
	if err == nil || b.done {
		return n, err
	}
	b.done = true
	if errors.Is(err, io.EOF) {
		// The connection now waits for the handler, not for its client.
		if err := b.conn.SetReadDeadline(time.Time{}); err != nil {
			return n, err //nolint:wrapcheck // As the body.
		}
		b.conn.Execute()
	}
	return n, err
}

// isDone reports whether no more of the body can be read.
func (b *body) isDone() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.done
}

// headerSize returns the size of the request line and the header as they were sent, without
// optional white space.
func headerSize(r *http.Request) int {
	const separators = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

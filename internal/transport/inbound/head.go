package inbound

import (
	"bytes"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// head keeps the raw header of a request, because net/http removes fields that a proxy in
// front may have read differently.
type head struct {
	mu   sync.Mutex
	data []byte
	// bodyLeft is how much of the current body has not been received; -1 if its length is
	// not known, so that its end can't be told from the next request.
	bodyLeft int64
}

// record keeps bytes of a header, and those that were received after the current body.
func (h *head) record(p []byte, current phase) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if current == inBody || current == discarding {
		if h.bodyLeft < 0 {
			return
		}
		skipped := min(h.bodyLeft, int64(len(p)))
		h.bodyLeft -= skipped
		p = p[skipped:]
	}
	h.data = append(h.data, p...)
}

// take returns the header that was received, and goes on to what follows a body of the given
// length. It returns nil if the header was not recorded whole.
func (h *head) take(bodyLength int64) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	start := len(h.data) - len(bytes.TrimLeft(h.data, "\r\n"))
	end := headerEnd(h.data[start:])
	if end < 0 {
		h.data, h.bodyLeft = nil, bodyLength
		return nil
	}
	header, rest := h.data[start:start+end], h.data[start+end:]
	h.data, h.bodyLeft = nil, bodyLength
	if bodyLength >= 0 {
		skipped := min(bodyLength, int64(len(rest)))
		h.bodyLeft -= skipped
		if skipped < int64(len(rest)) {
			// Not copied, since a read may hold a hundred pipelined requests.
			h.data = rest[skipped:]
		}
	}
	return header
}

// headerEnd returns the length of a header with its blank line, as net/http finds it.
func headerEnd(data []byte) int {
	for start := 0; start < len(data); {
		n := bytes.IndexByte(data[start:], '\n')
		if n < 0 {
			return -1
		}
		if line := bytes.TrimSuffix(data[start:start+n], []byte("\r")); len(line) == 0 {
			return start + n + 1
		}
		start += n + 1
	}
	return -1
}

// ErrUnchecked means that a header was not recorded whole, since it followed a chunked body at
// once. The connection must be closed after its answer.
var ErrUnchecked = errors.New("the header follows a chunked body and is not checked")

// CheckHeader returns an error if a proxy may have read the header of a request differently:
// it might then take the request's body for another request, or the other way round.
// startLine is the request line as net/http has read it.
func (c *Conn) CheckHeader(startLine string, bodyLength int64) error {
	header := c.head.take(bodyLength)
	if header == nil {
		return ErrUnchecked
	}
	if bytes.Count(header, []byte("\n")) != bytes.Count(header, []byte("\r\n")) || bytes.Count(header, []byte("\r")) != bytes.Count(header, []byte("\r\n")) {
		return errors.New("lines of a header must end with CR and LF")
	}
	lines := strings.Split(string(header), "\r\n")
	if lines[0] != startLine {
		return ErrUnchecked
	}
	counts := map[string]int{}
	for _, line := range lines[1:] {
		if line == "" {
			break
		}
		if line[0] == ' ' || line[0] == '\t' {
			return errors.New("a field must be on one line")
		}
		name, _, _ := strings.Cut(line, ":")
		counts[strings.ToLower(name)]++
	}
	lengths, encodings := counts["content-length"], counts["transfer-encoding"]
	switch {
	case lengths+encodings > 1:
		return errors.New("a body must have one length or one encoding")
	case encodings > 0 && strings.HasSuffix(startLine, "HTTP/1.0"):
		return errors.New("HTTP/1.0 has no Transfer-Encoding")
	case counts["host"] > 1:
		return errors.New("a request must have one Host")
	}
	return nil
}

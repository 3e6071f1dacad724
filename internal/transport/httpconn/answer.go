package httpconn

import (
	"net/http"
	"strconv"
)

// maxBufferedAnswer bounds the answers that are sent with their length, in bytes.
const maxBufferedAnswer = 4 << 10

// bufferedAnswer gives a short answer its length. Without one, the end of an answer is sent only
// after the rest of the request's body has been read.
type bufferedAnswer struct {
	http.ResponseWriter
	status int
	data   []byte
	sent   bool
}

// Unwrap returns the underlying writer to http.ResponseController.
func (a *bufferedAnswer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// WriteHeader keeps the status until the answer is sent.
func (a *bufferedAnswer) WriteHeader(status int) {
	if a.status == 0 {
		a.status = status
	}
}

// Write buffers a short answer.
func (a *bufferedAnswer) Write(p []byte) (int, error) {
	if !a.sent && len(a.data)+len(p) <= maxBufferedAnswer {
		a.data = append(a.data, p...)
		return len(p), nil
	}
	if err := a.send(); err != nil {
		return 0, err
	}
	return a.ResponseWriter.Write(p) //nolint:wrapcheck // As http.ResponseWriter.
}

func (a *bufferedAnswer) send() error {
	if a.sent {
		return nil
	}
	a.sent = true
	if a.status == 0 {
		a.status = http.StatusOK
	}
	a.ResponseWriter.WriteHeader(a.status)
	if len(a.data) == 0 {
		return nil
	}
	_, err := a.ResponseWriter.Write(a.data)
	return err //nolint:wrapcheck // As http.ResponseWriter.
}

// finish sends an answer that is still buffered, with its length.
func (a *bufferedAnswer) finish() {
	if !a.sent && a.status != http.StatusNoContent && a.status != http.StatusNotModified && a.Header().Get("Content-Length") == "" {
		a.Header().Set("Content-Length", strconv.Itoa(len(a.data)))
	}
	// A write fails only if the client has disconnected.
	_ = a.send()
}

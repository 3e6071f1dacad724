package clientload

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/platform"
)

// configuration is what the stand-in's operators publish: one queue, with the limits of the
// callers' interface that a deployment has.
const configuration = `{"version":1,"routes":[{"name":"maps","host":"maps","path-prefix":"/jobs/","service":"maps","max-attempts":3,"stretch":2}],
"services":[{"name":"maps"}],
"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

// startPlatform starts a stand-in of the platform's log. It has a configuration, takes every
// append and keeps none, and gives no partition to the entry host.
func startPlatform(t *testing.T) string {
	t.Helper()
	mux := http.NewServeMux()
	reply := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = fmt.Fprint(w, body)
		}
	}
	mux.HandleFunc("POST /api/log-append", reply(http.StatusOK, `{"end":1}`))
	mux.HandleFunc("POST /api/log-join", reply(http.StatusOK, `{"generation":1,"parts":[]}`))
	mux.HandleFunc("POST /api/log-leave", reply(http.StatusOK, `{}`))
	mux.HandleFunc("GET /api/log-owners", reply(http.StatusOK, `{"parts":[]}`))
	mux.HandleFunc("GET /api/log-newest", func(w http.ResponseWriter, r *http.Request) {
		type item struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		}
		items := []item{}
		if r.URL.Query().Get("topic") == (platform.RecordCodec{}).OperatorPartition().Topic {
			items = append(items, item{"config", []byte(configuration)})
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "end": 1})
	})
	mux.HandleFunc("GET /api/log-read", func(w http.ResponseWriter, r *http.Request) {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
		select {
		case <-r.Context().Done():
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
		_, _ = w.Write(append(binary.BigEndian.AppendUint64(nil, 1), make([]byte, 8)...))
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

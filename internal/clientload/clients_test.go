package clientload

import (
	"fmt"
	"net/http"
	"testing"
)

// checkEntryHost runs loads against an entry host. It fails the test if the process exits,
// exceeds its memory or descriptors, or answers no ordinary request afterwards.
func checkEntryHost(t *testing.T, loads func(*entryHost) []load) {
	t.Helper()
	e := startEntryHost(t)
	defer e.checkBounds(t)
	run(t, loads(e)...)
	e.awaitAnswers(t)
}

// TestUnendedChunks guards against memory that grows with bodies which never end.
func TestUnendedChunks(t *testing.T) {
	checkEntryHost(t, func(e *entryHost) []load { return []load{unendedChunks(e.caller, "/jobs/a")} })
}

// TestSmallChunks guards against memory that is a multiple of a body in small chunks.
func TestSmallChunks(t *testing.T) {
	checkEntryHost(t, func(e *entryHost) []load { return []load{smallChunks(e.caller, "/jobs/a")} })
}

// TestAnnouncedBodies guards against bodies over the limit that are read all the same.
func TestAnnouncedBodies(t *testing.T) {
	checkEntryHost(t, func(e *entryHost) []load { return []load{announced(e.caller, "/jobs/a")} })
}

// TestPipelinedRequests guards against requests that are read ahead while their answers are
// not taken.
func TestPipelinedRequests(t *testing.T) {
	checkEntryHost(t, func(e *entryHost) []load { return []load{pipelined(e.caller)} })
}

// TestPipelinedRequestsWithHost guards against the same if each request is answered.
func TestPipelinedRequestsWithHost(t *testing.T) {
	checkEntryHost(t, func(e *entryHost) []load { return []load{pipelinedWithHost(e.caller, "/none")} })
}

// TestUnendedHeaders guards against memory that grows with headers which never end.
func TestUnendedHeaders(t *testing.T) {
	checkEntryHost(t, func(e *entryHost) []load { return []load{unendedHeaders(e.caller)} })
}

// TestAllLoads guards against bounds that hold for each kind of load only by itself.
func TestAllLoads(t *testing.T) {
	checkEntryHost(t, func(e *entryHost) []load {
		return []load{
			unendedChunks(e.caller, "/jobs/a"), smallChunks(e.caller, "/jobs/a"), announced(e.caller, "/jobs/a"),
			pipelined(e.caller), unendedHeaders(e.caller), unendedChunks(e.metrics, "/jobs/maps/a"), unendedMessages(e.peer),
		}
	})
}

// TestMetricsListener guards against the same loads at the metrics and jobs listener.
func TestMetricsListener(t *testing.T) {
	checkEntryHost(t, func(e *entryHost) []load {
		return []load{unendedChunks(e.metrics, "/jobs/maps/a"), pipelinedWithHost(e.metrics, "/metrics")}
	})
}

// TestHealthListener guards against the same loads at the health listener.
func TestHealthListener(t *testing.T) {
	checkEntryHost(t, func(e *entryHost) []load { return []load{unendedChunks(e.health, "/"), smallChunks(e.health, "/")} })
}

// TestPeerListener guards against memory that grows with messages which never end.
func TestPeerListener(t *testing.T) {
	checkEntryHost(t, func(e *entryHost) []load { return []load{unendedMessages(e.peer)} })
}

// TestCallerListener guards against the same loads at the listener of the entry host for
// requests. Its settings bound the connections, the requests held and the size of each.
func TestCallerListener(t *testing.T) {
	const (
		maxConns, maxHeld, maxBody = 400, 32, 262144
		// baseMB is what the process uses without load, with room for garbage.
		baseMB = 48
		// connKB is what a connection may use beside its body.
		connKB = 32
	)
	callers := freeAddress(t)
	// The settings allow each held request its body once as received and once as read.
	memoryMB := baseMB + 2*maxHeld*maxBody>>20 + maxConns*connKB>>10
	p := serve(t, fmt.Sprintf(`{"name": "e", "data-centre": "gilgit",
  "caller-address": %q, "operator-address": %q, "peer-address": %q, "platform-address": %q,
  "limits": {"max-connections": %d, "max-held-requests": %d, "max-body-bytes": %d}}`,
		callers, freeAddress(t), freeAddress(t), startPlatform(t), maxConns, maxHeld, maxBody), memoryMB, maxDescriptors-fileDescriptors)
	ordinary := func() { awaitAnswer(t, http.StatusNoContent, http.MethodGet, "http://"+callers+"/health", "", "") }
	ordinary()
	defer p.checkBounds(t)
	run(t, unendedChunks(callers, "/work"), smallChunks(callers, "/work"), announced(callers, "/work"), pipelined(callers))
	ordinary()
}

package entryhost

import (
	"sync"

	"github.com/hornbeammast/hornbeammast/internal/state"
)

// historyLimit is the number of versions of the configuration that are kept for
// operators.
const historyLimit = 32

// history holds the latest versions of the configuration that this process has
// applied.
type history struct {
	mu       sync.Mutex
	versions []uint64
	configs  map[uint64][]byte
}

func newHistory() *history {
	return &history{configs: map[uint64][]byte{}}
}

// add adds the configuration of a state and drops the oldest version beyond the limit.
func (h *history) add(s *state.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.configs[s.Version]; ok {
		return
	}
	h.configs[s.Version] = s.ConfigJSON
	h.versions = append(h.versions, s.Version)
	if len(h.versions) > historyLimit {
		delete(h.configs, h.versions[0])
		h.versions = h.versions[1:]
	}
}

func (h *history) find(version uint64) ([]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	config, ok := h.configs[version]
	return config, ok
}

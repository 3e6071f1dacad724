package entryhost

import (
	"sync"

	"github.com/hornbeammast/hornbeammast/internal/state"
)

// historyLimit is how many versions of the configuration are kept for operators.
const historyLimit = 32

// history keeps the last versions of the configuration.
type history struct {
	mu       sync.Mutex
	versions []uint64
	configs  map[uint64][]byte
}

func newHistory() *history {
	return &history{configs: map[uint64][]byte{}}
}

func (h *history) note(s *state.State) {
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

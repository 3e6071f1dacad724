package schedule

import (
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// crowd remembers what no host has had room for in one plan, so that what needs at
// least as much is not tried on every host again.
type crowd []worker.Resources

// add notes that a step found no room. Bounds of its own may have been the reason,
// so only a step without them tells about others.
func (f *crowd) add(s *step) {
	if s.def.MaxPerHost == 0 && s.def.RequiredLabel == "" && !s.entry.NeedsAdvice {
		*f = append(*f, s.def.Reserved())
	}
}

// excludes tells whether a step needs at least what found no room.
func (f crowd) excludes(s *step) bool {
	needs := s.def.Reserved()
	for _, r := range f {
		if r.Fits(needs) {
			return true
		}
	}
	return false
}

package schedule

import (
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// unplacedDemands holds the demands for which no host had capacity in the current plan,
// so that steps that need at least as much are not tried on every host again.
type unplacedDemands []worker.Resources

// add records that a step could not be placed. A step with bounds of its own is left
// out, since these and not the capacity may have been the reason.
func (u *unplacedDemands) add(s *step) {
	if s.def.MaxPerHost == 0 && s.def.RequiredLabel == "" && !s.job.NeedsPlacementCheck {
		*u = append(*u, s.def.Reserved())
	}
}

// excludes reports whether a step needs at least as much as a recorded demand.
func (u unplacedDemands) excludes(s *step) bool {
	return u.excludesDemand(s.def.Reserved())
}

// excludesDemand reports whether a demand is at least as large as a recorded one.
func (u unplacedDemands) excludesDemand(needs worker.Resources) bool {
	for _, r := range u {
		if r.Fits(needs) {
			return true
		}
	}
	return false
}

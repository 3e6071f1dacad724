package state

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/hornbeammast/hornbeammast/internal/protocol/fleet"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

// findHost returns the host of an action if it is in one of the phases and has not
// changed since the phase that the author of the action saw.
func (s *State) findHost(action *wire.HostAction, phases ...Phase) (Host, error) {
	h, ok := s.Hosts[action.GetHost()]
	if !ok {
		return Host{}, refuse("host %q is not declared", action.GetHost())
	}
	if action.GetSince() != 0 && action.GetSince() != h.Since {
		return Host{}, refuse("host %q has changed since: it is %s now", h.Name, h.Phase)
	}
	if !slices.Contains(phases, h.Phase) {
		return Host{}, refuse("host %q is %s; it must be %s", h.Name, h.Phase, phases[0])
	}
	return h, nil
}

func (s *State) foldDrain(at entry, action *wire.HostAction) error {
	h, err := s.findHost(action, InService)
	if err != nil {
		return err
	}
	declared := s.Document.Hosts[h.Name]
	if s.DataCentres[declared.DataCentre].Lost {
		return refuse("data centre %q is out of contact; wait until it is back", declared.DataCentre)
	}
	after := s.Availability(h.Pool).Without(declared)
	if breach := after.Breach(s.Document.Pools[h.Pool].Budget); breach != "" {
		return refuse("the budget of pool %q would break: %s; return a host or wait", h.Pool, breach)
	}
	h, err = s.setPurpose(h, action)
	if err != nil {
		return err
	}
	s.setHost(h.enter(Draining, at))
	return nil
}

// setPurpose sets the purpose of a drain on a host and checks the pool that it leads to.
func (s *State) setPurpose(h Host, action *wire.HostAction) (Host, error) {
	h.Purpose = Purpose(action.GetThen())
	switch h.Purpose {
	case Hold, Reboot:
		return h, nil
	case Move, Lend:
		h.ToPool = action.GetToPool()
		return h, s.checkDestination(h, h.ToPool)
	default:
		return h, refuse("a drain must be for hold, reboot, move or lend, not %q", h.Purpose)
	}
}

// checkDestination checks that a host can move to a pool.
func (s *State) checkDestination(h Host, to string) error {
	if _, ok := s.Document.Pools[to]; !ok {
		return refuse("pool %q is not declared", to)
	}
	if to == h.Pool {
		return refuse("host %q is in pool %q already", h.Name, to)
	}
	return nil
}

func (s *State) foldReboot(at entry, action *wire.HostAction) error {
	h, err := s.findHost(action, Drained)
	if err != nil {
		return err
	}
	if home := s.Document.Hosts[h.Name].DataCentre; home != at.record.GetDataCentre() {
		return refuse("host %q may be rebooted only by an entry host of data centre %q", h.Name, home)
	}
	s.setHost(h.enter(Rebooting, at))
	return nil
}

func (s *State) foldReturn(at entry, action *wire.HostAction) error {
	h, err := s.findHost(action, Draining, Drained, Rebooting)
	if err != nil {
		return err
	}
	if h.Phase == Rebooting {
		h.MaintainedAt = at.written()
	}
	s.setHost(h.returnToService(at))
	return nil
}

func (s *State) foldFail(at entry, action *wire.HostAction) error {
	h, err := s.findHost(action, InService, Draining, Drained, Rebooting)
	if err != nil {
		return err
	}
	h.Purpose, h.ToPool = "", ""
	s.setHost(h.enter(Failed, at))
	return nil
}

func (s *State) foldRecover(at entry, action *wire.HostAction) error {
	h, err := s.findHost(action, Failed)
	if err != nil {
		return err
	}
	s.setHost(h.returnToService(at))
	return nil
}

// foldRelease takes a drained host out of its pool, or changes the pool that a released
// host moves to.
func (s *State) foldRelease(at entry, release *wire.Release) error {
	h, err := s.findHost(&wire.HostAction{Host: release.GetHost()}, Drained, Released)
	if err != nil {
		return err
	}
	to := release.GetToPool()
	if err := s.checkDestination(h, to); err != nil {
		return err
	}
	h = h.enter(Released, at)
	h.Pool = ""
	h.ToPool = to
	s.setHost(h)
	return nil
}

// foldAttach puts a released host into its new pool once every entry host of its data
// centre has confirmed the release.
func (s *State) foldAttach(at entry, action *wire.HostAction) error {
	h, err := s.findHost(action, Released)
	if err != nil {
		return err
	}
	if missing := s.unconfirmed(h); len(missing) > 0 {
		return refuse("host %q: entry hosts %q have not confirmed the release yet", h.Name, missing)
	}
	declared := s.Document.Hosts[h.Name]
	if _, ok := s.Document.Pools[h.ToPool]; !ok {
		return refuse("pool %q is gone; release host %q to another", h.ToPool, h.Name)
	}
	declared.Pool = h.ToPool
	if err := s.rewriteHost(h.Name, declared); err != nil {
		return err
	}
	h.Pool = h.ToPool
	if h.Purpose != Lend {
		h.Home = h.Pool
	}
	s.setHost(h.returnToService(at))
	s.Version++
	return nil
}

// rewriteHost replaces a declared host in a copy of the document.
func (s *State) rewriteHost(name string, declared fleet.Host) error {
	document := *s.Document
	document.Hosts = make(map[string]fleet.Host, len(s.Document.Hosts))
	for other, h := range s.Document.Hosts {
		document.Hosts[other] = h
	}
	document.Hosts[name] = declared
	var buffer bytes.Buffer
	if err := json.NewEncoder(&buffer).Encode(&document); err != nil {
		return refuse("document: %v", err)
	}
	s.Document = &document
	s.ConfigJSON = bytes.TrimSpace(buffer.Bytes())
	return nil
}

// unconfirmed lists the members of a host's data centre that have not confirmed its
// phase and so may still act on the previous one.
func (s *State) unconfirmed(h Host) []string {
	members := s.DataCentres[s.Document.Hosts[h.Name].DataCentre].Members
	missing := []string{}
	for _, member := range members {
		if !slices.Contains(h.Confirmed, member) {
			missing = append(missing, member)
		}
	}
	if len(members) == 0 {
		missing = append(missing, "(none known in the data centre)")
	}
	return missing
}

// Confirmed reports whether all members of a host's data centre have read the record
// of its phase and have no work left on it.
func (s *State) Confirmed(name string) bool {
	h, ok := s.Hosts[name]
	return ok && len(s.unconfirmed(h)) == 0
}

// Unconfirmed lists the entry hosts whose confirmation a drain or a move still waits for.
func (s *State) Unconfirmed(name string) []string {
	return s.unconfirmed(s.Hosts[name])
}

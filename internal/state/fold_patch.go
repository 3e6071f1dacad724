package state

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"github.com/hornbeammast/hornbeammast/internal/protocol/fleet"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

func (s *State) foldPatch(at entry, patch *wire.Patch) error {
	if patch.GetBaseVersion() != s.Version {
		return refuse("stale: the patch was written against version %d and the configuration is at %d; read it again and rewrite the patch", patch.GetBaseVersion(), s.Version)
	}
	merged, err := applyPatch(s.ConfigJSON, patch)
	if err != nil {
		return err
	}
	merged, err = canonicalJSON(merged)
	if err != nil {
		return err
	}
	document, err := fleet.Parse(merged)
	if err != nil {
		return refuse("%v", err)
	}
	hosts, err := s.patchHosts(at, document)
	if err != nil {
		return err
	}
	s.Hosts = hosts
	s.Document = document
	s.ConfigJSON = merged
	s.Version++
	return s.checkBudgets(document)
}

func applyPatch(config []byte, patch *wire.Patch) ([]byte, error) {
	switch patch.GetFormat() {
	case wire.PatchFormat_PATCH_FORMAT_JSON_PATCH:
		operations, err := jsonpatch.DecodePatch(patch.GetDocument())
		if err != nil {
			return nil, refuse("the patch is not RFC 6902 JSON: %v", err)
		}
		merged, err := operations.Apply(config)
		if err != nil {
			return nil, refuse("the patch does not apply: %v", err)
		}
		return merged, nil
	case wire.PatchFormat_PATCH_FORMAT_MERGE_PATCH:
		merged, err := jsonpatch.MergePatch(config, patch.GetDocument())
		if err != nil {
			return nil, refuse("the merge patch does not apply: %v", err)
		}
		return merged, nil
	default:
		return nil, refuse("the patch's format is not known; use json-patch or merge-patch")
	}
}

// canonicalJSON sorts the keys of a document. The patch library adds new keys in no fixed
// order, but equal configurations must have equal bytes in every process.
func canonicalJSON(config []byte) ([]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(config))
	decoder.UseNumber()
	var document any
	if err := decoder.Decode(&document); err != nil {
		return nil, refuse("the patched document is not JSON: %v", err)
	}
	sorted, err := json.Marshal(document)
	if err != nil {
		return nil, refuse("the patched document can't be written: %v", err)
	}
	return sorted, nil
}

// patchHosts returns the hosts under a new document: the existing ones with their
// phase and pool, less those that it removes, and those that it adds.
func (s *State) patchHosts(at entry, document *fleet.Document) (map[string]Host, error) {
	hosts := maps.Clone(s.Hosts)
	for _, name := range s.HostNames() {
		if err := s.patchHost(hosts, name, document); err != nil {
			return nil, err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(document.Hosts)) {
		if _, ok := hosts[name]; ok {
			continue
		}
		h := Host{Name: name, Pool: document.Hosts[name].Pool, Home: document.Hosts[name].Pool, MaintainedAt: at.written()}
		hosts[name] = h.enter(InService, at)
	}
	return hosts, nil
}

// patchHost checks the change of an existing host and removes the host if the new
// document does not declare it.
func (s *State) patchHost(hosts map[string]Host, name string, document *fleet.Document) error {
	h := s.Hosts[name]
	declared, ok := document.Hosts[name]
	if !ok {
		if h.Phase != Drained && h.Phase != Failed {
			return refuse("host %q is %s; drain it before it is removed", name, h.Phase)
		}
		delete(hosts, name)
		return nil
	}
	before := s.Document.Hosts[name]
	if declared.Pool != before.Pool {
		return refuse("host %q: a patch can't move it to pool %q; use the move command", name, declared.Pool)
	}
	if declared.DataCentre != before.DataCentre || declared.Rack != before.Rack {
		return refuse("host %q: its place can't change; drain and remove it, then add it anew", name)
	}
	if declared.Address != before.Address && h.Phase == InService {
		return refuse("host %q: drain it before its address changes", name)
	}
	return nil
}

// checkBudgets refuses a min-available-hosts above the number of a pool's hosts, and the
// removal of a pool that still has hosts.
func (s *State) checkBudgets(document *fleet.Document) error {
	members := map[string]int{}
	for _, h := range s.Hosts {
		members[h.Pool]++
	}
	for _, name := range slices.Sorted(maps.Keys(document.Pools)) {
		if need := document.Pools[name].Budget.MinAvailableHosts; members[name] > 0 && need > members[name] {
			return refuse("pool %q: min-available-hosts is %d and it has %d hosts", name, need, members[name])
		}
	}
	for _, name := range s.HostNames() {
		h := s.Hosts[name]
		if _, ok := document.Pools[h.Pool]; !ok && h.Phase != Released {
			return refuse("pool %q still has host %q", h.Pool, h.Name)
		}
	}
	return nil
}

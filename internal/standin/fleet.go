package standin

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/platformapi"
)

// fleetTable holds the state of entry hosts and upstream hosts. The platform publishes it
// with a delay.
type fleetTable struct {
	heartbeatTimeout time.Duration
	rebootTime       time.Duration

	mu         sync.Mutex
	entryHosts map[string]announcedEntryHost
	hosts      map[string]*hostRecord
}

// announcedEntryHost is an entry host with the time of its last announcement.
type announcedEntryHost struct {
	entry platformapi.EntryHost
	at    time.Time
}

// hostRecord is one upstream host as the platform knows it.
type hostRecord struct {
	// worker is nil for a host that exists only in the live list.
	worker     *Worker
	down       bool
	leaving    bool
	operation  string
	operations map[string]bool
	rebootEnds time.Time
	boots      int
}

func newFleetTable(heartbeatTimeout, rebootTime time.Duration) *fleetTable {
	return &fleetTable{
		heartbeatTimeout: heartbeatTimeout, rebootTime: rebootTime,
		entryHosts: map[string]announcedEntryHost{}, hosts: map[string]*hostRecord{},
	}
}

func (f *fleetTable) announce(entry platformapi.EntryHost, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entryHosts[entry.Name] = announcedEntryHost{entry: entry, at: now}
}

func (f *fleetTable) add(name string, w *Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[name] = &hostRecord{worker: w, operations: map[string]bool{}}
}

// reboot starts a reboot unless the operation ID is known, so that a repeated request has
// no effect. It reports whether the host exists.
func (f *fleetTable) reboot(host, operation string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.hosts[host]
	if !ok {
		return false
	}
	if h.operations[operation] {
		return true
	}
	h.operations[operation] = true
	h.operation = operation
	h.boots++
	h.rebootEnds = now.Add(f.rebootTime)
	if h.worker != nil {
		h.worker.Reboot(f.rebootTime)
	}
	return true
}

func (f *fleetTable) status(host string, now time.Time) (platformapi.HostStatus, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.hosts[host]
	if !ok {
		return platformapi.HostStatus{}, false
	}
	state := h.state(now)
	return platformapi.HostStatus{
		Name: host, State: state, Operation: h.operation, Boots: h.boots,
		Finished: h.operation != "" && !now.Before(h.rebootEnds) && state == platformapi.Live,
	}, true
}

func (h *hostRecord) state(now time.Time) platformapi.Liveness {
	switch {
	case h.down, now.Before(h.rebootEnds):
		return platformapi.Down
	case h.leaving:
		return platformapi.Leaving
	default:
		return platformapi.Live
	}
}

// list returns the live list as of now; an entry host stays in it for heartbeatTimeout
// after its last announcement.
func (f *fleetTable) list(now time.Time) platformapi.LiveList {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := platformapi.LiveList{EntryHosts: []platformapi.EntryHost{}, Hosts: []platformapi.Host{}}
	for _, seen := range f.entryHosts {
		if now.Sub(seen.at) < f.heartbeatTimeout {
			list.EntryHosts = append(list.EntryHosts, seen.entry)
		}
	}
	for name, h := range f.hosts {
		used := 0
		if h.worker != nil {
			used = h.worker.Running()
		}
		list.Hosts = append(list.Hosts, platformapi.Host{Name: name, State: h.state(now), Used: used})
	}
	slices.SortFunc(list.EntryHosts, func(a, b platformapi.EntryHost) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(list.Hosts, func(a, b platformapi.Host) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// update applies a change to a host's record and reports whether the host exists.
func (f *fleetTable) update(host string, apply func(*hostRecord)) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.hosts[host]
	if ok {
		apply(h)
	}
	return ok
}

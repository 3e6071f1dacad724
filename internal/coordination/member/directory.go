// Package member keeps the live list of entry hosts and upstream hosts, reports the
// positions of a data centre's members, and proposes changes of its member set.
package member

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeammast/hornbeammast/internal/protocol/platformapi"
)

// Directory holds the newest live list, and when each entry host was last listed.
type Directory struct {
	self       string
	dataCentre string

	mu          sync.RWMutex
	list        platformapi.LiveList
	refreshedAt time.Time
	entryHosts  map[string]platformapi.EntryHost
	hosts       map[string]platformapi.Host
	lastSeen    map[string]time.Time
	// continuousSince is when the current series of lists without a gap above maxListGap
	// began.
	continuousSince time.Time
	changeCount     int
}

// maxListGap is the longest time between two lists of a continuous series. After a longer
// gap, absence is counted from the first list of the new series, because hosts that
// survived an outage of the platform need time to be listed again.
const maxListGap = 20 * time.Second

// NewDirectory creates an empty directory for an entry host.
func NewDirectory(self, dataCentre string, now time.Time) *Directory {
	return &Directory{
		self: self, dataCentre: dataCentre, continuousSince: now,
		entryHosts: map[string]platformapi.EntryHost{}, hosts: map[string]platformapi.Host{},
		lastSeen: map[string]time.Time{},
	}
}

// Update applies a new live list.
func (d *Directory) Update(list platformapi.LiveList, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.refreshedAt) > maxListGap {
		d.continuousSince = now
	}
	d.list = list
	d.refreshedAt = now
	d.entryHosts = make(map[string]platformapi.EntryHost, len(list.EntryHosts))
	for _, e := range list.EntryHosts {
		d.entryHosts[e.Name] = e
		d.lastSeen[e.Name] = now
	}
	hosts := make(map[string]platformapi.Host, len(list.Hosts))
	changed := len(list.Hosts) != len(d.hosts)
	for _, h := range list.Hosts {
		hosts[h.Name] = h
		changed = changed || d.hosts[h.Name].State != h.State
	}
	d.hosts = hosts
	if changed {
		d.changeCount++
	}
}

// HostCount returns the number of upstream hosts in the list.
func (d *Directory) HostCount() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.hosts)
}

// ChangeCount returns how many lists differed from the list before in the number of upstream
// hosts or in a host's state.
func (d *Directory) ChangeCount() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.changeCount
}

// ApplyFromPeer applies a peer's list of entry hosts. It has no effect once the platform's
// own list has been read.
func (d *Directory) ApplyFromPeer(entries []platformapi.EntryHost) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.refreshedAt.IsZero() {
		return
	}
	d.list.EntryHosts = entries
	for _, e := range entries {
		d.entryHosts[e.Name] = e
	}
}

// RefreshedAt returns when the list was last read, or zero if it never was.
func (d *Directory) RefreshedAt() time.Time {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.refreshedAt
}

// Host returns an upstream host of the list.
func (d *Directory) Host(name string) (platformapi.Host, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	h, ok := d.hosts[name]
	return h, ok
}

// EntryHosts returns the entry hosts of a data centre in the order of the list, or all of
// them if dataCentre is empty.
func (d *Directory) EntryHosts(dataCentre string) []platformapi.EntryHost {
	d.mu.RLock()
	defer d.mu.RUnlock()
	found := []platformapi.EntryHost{}
	for _, e := range d.list.EntryHosts {
		if dataCentre == "" || e.DataCentre == dataCentre {
			found = append(found, e)
		}
	}
	return found
}

// Address returns an entry host's peer address.
func (d *Directory) Address(name string) (netip.AddrPort, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e, ok := d.entryHosts[name]
	return e.PeerAddress, ok
}

// Absent reports whether an entry host has been missing for at least bound from lists that
// were read without a gap.
func (d *Directory) Absent(name string, bound time.Duration, now time.Time) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if _, ok := d.entryHosts[name]; ok || d.refreshedAt.IsZero() {
		return false
	}
	seen, ok := d.lastSeen[name]
	if !ok || seen.Before(d.continuousSince) {
		seen = d.continuousSince
	}
	return d.refreshedAt.Sub(seen) >= bound && now.Sub(seen) >= bound
}

// Owner returns the live entry host of a data centre that is responsible for a key. Entry
// hosts with the same list agree on it.
func (d *Directory) Owner(key, dataCentre string) string {
	names := []string{}
	for _, e := range d.EntryHosts(dataCentre) {
		if e.State == platformapi.Live {
			names = append(names, e.Name)
		}
	}
	return Rendezvous(key, names)
}

// Owns reports whether this entry host is the owner of a key in its data centre.
func (d *Directory) Owns(key string) bool {
	return d.Owner(key, d.dataCentre) == d.self
}

// Rendezvous returns the name with the highest hash together with the key (rendezvous
// hashing), or "" if there are no names.
func Rendezvous(key string, names []string) string {
	best, bestHash := "", uint64(0)
	for _, name := range slices.Sorted(slices.Values(names)) {
		if hash := xxhash.Sum64String(key + "\x00" + name); best == "" || hash > bestHash {
			best, bestHash = name, hash
		}
	}
	return best
}

// Leaving reports whether the list shows an upstream host as leaving or down.
func (d *Directory) Leaving(host string) bool {
	h, ok := d.Host(host)
	return ok && h.State != platformapi.Live
}

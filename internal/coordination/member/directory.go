// Package member keeps the live list of entry hosts, reports positions for a
// data centre and proposes changes of its members.
package member

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeammast/hornbeammast/internal/protocol/platformapi"
)

// Directory is the newest live list, and since when entry hosts are missing from it.
type Directory struct {
	self       string
	dataCentre string

	mu         sync.RWMutex
	list       platformapi.LiveList
	refreshed  time.Time
	entryHosts map[string]platformapi.EntryHost
	hosts      map[string]platformapi.Host
	lastSeen   map[string]time.Time
	// began is when the present run of lists began.
	began   time.Time
	changes int
}

// listGap is the longest time between two lists of one run. After a longer one
// absence is counted anew: hosts that lived through an outage of the platform
// need time to be listed again.
const listGap = 20 * time.Second

// NewDirectory makes an empty directory for an entry host.
func NewDirectory(self, dataCentre string, now time.Time) *Directory {
	return &Directory{
		self: self, dataCentre: dataCentre, began: now,
		entryHosts: map[string]platformapi.EntryHost{}, hosts: map[string]platformapi.Host{},
		lastSeen: map[string]time.Time{},
	}
}

// Update takes a new live list.
func (d *Directory) Update(list platformapi.LiveList, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.refreshed) > listGap {
		d.began = now
	}
	d.list = list
	d.refreshed = now
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
		d.changes++
	}
}

// HostCount is the number of upstream hosts in the list.
func (d *Directory) HostCount() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.hosts)
}

// Changes counts the lists that showed an upstream host in another state than before.
func (d *Directory) Changes() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.changes
}

// Learn takes entry hosts that a peer knows of, as long as the platform's own
// list has never been read.
func (d *Directory) Learn(entries []platformapi.EntryHost) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.refreshed.IsZero() {
		return
	}
	d.list.EntryHosts = entries
	for _, e := range entries {
		d.entryHosts[e.Name] = e
	}
}

// Refreshed is when the list was last read.
func (d *Directory) Refreshed() time.Time {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.refreshed
}

// Host finds an upstream host in the list.
func (d *Directory) Host(name string) (platformapi.Host, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	h, ok := d.hosts[name]
	return h, ok
}

// EntryHosts lists the entry hosts of a data centre, or all if it is empty, in order.
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

// Address finds an entry host's peer address.
func (d *Directory) Address(name string) (netip.AddrPort, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e, ok := d.entryHosts[name]
	return e.PeerAddress, ok
}

// Absent tells whether an entry host has been missing from fresh lists for a time.
func (d *Directory) Absent(name string, bound time.Duration, now time.Time) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if _, ok := d.entryHosts[name]; ok || d.refreshed.IsZero() {
		return false
	}
	seen, ok := d.lastSeen[name]
	if !ok || seen.Before(d.began) {
		seen = d.began
	}
	return d.refreshed.Sub(seen) >= bound && now.Sub(seen) >= bound
}

// Owner picks one of the live entry hosts for a key, the same wherever the list is the same.
func (d *Directory) Owner(key, dataCentre string) string {
	names := []string{}
	for _, e := range d.EntryHosts(dataCentre) {
		if e.State == platformapi.Live {
			names = append(names, e.Name)
		}
	}
	return Rendezvous(key, names)
}

// Owns tells whether this entry host is the owner of a key in its data centre.
func (d *Directory) Owns(key string) bool {
	return d.Owner(key, d.dataCentre) == d.self
}

// Rendezvous picks the name with the highest hash for a key, "" from none.
func Rendezvous(key string, names []string) string {
	best, bestHash := "", uint64(0)
	for _, name := range slices.Sorted(slices.Values(names)) {
		if hash := xxhash.Sum64String(key + "\x00" + name); best == "" || hash > bestHash {
			best, bestHash = name, hash
		}
	}
	return best
}

// Leaving tells whether the list shows an upstream host as leaving or down.
func (d *Directory) Leaving(host string) bool {
	h, ok := d.Host(host)
	return ok && h.State != platformapi.Live
}

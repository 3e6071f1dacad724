package site

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
)

// keysPerOrganisation is the number of keys of which each version has some.
const keysPerOrganisation = 4

// rotatingOrganisations are the organisations whose keys rotate.
var rotatingOrganisations = []string{"one", "two"}

func rotatingKey(organisation string, n int) string { return fmt.Sprint("k-", organisation, "-", n) }

// WithKeys returns a version of a configuration with the keys of organisations.
func WithKeys(base *queue.Configuration, version int64, keys map[string][]string) *queue.Configuration {
	c := *base
	c.Version, c.RequiresKeys = version, true
	for _, name := range slices.Sorted(maps.Keys(keys)) {
		o := queue.Organisation{Name: name, Weight: 1}
		for _, key := range keys[name] {
			o.Keys = append(o.Keys, queue.DigestKey(key))
		}
		c.Organisations = append(c.Organisations, o)
	}
	return &c
}

// RotateKeys publishes versions of a configuration with random keys until end, some in quick succession.
func (s *Site) RotateKeys(base *queue.Configuration, end time.Time) {
	for version := base.Version + 1; time.Now().Before(end); version++ {
		organisations := map[string][]string{}
		for _, organisation := range rotatingOrganisations {
			for n := range keysPerOrganisation {
				if s.chance(0.5) {
					organisations[organisation] = append(organisations[organisation], rotatingKey(organisation, n))
				}
			}
		}
		if err := s.Configure(WithKeys(base, version, organisations)); err != nil {
			panic(err) // Unreachable: a configuration is plain data.
		}
		time.Sleep(time.Duration(100+6000*s.random()*s.random()) * time.Millisecond)
	}
}

// RandomKey returns a rotating key, or one that is never valid.
func (s *Site) RandomKey() string {
	n := s.randomIndex(len(rotatingOrganisations)*keysPerOrganisation + 1)
	if n == 0 {
		return "k-none"
	}
	return rotatingKey(rotatingOrganisations[(n-1)/keysPerOrganisation], (n-1)%keysPerOrganisation)
}

// HostsInContact returns a function that returns a random entry host which the log has answered in all
// calls of the function within the last keyBound, or nil.
func (s *Site) HostsInContact() func() *EntryHost {
	began, lastFault := time.Now(), map[string]time.Time{}
	return func() *EntryHost {
		var inContact []*EntryHost
		for _, h := range s.runningHosts() {
			if fault := s.storeFault(h.Name); fault.Refuses || fault.Unresponsive {
				lastFault[h.Name] = time.Now()
			}
			if last, ok := lastFault[h.Name]; time.Since(began) > keyBound && (!ok || time.Since(last) > keyBound) {
				inContact = append(inContact, h)
			}
		}
		if len(inContact) == 0 {
			return nil
		}
		return inContact[s.randomIndex(len(inContact))]
	}
}

package site

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
)

// keyPeriod is a time in which the published configurations give a key to an organisation.
type keyPeriod struct {
	organisation string
	since        time.Time
	// until is zero while the newest configuration has the key.
	until time.Time
}

// keysPublished notes the keys of a configuration. The lock is held.
func (l *Ledger) keysPublished(c *queue.Configuration) {
	now := time.Now()
	published := map[queue.KeyDigest]string{}
	for n := range c.Organisations {
		for _, key := range c.Organisations[n].Keys {
			published[key] = c.Organisations[n].Name
		}
	}
	for key, periods := range l.keys {
		last := &periods[len(periods)-1]
		if last.until.IsZero() && published[key] != last.organisation {
			last.until = now
		}
	}
	for key, organisation := range published {
		periods := l.keys[key]
		if len(periods) == 0 || !periods[len(periods)-1].until.IsZero() {
			l.keys[key] = append(periods, keyPeriod{organisation: organisation, since: now})
		}
	}
}

// organisationOf returns the organisation of a job, or an empty name.
func (l *Ledger) organisationOf(id job.ID) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.jobs[id]; ok {
		return s.Organisation
	}
	return ""
}

// keyRefused checks a refusal of a call with a key that was sent at a time. Any entry host has to know that the
// key is invalid.
func (l *Ledger) keyRefused(host string, key queue.KeyDigest, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	periods := l.keys[key]
	if len(periods) == 0 {
		return
	}
	if last := periods[len(periods)-1]; last.until.IsZero() && sent.Sub(last.since) > keyBound {
		l.addViolation("key: %s refuses a key of %s %s after it was published", host, last.organisation, sent.Sub(last.since))
	}
}

// keyAccepted checks the organisation that an entry host has given to a call with a key just now.
func (l *Ledger) keyAccepted(host string, key queue.KeyDigest, organisation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := false
	for _, p := range l.keys[key] {
		if p.organisation != organisation {
			continue
		}
		if p.until.IsZero() || time.Since(p.until) <= keyBound {
			return
		}
		known = true
	}
	if known {
		l.addViolation("key: a call with a key of %s runs at %s more than %s after it was withdrawn", organisation, host, keyBound)
	} else {
		l.addViolation("key: a call with an unknown key runs at %s for %q", host, organisation)
	}
}

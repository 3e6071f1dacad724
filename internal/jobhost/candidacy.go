package jobhost

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/candidacy"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

const (
	// candidacyInterval is how often the candidacy is decided.
	candidacyInterval = 100 * time.Millisecond
	// startingListAge is the age at which the list of owners is read again while the host
	// starts. All hosts of a site may start together, and share the log's rate of reads.
	startingListAge = 500 * time.Millisecond
	// candidacyListAge is the age at which the list of owners is read again by a host that does
	// not stand or stands in for stronger ones, or while the list is not complete.
	candidacyListAge = 1500 * time.Millisecond
	// announceInterval is how often a host that stands and owns nothing announces itself to
	// weaker owners, and standingMaxAge how long they count it as one more owner.
	announceInterval = 2 * time.Second
	standingMaxAge   = 5 * time.Second
	// maxStanding bounds the peers that are remembered as standing.
	maxStanding = 64
	// resignTimeout bounds the call that leaves the group.
	resignTimeout = time.Second
)

// candidacyLoop makes an entry host join the group of owners, or leave it, as its candidacy
// decides.
type candidacyLoop struct {
	host *JobHost

	mu        sync.Mutex
	candidate *candidacy.Candidate
	// standing holds the peers that have said that they stand, with the time.
	standing    map[string]time.Time
	announcedAt time.Time
}

func newCandidacyLoop(h *JobHost, now time.Time) *candidacyLoop {
	return &candidacyLoop{
		host: h, candidate: candidacy.New(h.settings.Name, h.settings.Resources, h.settings.Losses, now), standing: map[string]time.Time{},
	}
}

// run decides until ctx ends or the host drains.
func (l *candidacyLoop) run(ctx context.Context) {
	for ctx.Err() == nil && !l.host.draining.Load() {
		if !l.waits() {
			l.host.directory.refresh(ctx, l.listAge())
			l.decide(ctx)
		}
		l.announce(ctx)
		wait(ctx, candidacyInterval)
	}
}

// waits reports whether it is too early after the start to decide.
func (l *candidacyLoop) waits() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.candidate.Waits(l.host.now())
}

// listAge returns the age at which the list of owners is to be read again.
func (l *candidacyLoop) listAge() time.Duration {
	view := l.host.directory.ownersView()
	l.mu.Lock()
	stands, _ := l.candidate.Stands()
	settled, standsIn := l.candidate.Settled(), l.candidate.KnowsStronger()
	l.mu.Unlock()
	switch {
	case !settled:
		return startingListAge
	case stands && !standsIn && view.Unowned == 0 && len(view.Owners) > 0:
		return idleOwnersMaxAge
	default:
		return candidacyListAge
	}
}

func (l *candidacyLoop) stands() (bool, candidacy.Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.candidate.Stands()
}

// view returns the listed owners and the peers that stand without owning anything.
func (l *candidacyLoop) view(now time.Time) candidacy.View {
	view := l.host.directory.ownersView()
	l.mu.Lock()
	defer l.mu.Unlock()
	for member, at := range l.standing {
		if now.Sub(at) > standingMaxAge {
			delete(l.standing, member)
			continue
		}
		if !slices.ContainsFunc(view.Owners, func(o candidacy.Owner) bool { return o.Member == member }) {
			view.Owners = append(view.Owners, ownerFromMember(member))
		}
	}
	return view
}

// noteStanding notes that a peer stands for ownership, unless its name does not say its
// capacity.
func (l *candidacyLoop) noteStanding(member string, now time.Time) {
	if ownerFromMember(member).Capacity == (candidacy.Capacity{}) {
		l.host.events.Event("peer-unreadable", "call", "standing", "member", member)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.standing[member]; ok || len(l.standing) < maxStanding {
		l.standing[member] = now
	}
}

// announce notifies weaker owners that this host stands, while it owns nothing itself.
func (l *candidacyLoop) announce(ctx context.Context) {
	now := l.host.now()
	if !l.host.keeper.Joined() || len(l.host.ownedPartitions()) > 0 || now.Sub(l.announcedAt) < announceInterval {
		return
	}
	l.announcedAt = now
	for _, o := range l.host.directory.ownersView().Owners {
		address, ok := addressOf(o.Member)
		if !ok || !l.host.settings.Resources.Outclasses(o.Capacity) || l.host.directory.unresponsive(address) {
			continue
		}
		if err := l.host.peers.Standing(ctx, address, &wire.StandingRequest{Member: l.host.directory.member}); err != nil {
			l.host.directory.markUnresponsive(address)
			l.host.events.Event("peer-silent", "peer", address, "call", "standing", "error", err)
		}
	}
}

// decide updates the candidacy, and joins or leaves the group if it has changed.
func (l *candidacyLoop) decide(ctx context.Context) {
	now := l.host.now()
	view := l.view(now)
	l.mu.Lock()
	changed := l.candidate.Decide(view, now)
	stands, reason := l.candidate.Stands()
	l.mu.Unlock()
	if !changed {
		return
	}
	l.host.events.Event("candidacy-changed", "stands", stands, "reason", reason, "cpu", l.host.settings.Resources.CPU,
		"link-mbps", l.host.settings.Resources.LinkMbps, "owners", len(view.Owners), "unowned", view.Unowned, "list-age", now.Sub(view.ReadAt))
	if stands {
		l.host.keeper.Stand()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	if err := l.host.keeper.Resign(ctx); err != nil {
		// The membership expires by itself.
		l.host.events.Event("resign-unconfirmed", "error", err)
	}
}

package member

import (
	"context"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/platformapi"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/state"
)

const (
	defaultReportInterval = 30 * time.Second
	defaultRemovalBound   = 90 * time.Second
)

// Submitter appends records and waits for their outcome.
type Submitter interface {
	State() *state.State
	Submit(ctx context.Context, record *wire.Record) (state.Outcome, error)
}

// Positions asks an entry host of the own data centre for its position.
type Positions interface {
	Position(ctx context.Context, entryHost string) (*wire.Position, error)
}

// Reporter writes a data centre's position reports and changes of members.
type Reporter struct {
	directory *Directory
	submitter Submitter
	positions Positions
	self      string
	dc        string

	interval     time.Duration
	removalBound time.Duration
	reported     time.Time
}

// ReporterOption changes a Reporter.
type ReporterOption func(*Reporter)

// WithRemovalBound sets how long an entry host must be missing before it is no member any more.
func WithRemovalBound(d time.Duration) ReporterOption {
	return func(r *Reporter) { r.removalBound = d }
}

// WithReportInterval sets how often positions are reported while nothing waits for them.
func WithReportInterval(d time.Duration) ReporterOption {
	return func(r *Reporter) { r.interval = d }
}

// NewReporter makes the reporter of one entry host.
func NewReporter(directory *Directory, submitter Submitter, positions Positions, opts ...ReporterOption) *Reporter {
	r := &Reporter{
		directory: directory, submitter: submitter, positions: positions,
		self: directory.self, dc: directory.dataCentre,
		interval: defaultReportInterval, removalBound: defaultRemovalBound,
	}
	for _, apply := range opts {
		apply(r)
	}
	return r
}

// Step writes what is due, if this entry host is the one to do it.
func (r *Reporter) Step(ctx context.Context, now time.Time) error {
	if !r.directory.Owns("reporter") {
		return nil
	}
	s := r.submitter.State()
	d := s.DataCentres[r.dc]
	if members := r.members(d, now); !slices.Equal(members, d.Members) && len(members) > 0 {
		return r.submit(ctx, &wire.Record{Body: &wire.Record_Members{
			Members: &wire.Members{EntryHosts: members, Replaces: d.MembersSince},
		}})
	}
	if !r.due(s, d, now) {
		return nil
	}
	entries := r.gather(ctx, d)
	if !r.news(s, d, entries) && now.Sub(r.reported) < r.interval {
		return nil
	}
	r.reported = now
	return r.submit(ctx, &wire.Record{Body: &wire.Record_Positions{Positions: &wire.Positions{Entries: entries}}})
}

// members keeps those that are not absent for long and adds the live ones.
func (r *Reporter) members(d state.DataCentre, now time.Time) []string {
	members := []string{}
	for _, member := range d.Members {
		if mayBelieveAlone(d, member) || !r.directory.Absent(member, r.removalBound, now) {
			members = append(members, member)
		}
	}
	for _, e := range r.directory.EntryHosts(r.dc) {
		if e.State == platformapi.Live && !slices.Contains(members, e.Name) {
			members = append(members, e.Name)
		}
	}
	slices.Sort(members)
	return members
}

// mayBelieveAlone tells whether a member may not have seen yet that it has
// company. Alone, it serves on however long it is cut off, so it is never
// removed; a process under its name that confirms ends that.
func mayBelieveAlone(d state.DataCentre, member string) bool {
	if d.MembersConfirmed() {
		return false
	}
	for _, members := range d.Former {
		if len(members) == 1 && members[0] == member {
			return true
		}
	}
	return false
}

// due tells whether anything waits for positions.
func (r *Reporter) due(s *state.State, d state.DataCentre, now time.Time) bool {
	return len(s.Awaiting(r.dc)) > 0 || !d.MembersConfirmed() || now.Sub(r.reported) >= r.interval
}

func (r *Reporter) gather(ctx context.Context, d state.DataCentre) []*wire.Position {
	entries := []*wire.Position{}
	for _, member := range d.Members {
		if position, err := r.positions.Position(ctx, member); err == nil {
			entries = append(entries, position)
		}
	}
	return entries
}

// news tells whether the entries confirm anything that still waits.
func (r *Reporter) news(s *state.State, d state.DataCentre, entries []*wire.Position) bool {
	for _, p := range entries {
		if d.Positions[p.GetEntryHost()] <= d.MembersSince && p.GetOffset() > d.MembersSince {
			return true
		}
		for _, name := range s.Awaiting(r.dc) {
			h := s.Hosts[name]
			fresh := p.GetOffset() > h.Since && !slices.Contains(p.GetBusy(), name)
			if fresh && !slices.Contains(h.Confirmed, p.GetEntryHost()) {
				return true
			}
		}
	}
	return false
}

func (r *Reporter) submit(ctx context.Context, record *wire.Record) error {
	_, err := r.submitter.Submit(ctx, record)
	return err
}

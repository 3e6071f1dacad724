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

// PositionSource queries an entry host of the same data centre for its position.
type PositionSource interface {
	Position(ctx context.Context, entryHost string) (*wire.Position, error)
}

// Reporter writes the position reports and member-set changes of a data centre.
type Reporter struct {
	directory  *Directory
	submitter  Submitter
	positions  PositionSource
	self       string
	dataCentre string

	interval     time.Duration
	removalBound time.Duration
	reportedAt   time.Time
}

// ReporterOption configures a Reporter.
type ReporterOption func(*Reporter)

// WithRemovalBound sets how long an entry host must be missing from the live list before it
// is removed from the members.
func WithRemovalBound(d time.Duration) ReporterOption {
	return func(r *Reporter) { r.removalBound = d }
}

// WithReportInterval sets how often positions are reported while nothing awaits them.
func WithReportInterval(d time.Duration) ReporterOption {
	return func(r *Reporter) { r.interval = d }
}

// NewReporter creates the reporter of an entry host.
func NewReporter(directory *Directory, submitter Submitter, positions PositionSource, opts ...ReporterOption) *Reporter {
	r := &Reporter{
		directory: directory, submitter: submitter, positions: positions,
		self: directory.self, dataCentre: directory.dataCentre,
		interval: defaultReportInterval, removalBound: defaultRemovalBound,
	}
	for _, apply := range opts {
		apply(r)
	}
	return r
}

// Step writes a member-set change or position report if one is due and this entry host is
// its data centre's reporter.
func (r *Reporter) Step(ctx context.Context, now time.Time) error {
	if !r.directory.Owns("reporter") {
		return nil
	}
	s := r.submitter.State()
	d := s.DataCentres[r.dataCentre]
	if members := r.members(d, now); !slices.Equal(members, d.Members) && len(members) > 0 {
		return r.submit(ctx, &wire.Record{Body: &wire.Record_Members{
			Members: &wire.Members{EntryHosts: members, Replaces: d.MembersSince},
		}})
	}
	if !r.due(s, d, now) {
		return nil
	}
	entries := r.gatherPositions(ctx, d)
	if !r.hasNews(s, d, entries) && now.Sub(r.reportedAt) < r.interval {
		return nil
	}
	r.reportedAt = now
	return r.submit(ctx, &wire.Record{Body: &wire.Record_Positions{Positions: &wire.Positions{Entries: entries}}})
}

// members returns the new member set: the current members without those absent for
// removalBound, and all live entry hosts.
func (r *Reporter) members(d state.DataCentre, now time.Time) []string {
	members := []string{}
	for _, member := range d.Members {
		if mayBelieveSoleMember(d, member) || !r.directory.Absent(member, r.removalBound, now) {
			members = append(members, member)
		}
	}
	for _, e := range r.directory.EntryHosts(r.dataCentre) {
		if e.State == platformapi.Live && !slices.Contains(members, e.Name) {
			members = append(members, e.Name)
		}
	}
	slices.Sort(members)
	return members
}

// mayBelieveSoleMember reports whether a member may still believe that it is the only one.
// A sole member keeps serving however long it is cut off, so it must not be removed until a
// process under its name has confirmed the member set.
func mayBelieveSoleMember(d state.DataCentre, member string) bool {
	if d.MembersConfirmed() {
		return false
	}
	for _, members := range d.FormerMembers {
		if len(members) == 1 && members[0] == member {
			return true
		}
	}
	return false
}

// due reports whether hosts or the member set await confirmation by positions, or the report
// interval has passed.
func (r *Reporter) due(s *state.State, d state.DataCentre, now time.Time) bool {
	return len(s.AwaitingConfirmation(r.dataCentre)) > 0 || !d.MembersConfirmed() || now.Sub(r.reportedAt) >= r.interval
}

func (r *Reporter) gatherPositions(ctx context.Context, d state.DataCentre) []*wire.Position {
	entries := []*wire.Position{}
	for _, member := range d.Members {
		if position, err := r.positions.Position(ctx, member); err == nil {
			entries = append(entries, position)
		}
	}
	return entries
}

// hasNews reports whether the entries confirm a host change or member set that is not yet
// confirmed.
func (r *Reporter) hasNews(s *state.State, d state.DataCentre, entries []*wire.Position) bool {
	for _, p := range entries {
		if d.Positions[p.GetEntryHost()] <= d.MembersSince && p.GetOffset() > d.MembersSince {
			return true
		}
		for _, name := range s.AwaitingConfirmation(r.dataCentre) {
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

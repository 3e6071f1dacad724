package site

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
)

// group deals partitions to members. A partition changes hands when its holder has
// joined with the generation that takes it away, has left, or has been silent.
type group struct {
	generation int64
	members    map[string]*groupMember
	// wanted is who should hold a partition, holders who does.
	wanted  map[keyedlog.Partition]string
	holders map[keyedlog.Partition]string
}

type groupMember struct {
	until time.Time
	// seen is the generation with which the member joined last.
	seen int64
}

func newGroup() *group {
	return &group{
		members: map[string]*groupMember{}, wanted: map[keyedlog.Partition]string{}, holders: map[keyedlog.Partition]string{},
	}
}

// Join joins a group or stays in it.
func (a *storeAccess) Join(ctx context.Context, r keyedlog.JoinRequest) (keyedlog.Membership, error) {
	if _, err := a.enter(ctx); err != nil {
		return keyedlog.Membership{}, err
	}
	s := a.store
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.groups[r.Group]
	if !ok {
		g = newGroup()
		s.groups[r.Group] = g
	}
	now := time.Now()
	m, ok := g.members[r.Member]
	if !ok {
		m = &groupMember{}
		g.members[r.Member] = m
	}
	m.until, m.seen = now.Add(r.TTL), r.Generation
	g.expire(now)
	if !ok {
		g.deal(r.Topics, s.count)
	}
	g.hand()
	return keyedlog.Membership{Generation: g.generation, Partitions: g.held(r.Member)}, nil
}

// Leave gives a member's partitions away.
func (a *storeAccess) Leave(ctx context.Context, name, member string) error {
	if _, err := a.enter(ctx); err != nil {
		return err
	}
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	if g, ok := a.store.groups[name]; ok {
		g.remove(member)
	}
	return nil
}

// Owners lists which member holds which partition.
func (a *storeAccess) Owners(ctx context.Context, name string) ([]keyedlog.Owner, error) {
	if _, err := a.enter(ctx); err != nil {
		return nil, err
	}
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	g, ok := a.store.groups[name]
	if !ok {
		return nil, errNoGroup
	}
	g.expire(time.Now())
	var owners []keyedlog.Owner
	for p, member := range g.holders {
		owners = append(owners, keyedlog.Owner{Partition: p, Member: member})
	}
	return owners, nil
}

func (g *group) expire(now time.Time) {
	for name, m := range g.members {
		if now.After(m.until) {
			g.remove(name)
		}
	}
}

func (g *group) remove(member string) {
	if _, ok := g.members[member]; !ok {
		return
	}
	delete(g.members, member)
	for p, holder := range g.holders {
		if holder == member {
			delete(g.holders, p)
		}
	}
	g.deal(nil, 0)
	g.hand()
}

// deal spreads the partitions evenly, with as few changes as that takes.
func (g *group) deal(topics []string, count int) {
	g.generation++
	for _, topic := range topics {
		for n := range count {
			p := keyedlog.Partition{Topic: topic, Number: n}
			if _, ok := g.wanted[p]; !ok {
				g.wanted[p] = ""
			}
		}
	}
	names := g.names()
	if len(names) == 0 {
		return
	}
	most := (len(g.wanted) + len(names) - 1) / len(names)
	held := map[string]int{}
	parts := g.parts()
	for _, p := range parts {
		member := g.wanted[p]
		if _, ok := g.members[member]; !ok || held[member] >= most {
			g.wanted[p] = ""
			continue
		}
		held[member]++
	}
	for _, p := range parts {
		if g.wanted[p] != "" {
			continue
		}
		least := slices.MinFunc(names, func(x, y string) int { return cmp.Or(cmp.Compare(held[x], held[y]), cmp.Compare(x, y)) })
		g.wanted[p] = least
		held[least]++
	}
}

// hand gives partitions to those who should hold them, once the holder has let go.
func (g *group) hand() {
	for p, member := range g.wanted {
		holder, held := g.holders[p]
		if member == "" || holder == member {
			continue
		}
		if m, ok := g.members[holder]; held && ok && m.seen < g.generation {
			continue
		}
		g.holders[p] = member
	}
}

// redeal takes all partitions away at once and deals them the other way round.
func (g *group) redeal() {
	g.generation++
	names := g.names()
	slices.Reverse(names)
	if len(names) == 0 {
		return
	}
	for n, p := range g.parts() {
		g.wanted[p] = names[n%len(names)]
		g.holders[p] = g.wanted[p]
	}
}

func (g *group) held(member string) []keyedlog.Partition {
	var held []keyedlog.Partition
	for _, p := range g.parts() {
		if g.holders[p] == member && g.wanted[p] == member {
			held = append(held, p)
		}
	}
	return held
}

func (g *group) names() []string {
	var names []string
	for name := range g.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (g *group) parts() []keyedlog.Partition {
	var parts []keyedlog.Partition
	for p := range g.wanted {
		parts = append(parts, p)
	}
	slices.SortFunc(parts, func(a, b keyedlog.Partition) int {
		return cmp.Or(cmp.Compare(a.Topic, b.Topic), cmp.Compare(a.Number, b.Number))
	})
	return parts
}

package site

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
)

// group assigns partitions to its members. A partition is transferred once its holder
// has joined with the generation that reassigns it, has left, or has expired.
type group struct {
	generation int64
	members    map[string]*groupMember
	// assigned is the member that should hold each partition, holders the one that does.
	assigned map[keyedlog.Partition]string
	holders  map[keyedlog.Partition]string
}

type groupMember struct {
	// expiresAt is when the membership expires.
	expiresAt time.Time
	// lastGeneration is the generation that the member named when it joined last.
	lastGeneration int64
}

func newGroup() *group {
	return &group{
		members: map[string]*groupMember{}, assigned: map[keyedlog.Partition]string{}, holders: map[keyedlog.Partition]string{},
	}
}

// Join joins a group or renews the membership.
func (a *storeAccess) Join(ctx context.Context, r keyedlog.JoinRequest) (keyedlog.Assignment, error) {
	if _, err := a.simulateCall(ctx); err != nil {
		return keyedlog.Assignment{}, err
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
	m.expiresAt, m.lastGeneration = now.Add(r.TTL), r.Generation
	g.expire(now)
	if !ok {
		g.assign(r.Topics, s.partitionCount)
	}
	g.transfer()
	return keyedlog.Assignment{Generation: g.generation, Partitions: g.held(r.Member)}, nil
}

// Leave removes a member from a group and reassigns its partitions.
func (a *storeAccess) Leave(ctx context.Context, name, member string) error {
	if _, err := a.simulateCall(ctx); err != nil {
		return err
	}
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	if g, ok := a.store.groups[name]; ok {
		g.remove(member)
	}
	return nil
}

// Owners returns the member that holds each partition of a group.
func (a *storeAccess) Owners(ctx context.Context, name string) ([]keyedlog.Owner, error) {
	if _, err := a.simulateCall(ctx); err != nil {
		return nil, err
	}
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	g, ok := a.store.groups[name]
	if !ok {
		return nil, nil
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
		if now.After(m.expiresAt) {
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
	g.assign(nil, 0)
	g.transfer()
}

// assign distributes the partitions evenly among the members with as few changes as
// possible, after adding those of topics, which have count partitions each.
func (g *group) assign(topics []string, count int) {
	g.generation++
	for _, topic := range topics {
		for n := range count {
			p := keyedlog.Partition{Topic: topic, Number: n}
			if _, ok := g.assigned[p]; !ok {
				g.assigned[p] = ""
			}
		}
	}
	names := g.names()
	if len(names) == 0 {
		return
	}
	maxPerMember := (len(g.assigned) + len(names) - 1) / len(names)
	counts := map[string]int{}
	parts := g.sortedPartitions()
	for _, p := range parts {
		member := g.assigned[p]
		if _, ok := g.members[member]; !ok || counts[member] >= maxPerMember {
			g.assigned[p] = ""
			continue
		}
		counts[member]++
	}
	for _, p := range parts {
		if g.assigned[p] != "" {
			continue
		}
		least := slices.MinFunc(names, func(x, y string) int { return cmp.Or(cmp.Compare(counts[x], counts[y]), cmp.Compare(x, y)) })
		g.assigned[p] = least
		counts[least]++
	}
}

// transfer passes each partition to its assigned member once the holder has released it.
func (g *group) transfer() {
	for p, member := range g.assigned {
		holder, held := g.holders[p]
		if member == "" || holder == member {
			continue
		}
		if m, ok := g.members[holder]; held && ok && m.lastGeneration < g.generation {
			continue
		}
		g.holders[p] = member
	}
}

// rebalance reassigns all partitions in reverse order of the members, without waiting
// for the holders to release them.
func (g *group) rebalance() {
	g.generation++
	names := g.names()
	slices.Reverse(names)
	if len(names) == 0 {
		return
	}
	for n, p := range g.sortedPartitions() {
		g.assigned[p] = names[n%len(names)]
		g.holders[p] = g.assigned[p]
	}
}

func (g *group) held(member string) []keyedlog.Partition {
	var held []keyedlog.Partition
	for _, p := range g.sortedPartitions() {
		if g.holders[p] == member && g.assigned[p] == member {
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

func (g *group) sortedPartitions() []keyedlog.Partition {
	var parts []keyedlog.Partition
	for p := range g.assigned {
		parts = append(parts, p)
	}
	slices.SortFunc(parts, func(a, b keyedlog.Partition) int {
		return cmp.Or(cmp.Compare(a.Topic, b.Topic), cmp.Compare(a.Number, b.Number))
	})
	return parts
}

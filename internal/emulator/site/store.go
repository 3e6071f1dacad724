package site

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/pause"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

// storeLatency is how long a call of the store takes while it is well.
const storeLatency = 4 * time.Millisecond

// Trouble is what a caller of the store meets.
type Trouble struct {
	// Refuses: calls are refused, nothing is done.
	Refuses bool
	// Silent: calls get no answer, nothing is done.
	Silent bool
	// LosesAnswers is the share of appends that are done without an answer, 0 to 1.
	LosesAnswers float64
	// Slow times the latency is what a call takes; 0 is as usual.
	Slow float64
}

// Store is a partitioned log in memory with groups.
type Store struct {
	mu         sync.Mutex
	partitions map[keyedlog.Partition]*storePartition
	groups     map[string]*group
	count      int
	// changed is closed and made anew with each append.
	changed chan struct{}
	random  func() float64
}

type storePartition struct {
	records []keyedlog.Record
	// first is the first offset that is kept.
	first     int64
	producers map[string]*producerState
}

type producerState struct {
	epoch, next int64
}

// newStore makes a store whose topics have a number of partitions.
func newStore(partitions int, random func() float64) *Store {
	return &Store{
		partitions: map[keyedlog.Partition]*storePartition{}, groups: map[string]*group{}, count: partitions,
		changed: make(chan struct{}), random: random,
	}
}

func (s *Store) partition(id keyedlog.Partition) *storePartition {
	p, ok := s.partitions[id]
	if !ok {
		p = &storePartition{producers: map[string]*producerState{}}
		s.partitions[id] = p
	}
	return p
}

func (p *storePartition) end() int64 { return p.first + int64(len(p.records)) }

// put adds records as the platform itself does.
func (s *Store) put(id keyedlog.Partition, records ...keyedlog.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.partition(id), records)
}

func (s *Store) add(p *storePartition, records []keyedlog.Record) {
	for _, r := range records {
		r.Offset = p.end()
		r.Value = slices.Clone(r.Value)
		p.records = append(p.records, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops all records but the newest of each key.
func (s *Store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.partitions {
		kept := p.newest()
		for n := range kept {
			kept[n].Offset = p.end() + int64(n)
		}
		p.first = p.end()
		p.records = nil
		s.add(p, kept)
	}
}

func (p *storePartition) newest() []keyedlog.Record {
	last := map[string]keyedlog.Record{}
	for _, r := range p.records {
		last[r.Key] = r
	}
	var kept []keyedlog.Record
	for _, r := range last {
		if len(r.Value) > 0 {
			kept = append(kept, r)
		}
	}
	slices.SortFunc(kept, func(a, b keyedlog.Record) int { return cmp.Compare(a.Key, b.Key) })
	return kept
}

// storeAccess is one entry host's way to the store.
type storeAccess struct {
	store   *Store
	host    string
	trouble func(host string) Trouble
}

// enter waits the latency; an error means that nothing was done.
func (a *storeAccess) enter(ctx context.Context) (Trouble, error) {
	t := a.trouble(a.host)
	latency := storeLatency
	if t.Slow > 0 {
		latency = time.Duration(t.Slow * float64(latency))
	}
	if t.Silent {
		<-ctx.Done()
		return t, verdict.Doubt(verdict.CauseUpstreamSilent, "the store does not answer")
	}
	if err := pause.For(ctx, latency); err != nil {
		return t, verdict.Doubt(verdict.CauseUpstreamSilent, "the store is slow")
	}
	if t = a.trouble(a.host); t.Refuses || t.Silent {
		return t, verdict.Refuse(verdict.CauseUpstreamBusy, "the store is busy")
	}
	return t, nil
}

// Append adds records, all or none.
func (a *storeAccess) Append(ctx context.Context, id keyedlog.Partition, records []keyedlog.Record, producer *keyedlog.Producer) error {
	t, err := a.enter(ctx)
	if err != nil {
		return err
	}
	s := a.store
	s.mu.Lock()
	err = s.append(id, records, producer)
	lost := err == nil && t.LosesAnswers > 0 && s.random() < t.LosesAnswers
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return verdict.Doubt(verdict.CauseUpstreamSilent, "the store's answer is lost")
	}
	return err
}

func (s *Store) append(id keyedlog.Partition, records []keyedlog.Record, producer *keyedlog.Producer) error {
	p := s.partition(id)
	if producer != nil {
		state, ok := p.producers[producer.Name]
		if !ok {
			state = &producerState{epoch: -1}
			p.producers[producer.Name] = state
		}
		switch {
		case producer.Epoch < state.epoch:
			return keyedlog.ErrFenced
		case producer.Epoch > state.epoch:
			state.epoch = producer.Epoch
		case producer.Sequence < state.next:
			return nil
		case producer.Sequence > state.next:
			return &keyedlog.SequenceError{Expected: state.next}
		}
		state.next = producer.Sequence + 1
	}
	s.add(p, records)
	return nil
}

// Read waits for records from an offset on.
func (a *storeAccess) Read(ctx context.Context, id keyedlog.Partition, from int64, wait time.Duration) (keyedlog.Batch, error) {
	if _, err := a.enter(ctx); err != nil {
		return keyedlog.Batch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		a.store.mu.Lock()
		p := a.store.partition(id)
		changed := a.store.changed
		if from < p.first {
			a.store.mu.Unlock()
			return keyedlog.Batch{}, keyedlog.ErrTrimmed
		}
		if end := p.end(); from < end {
			batch := keyedlog.Batch{Records: slices.Clone(p.records[from-p.first:]), End: end, Next: end}
			a.store.mu.Unlock()
			return batch, nil
		}
		a.store.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			return keyedlog.Batch{End: from, Next: from}, nil
		case <-ctx.Done():
			return keyedlog.Batch{}, verdict.Doubt(verdict.CauseUpstreamSilent, "the read was given up")
		}
	}
}

// Newest gives the newest record of each key.
func (a *storeAccess) Newest(ctx context.Context, id keyedlog.Partition) (keyedlog.Batch, error) {
	if _, err := a.enter(ctx); err != nil {
		return keyedlog.Batch{}, err
	}
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	p := a.store.partition(id)
	return keyedlog.Batch{Records: p.newest(), End: p.end(), Next: p.end()}, nil
}

// errNoGroup is for a group that nobody has joined.
var errNoGroup = errors.New("nobody has joined the group")

package site

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/pause"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

// recordBytes and callBytes are the store's limits on a record and on an append.
const recordBytes, callBytes = 16 << 10, 64 << 10

// pageKeys is how many of the newest records of all keys the store returns at once.
const pageKeys = 50

// storeLatency is how long a call of the store takes in the absence of faults.
const storeLatency = 4 * time.Millisecond

// StoreFault is a fault that an entry host encounters at the store. Unresponsive also
// applies to the machine service.
type StoreFault struct {
	// Refuses means that calls are refused and not carried out.
	Refuses bool
	// Unresponsive means that calls get no answer and are not carried out.
	Unresponsive bool
	// LostAnswerShare is the share of appends, 0 to 1, that are carried out but get no answer.
	LostAnswerShare float64
	// LatencyFactor is a factor by which the latency is multiplied; 0 leaves it unchanged.
	LatencyFactor float64
	// SilentTopic is a topic of which reads get no answer.
	SilentTopic string
}

// Store is an in-memory partitioned log with consumer groups.
type Store struct {
	mu             sync.Mutex
	partitions     map[keyedlog.Partition]*storePartition
	groups         map[string]*group
	partitionCount int
	// lateAppends holds how long after its call the next append to a partition takes effect. It
	// gets no answer.
	lateAppends map[keyedlog.Partition]time.Duration
	// changed is closed and replaced with each append.
	changed chan struct{}
	random  func() float64
	// refusedTooLarge counts the appends that were over a limit.
	refusedTooLarge atomic.Int64
}

type storePartition struct {
	records []keyedlog.Record
	// first is the lowest offset that is retained.
	first     int64
	producers map[string]*producerState
}

// producerState is a producer's epoch and the sequence number expected next.
type producerState struct {
	epoch, next int64
}

// newStore creates a store whose topics have the given number of partitions.
func newStore(partitions int, random func() float64) *Store {
	return &Store{
		partitions: map[keyedlog.Partition]*storePartition{}, groups: map[string]*group{}, partitionCount: partitions,
		lateAppends: map[keyedlog.Partition]time.Duration{}, changed: make(chan struct{}), random: random,
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

// end returns the offset that the next record gets.
func (p *storePartition) end() int64 { return p.first + int64(len(p.records)) }

// put appends records on behalf of the platform itself: without latency, faults or a producer.
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

// compact drops all records but the newest of each key, which get new offsets. A reader
// behind them therefore gets ErrTrimmed.
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

// newest returns the newest record of each key, sorted by key and without deleted keys.
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

// storeAccess is an entry host's client of the store.
type storeAccess struct {
	store *Store
	host  string
	fault func(host string) StoreFault
}

// simulateCall waits for the latency of a call and returns the fault in force; an error
// means that nothing was done.
func (a *storeAccess) simulateCall(ctx context.Context) (StoreFault, error) {
	fault := a.fault(a.host)
	latency := storeLatency
	if fault.LatencyFactor > 0 {
		latency = time.Duration(fault.LatencyFactor * float64(latency))
	}
	if fault.Unresponsive {
		<-ctx.Done()
		return fault, verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "the store does not answer")
	}
	if err := pause.For(ctx, latency); err != nil {
		return fault, verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "the store did not answer in time")
	}
	if fault = a.fault(a.host); fault.Refuses || fault.Unresponsive {
		return fault, verdict.NotRunError(verdict.CauseUpstreamBusy, "the store refuses calls")
	}
	return fault, nil
}

// simulateRead does the same for a read of a partition.
func (a *storeAccess) simulateRead(ctx context.Context, id keyedlog.Partition) error {
	fault, err := a.simulateCall(ctx)
	if err == nil && fault.SilentTopic == id.Topic {
		<-ctx.Done()
		return verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "the store does not answer")
	}
	return err
}

// Append appends all of the records or none.
func (a *storeAccess) Append(ctx context.Context, id keyedlog.Partition, records []keyedlog.Record, producer *keyedlog.Producer) error {
	fault, err := a.simulateCall(ctx)
	if err != nil {
		return err
	}
	if !takes(records) {
		a.store.refusedTooLarge.Add(1)
		return verdict.NotRunError(verdict.CauseTooLarge, "a record or the call is over the limit")
	}
	s := a.store
	s.mu.Lock()
	late := s.delay(id, records, producer)
	if !late {
		err = s.append(id, records, producer)
	}
	lost := late || err == nil && fault.LostAnswerShare > 0 && s.random() < fault.LostAnswerShare
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "the store's answer is lost")
	}
	return err
}

// takes reports whether records are within the store's limits.
func takes(records []keyedlog.Record) bool {
	total := 0
	for n := range records {
		size := 1 + len(records[n].Key) + len(records[n].Value)
		if size > recordBytes {
			return false
		}
		total += size
	}
	return total <= callBytes
}

// delay delays an append if lateAppends says so, and reports whether it does. The caller holds the
// lock.
func (s *Store) delay(id keyedlog.Partition, records []keyedlog.Record, producer *keyedlog.Producer) bool {
	delay, ok := s.lateAppends[id]
	if !ok {
		return false
	}
	delete(s.lateAppends, id)
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = s.append(id, records, producer) // Nobody waits for the outcome.
	})
	return true
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

// Read returns the records from an offset on, and waits up to the given time for one.
func (a *storeAccess) Read(ctx context.Context, id keyedlog.Partition, from int64, wait time.Duration) (keyedlog.Batch, error) {
	if err := a.simulateRead(ctx, id); err != nil {
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
			return keyedlog.Batch{}, verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "the read was cancelled")
		}
	}
}

// Newest returns the newest records of the keys that follow the given one, at most pageKeys.
func (a *storeAccess) Newest(ctx context.Context, id keyedlog.Partition, after string) (keyedlog.Page, error) {
	if err := a.simulateRead(ctx, id); err != nil {
		return keyedlog.Page{}, err
	}
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	p := a.store.partition(id)
	records := slices.DeleteFunc(p.newest(), func(r keyedlog.Record) bool { return r.Key <= after })
	return keyedlog.Page{Records: records[:min(pageKeys, len(records))], More: len(records) > pageKeys, End: p.end()}, nil
}

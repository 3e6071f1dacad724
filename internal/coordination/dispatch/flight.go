package dispatch

import (
	"container/list"
	"sync"

	"github.com/hornbeammast/hornbeammast/internal/coordination/claim"
)

const (
	// flightShards is the number of shards of the flight table.
	flightShards = 16
	// maxKeptBytes bounds the bodies of the finished answers that a shard keeps, in bytes.
	maxKeptBytes = 1 << 20
	// maxKeptAnswers bounds the number of finished answers that a shard keeps.
	maxKeptAnswers = 1024
)

// flight is a non-idempotent request that this entry host has in flight or has
// finished recently.
type flight struct {
	done   chan struct{}
	answer Answer
	err    error
	// kept is the element in the list of finished flights.
	kept *list.Element
}

// flights is the table of flights by key. Finished flights are kept for a while
// to answer late duplicates.
type flights struct {
	shards [flightShards]flightShard
}

type flightShard struct {
	mu       sync.Mutex
	flights  map[claim.Key]*flight
	finished list.List
	bytes    int
}

func newFlights() *flights {
	f := &flights{}
	for n := range f.shards {
		f.shards[n].flights = map[claim.Key]*flight{}
	}
	return f
}

func (f *flights) shard(key claim.Key) *flightShard {
	return &f.shards[int(key[15])%flightShards]
}

// begin returns the flight of a key and whether this call created it.
func (f *flights) begin(key claim.Key) (*flight, bool) {
	s := f.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if fl, ok := s.flights[key]; ok {
		return fl, false
	}
	fl := &flight{done: make(chan struct{})}
	s.flights[key] = fl
	return fl, true
}

func (f *flights) find(key claim.Key) (*flight, bool) {
	s := f.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	fl, ok := s.flights[key]
	return fl, ok
}

// finish sets the outcome of a flight and wakes the duplicates that wait for it.
// Only answers are kept, so that a request that did not run can be retried under
// the same id.
func (f *flights) finish(key claim.Key, fl *flight, answer Answer, err error) {
	s := f.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	fl.answer, fl.err = answer, err
	close(fl.done)
	if err != nil {
		delete(s.flights, key)
		return
	}
	fl.kept = s.finished.PushBack(key)
	s.bytes += len(answer.Body)
	for s.bytes > maxKeptBytes || s.finished.Len() > maxKeptAnswers {
		s.dropOldest()
	}
}

func (s *flightShard) dropOldest() {
	front := s.finished.Front()
	key, _ := s.finished.Remove(front).(claim.Key)
	s.bytes -= len(s.flights[key].answer.Body)
	delete(s.flights, key)
}

// count returns the number of flights that are not finished.
func (f *flights) count() int {
	n := 0
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		n += len(s.flights) - s.finished.Len()
		s.mu.Unlock()
	}
	return n
}

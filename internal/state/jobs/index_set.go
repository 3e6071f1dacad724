package jobs

import (
	"iter"
	"slices"
)

// indexSet is a set of indexes. It takes memory in proportion to its gaps, not to its size.
type indexSet struct {
	// spans are in ascending order and don't touch.
	spans []span
	size  int
}

// span holds the indexes from first on and below end.
type span struct{ first, end int }

// position returns the number of the first span that ends after an index.
func (s *indexSet) position(index int) int {
	n, _ := slices.BinarySearchFunc(s.spans, index, func(p span, index int) int {
		if p.end > index {
			return 1
		}
		return -1
	})
	return n
}

func (s *indexSet) has(index int) bool {
	if len(s.spans) == 0 {
		return false
	}
	n := s.position(index)
	return n < len(s.spans) && s.spans[n].first <= index
}

// add adds an index and reports whether it was new.
func (s *indexSet) add(index int) bool {
	n := s.position(index)
	if n < len(s.spans) && s.spans[n].first <= index {
		return false
	}
	s.size++
	before := n > 0 && s.spans[n-1].end == index
	after := n < len(s.spans) && s.spans[n].first == index+1
	switch {
	case before && after:
		s.spans[n-1].end = s.spans[n].end
		s.spans = slices.Delete(s.spans, n, n+1)
	case before:
		s.spans[n-1].end++
	case after:
		s.spans[n].first--
	default:
		s.spans = slices.Insert(s.spans, n, span{index, index + 1})
	}
	return true
}

// next returns the first index from one on that is not in the set.
func (s *indexSet) next(index int) int {
	if n := s.position(index); n < len(s.spans) && s.spans[n].first <= index {
		return s.spans[n].end
	}
	return index
}

// within yields the spans of the set within one, in ascending order.
func (s *indexSet) within(bounds span) iter.Seq[span] {
	return func(yield func(span) bool) {
		for n := s.position(bounds.first); n < len(s.spans); n++ {
			p := span{max(s.spans[n].first, bounds.first), min(s.spans[n].end, bounds.end)}
			if p.first >= p.end || !yield(p) {
				return
			}
		}
	}
}

// count returns the number of indexes of the set within a span.
func (s *indexSet) count(bounds span) int {
	n := 0
	for p := range s.within(bounds) {
		n += p.end - p.first
	}
	return n
}

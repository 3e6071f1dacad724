package jobhost

import "sync"

// broadcast wakes all goroutines that wait for the next notification.
type broadcast struct {
	mu   sync.Mutex
	next chan struct{}
}

// changed returns a channel that is closed at the next notification.
func (b *broadcast) changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}

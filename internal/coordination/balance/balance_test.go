package balance

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestTable(hosts, share int) (*Table, *Pool) {
	t := NewTable(1)
	views := []HostView{}
	for n := range hosts {
		views = append(views, HostView{
			Name: fmt.Sprintf("h%d", n), Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(n+1)), Pool: "p", Share: share, InService: true,
		})
	}
	t.Update(views, 1)
	p, _ := t.Pool("p")
	return t, p
}

// TestFastFailer guards against sending most requests to a host that fails them
// immediately: it is never busy, so choosing by load alone would prefer it.
func TestFastFailer(t *testing.T) {
	_, p := newTestTable(10, 8)
	got, at := 0, now
	for range 2000 {
		at = at.Add(5 * time.Millisecond)
		h, ok := p.Reserve(Requirements{}, nil, at)
		if !ok {
			t.Fatal("no slot")
		}
		failing := h.Name == "h3"
		if failing {
			got++
		}
		h.RecordResult(failing, at)
		h.Release()
	}
	if got > 100 {
		t.Errorf("the failing host got %d of 2000 requests", got)
	}
}

// TestBadCaller guards against ejecting hosts because of a caller whose requests fail on
// every host.
func TestBadCaller(t *testing.T) {
	_, p := newTestTable(10, 8)
	ejected := 0
	for n := range 3000 {
		h, _ := p.Reserve(Requirements{}, nil, now)
		if h.RecordResult(n%3 != 0, now) {
			ejected++
		}
		h.Release()
	}
	if ejected > 2 {
		t.Errorf("a caller that fails everywhere ejected %d hosts", ejected)
	}
}

// TestEjectionBound checks that at most a third of the hosts is ejected even if most fail.
func TestEjectionBound(t *testing.T) {
	_, p := newTestTable(9, 8)
	for range 2000 {
		h, ok := p.Reserve(Requirements{}, nil, now)
		if !ok {
			t.Fatal("the pool is empty")
		}
		h.RecordResult(h.Name != "h0", now)
		h.Release()
		if out := p.ejected(now); out > 3 {
			t.Fatalf("%d of 9 hosts are ejected", out)
		}
	}
}

// TestReturn checks that a host has one slot after its ejection until a request succeeds.
func TestReturn(t *testing.T) {
	_, p := newTestTable(3, 8)
	h := p.hosts[1]
	for range 20 {
		h.RecordResult(true, now)
		p.hosts[0].RecordResult(false, now)
		p.hosts[2].RecordResult(false, now)
	}
	if h.freeSlots(now) != 0 {
		t.Fatal("the host was not ejected")
	}
	later := now.Add(maxEjection)
	if h.freeSlots(later) != probationSlots {
		t.Errorf("a returning host has %d free slots", h.freeSlots(later))
	}
	h.RecordResult(false, later)
	if h.freeSlots(later) != 8 {
		t.Errorf("a host has %d free slots after a success", h.freeSlots(later))
	}
}

// TestLeaving checks that no request is sent to a host that has announced that it leaves.
func TestLeaving(t *testing.T) {
	_, p := newTestTable(2, 8)
	p.hosts[0].MarkLeaving(now)
	for range 8 {
		if h, ok := p.Reserve(Requirements{}, nil, now); !ok || h.Name != "h1" {
			t.Fatalf("got %v", h)
		}
	}
	if _, ok := p.Reserve(Requirements{}, nil, now); ok {
		t.Error("a leaving host got work")
	}
}

// TestMovedHostBusy checks that requests begun while a host was in another pool count.
func TestMovedHostBusy(t *testing.T) {
	table, p := newTestTable(1, 8)
	h, _ := p.Reserve(Requirements{}, nil, now)
	table.Update([]HostView{{Name: "h0", Address: h.Address, Pool: "q", Share: 8, InService: true}}, 2)
	if busy := table.Busy([]string{"h0"}); len(busy) != 1 {
		t.Error("a request begun in the former pool does not count")
	}
	h.Release()
	if busy := table.Busy([]string{"h0"}); len(busy) != 0 {
		t.Error("a request that has ended still counts")
	}
}

// BenchmarkPick reserves and releases a slot.
func BenchmarkPick(b *testing.B) {
	for _, hosts := range []int{50, 293, 880} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			_, p := newTestTable(hosts, 8)
			b.ReportAllocs()
			for b.Loop() {
				h, _ := p.Reserve(Requirements{}, nil, now)
				h.Release()
			}
		})
	}
}

package balance

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func table(hosts, share int) (*Table, *Pool) {
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

// TestFastFailer has one host that fails everything at once: least-loaded
// choice would send it nearly all work. It must get a small part.
func TestFastFailer(t *testing.T) {
	_, p := table(10, 8)
	got, at := 0, now
	for range 2000 {
		at = at.Add(5 * time.Millisecond)
		h, ok := p.Reserve(Needs{}, nil, at)
		if !ok {
			t.Fatal("no slot")
		}
		broken := h.Name == "h3"
		if broken {
			got++
		}
		h.Note(broken, at)
		h.Release()
	}
	if got > 100 {
		t.Errorf("the broken host got %d of 2000 requests", got)
	}
}

// TestBadCaller fails on every host alike: nobody is ejected.
func TestBadCaller(t *testing.T) {
	_, p := table(10, 8)
	ejected := 0
	for n := range 3000 {
		h, _ := p.Reserve(Needs{}, nil, now)
		if h.Note(n%3 != 0, now) {
			ejected++
		}
		h.Release()
	}
	if ejected > 2 {
		t.Errorf("a caller that fails everywhere ejected %d hosts", ejected)
	}
}

// TestEjectionBound breaks most hosts: at most a third is ever left out.
func TestEjectionBound(t *testing.T) {
	_, p := table(9, 8)
	for range 2000 {
		h, ok := p.Reserve(Needs{}, nil, now)
		if !ok {
			t.Fatal("the pool is empty")
		}
		h.Note(h.Name != "h0", now)
		h.Release()
		if out := p.ejected(now); out > 3 {
			t.Fatalf("%d of 9 hosts are ejected", out)
		}
	}
}

// TestReturn lets an ejected host back with one slot until it answers well.
func TestReturn(t *testing.T) {
	_, p := table(3, 8)
	h := p.hosts[1]
	for range 20 {
		h.Note(true, now)
		p.hosts[0].Note(false, now)
		p.hosts[2].Note(false, now)
	}
	if h.room(now) != 0 {
		t.Fatal("the host was not ejected")
	}
	later := now.Add(longestEjection)
	if h.room(later) != returnShare {
		t.Errorf("a returning host has room for %d", h.room(later))
	}
	h.Note(false, later)
	if h.room(later) != 8 {
		t.Errorf("a host that answered well has room for %d", h.room(later))
	}
}

// TestLeaving sends nothing to a host that leaves by any sign.
func TestLeaving(t *testing.T) {
	_, p := table(2, 8)
	p.hosts[0].MarkLeaving(now)
	for range 8 {
		if h, ok := p.Reserve(Needs{}, nil, now); !ok || h.Name != "h1" {
			t.Fatalf("got %v", h)
		}
	}
	if _, ok := p.Reserve(Needs{}, nil, now); ok {
		t.Error("a leaving host got work")
	}
}

// TestMovedHostBusy counts work that was begun while a host was in another pool.
func TestMovedHostBusy(t *testing.T) {
	tb, p := table(1, 8)
	h, _ := p.Reserve(Needs{}, nil, now)
	tb.Update([]HostView{{Name: "h0", Address: h.Address, Pool: "q", Share: 8, InService: true}}, 2)
	if busy := tb.Busy([]string{"h0"}); len(busy) != 1 {
		t.Error("work begun in the former pool is not seen")
	}
	h.Release()
	if busy := tb.Busy([]string{"h0"}); len(busy) != 0 {
		t.Error("work that ended is still seen")
	}
}

func BenchmarkPick(b *testing.B) {
	for _, hosts := range []int{50, 293, 880} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			_, p := table(hosts, 8)
			b.ReportAllocs()
			for b.Loop() {
				h, _ := p.Reserve(Needs{}, nil, now)
				h.Release()
			}
		})
	}
}

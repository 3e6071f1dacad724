// Package slot divides the slots of each upstream host among the entry hosts of its data
// centre, so that together they never use more slots than the host has.
package slot

import (
	"github.com/hornbeammast/hornbeammast/internal/coordination/balance"
	"github.com/hornbeammast/hornbeammast/internal/coordination/member"
	"github.com/hornbeammast/hornbeammast/internal/state"
)

// Share returns the number of a host's slots that an entry host may use. Until all members
// have applied a change of members, it is the minimum over the new set and the earlier sets
// that some member may still use.
func Share(d state.DataCentre, self, host string, slots int) int {
	share := evenShare(d.Members, self, host, slots)
	if d.MembersConfirmed() {
		return share
	}
	for _, members := range d.FormerMembers {
		share = min(share, evenShare(members, self, host, slots))
	}
	return share
}

// evenShare returns a member's part of a host's slots. The slots are divided evenly, and the
// remainder goes to the first members in the host's rendezvous order, so that remainders
// are spread over the members.
func evenShare(members []string, self, host string, slots int) int {
	rank := -1
	rest := append([]string(nil), members...)
	for n := 0; len(rest) > 0; n++ {
		first := member.Rendezvous(host, rest)
		if first == self {
			rank = n
			break
		}
		rest = removeName(rest, first)
	}
	if rank < 0 {
		return 0
	}
	share := slots / len(members)
	if rank < slots%len(members) {
		share++
	}
	return share
}

// removeName removes a name from a slice in place.
func removeName(names []string, name string) []string {
	kept := names[:0]
	for _, other := range names {
		if other != name {
			kept = append(kept, other)
		}
	}
	return kept
}

// LiveList is what the live list says about a host.
type LiveList interface {
	Leaving(host string) bool
}

// HostViews returns the hosts of a data centre with the share of one of its entry hosts in
// each.
func HostViews(s *state.State, dataCentre, self string, liveList LiveList) []balance.HostView {
	d := s.DataCentres[dataCentre]
	views := []balance.HostView{}
	for _, name := range s.HostNames() {
		h := s.Hosts[name]
		declared := s.Document.Hosts[name]
		if declared.DataCentre != dataCentre || h.Pool == "" {
			continue
		}
		views = append(views, balance.HostView{
			Name: name, Address: declared.Address, Pool: h.Pool,
			Share:    Share(d, self, name, declared.Slots),
			MemoryGB: declared.MemoryGB, Accelerators: declared.Accelerators,
			InService: h.Phase == state.InService, Leaving: liveList.Leaving(name),
		})
	}
	return views
}

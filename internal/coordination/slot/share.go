// Package slot divides each worker's slots among the entry hosts of its data
// centre, so that the sum never passes what the worker has.
package slot

import (
	"github.com/hornbeammast/hornbeammast/internal/coordination/balance"
	"github.com/hornbeammast/hornbeammast/internal/coordination/member"
	"github.com/hornbeammast/hornbeammast/internal/state"
)

// Share is the number of a host's slots that an entry host may use. Until all
// members have followed a change of members, nobody uses more than under any
// of the earlier sets that some member may still act by.
func Share(d state.DataCentre, self, host string, slots int) int {
	share := part(d.Members, self, host, slots)
	if d.MembersConfirmed() {
		return share
	}
	for _, members := range d.Former {
		share = min(share, part(members, self, host, slots))
	}
	return share
}

// part divides evenly; what is left over goes to the members that the host's
// hash puts first, so that it is spread over the hosts.
func part(members []string, self, host string, slots int) int {
	rank := -1
	rest := append([]string(nil), members...)
	for n := 0; len(rest) > 0; n++ {
		first := member.Rendezvous(host, rest)
		if first == self {
			rank = n
			break
		}
		rest = remove(rest, first)
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

func remove(names []string, name string) []string {
	kept := names[:0]
	for _, other := range names {
		if other != name {
			kept = append(kept, other)
		}
	}
	return kept
}

// Live tells what the live list says of a host.
type Live interface {
	Leaving(host string) bool
}

// Views lists the hosts of a data centre as one of its entry hosts may use them.
func Views(s *state.State, dataCentre, self string, live Live) []balance.HostView {
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
			InService: h.Phase == state.InService, Leaving: live.Leaving(name),
		})
	}
	return views
}

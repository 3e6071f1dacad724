package jobhost

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/coordination/candidacy"
)

func TestMemberName(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:7000")
	s := Settings{Name: "a-1", DataCentre: "north/a", Resources: candidacy.Capacity{CPU: 800, LinkMbps: 200}}
	member := memberName(&s, address, time.UnixMilli(1))
	if got, ok := addressOf(member); !ok || got != address {
		t.Errorf("address %s, %v; want %s", got, ok, address)
	}
	want := candidacy.Owner{Member: member, DataCentre: "north/a", Capacity: s.Resources}
	if diff := cmp.Diff(want, ownerFromMember(member)); diff != "" {
		t.Errorf("owner (-want +got):\n%s", diff)
	}
}

// TestUnreadableMember reads names of another version and broken ones: they must give an
// owner of unknown capacity.
func TestUnreadableMember(t *testing.T) {
	for _, member := range []string{"", "a-1@10.0.0.1:7000@c2w", "a-1@10.0.0.1:7000@c2w/many/200/a", "a-1@10.0.0.1:7000@c2w/1/x/a", "@@@/1/2/a"} {
		if diff := cmp.Diff(candidacy.Owner{Member: member}, ownerFromMember(member)); diff != "" {
			t.Errorf("owner of %q (-want +got):\n%s", member, diff)
		}
	}
}

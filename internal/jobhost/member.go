package jobhost

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/candidacy"
)

// A member name has three parts, NAME@ADDRESS@DETAILS, and the details are four, START/CPU/
// LINK/DATA-CENTRE. The log's list of owners thus also gives the peer address, the data
// centre and the capacity of each owner.
const (
	memberSeparator = "@"
	memberParts     = 3
	detailSeparator = "/"
	memberDetails   = 4
)

func memberName(s *Settings, address netip.AddrPort, now time.Time) string {
	details := []string{
		strconv.FormatInt(now.UnixMilli(), 36), strconv.FormatInt(s.Resources.CPU, 10),
		strconv.FormatInt(s.Resources.LinkMbps, 10), s.DataCentre,
	}
	return strings.Join([]string{s.Name, address.String(), strings.Join(details, detailSeparator)}, memberSeparator)
}

// addressOf parses the peer address out of a member name.
func addressOf(member string) (netip.AddrPort, bool) {
	parts := strings.Split(member, memberSeparator)
	if len(parts) != memberParts {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(parts[1])
	return address, err == nil
}

// ownerFromMember parses the data centre and the capacity out of a member name. Those of a
// member of another version, which does not name them, are zero.
func ownerFromMember(member string) candidacy.Owner {
	o := candidacy.Owner{Member: member}
	parts := strings.Split(member, memberSeparator)
	details := strings.SplitN(parts[len(parts)-1], detailSeparator, memberDetails)
	if len(parts) != memberParts || len(details) != memberDetails {
		return o
	}
	cpu, err := strconv.ParseInt(details[1], 10, 64)
	if err != nil {
		return o
	}
	link, err := strconv.ParseInt(details[2], 10, 64)
	if err != nil {
		return o
	}
	o.Capacity, o.DataCentre = candidacy.Capacity{CPU: cpu, LinkMbps: link}, details[3]
	return o
}

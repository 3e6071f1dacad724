// Package platformapi holds the messages of the platform's HTTP interface: the
// log, the live list and the actions on hosts.
package platformapi

import "net/netip"

// AppendReply answers an append.
type AppendReply struct {
	Offset uint64 `json:"offset"`
}

// Batch is a run of entries of one stream.
type Batch struct {
	// First is the oldest offset that is still kept.
	First uint64 `json:"first"`
	// Next is the offset that the next append will get.
	Next    uint64  `json:"next"`
	Entries []Entry `json:"entries"`
}

// Entry is one entry of a stream.
type Entry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Liveness is how the platform sees a host.
type Liveness string

const (
	// Live hosts answer the platform.
	Live Liveness = "live"
	// Leaving hosts will go soon.
	Leaving Liveness = "leaving"
	// Down hosts don't answer the platform.
	Down Liveness = "down"
)

// LiveList is the platform's lagging view of all hosts.
type LiveList struct {
	EntryHosts []EntryHost `json:"entry-hosts"`
	Hosts      []Host      `json:"hosts"`
}

// EntryHost is a host that runs this system.
type EntryHost struct {
	Name        string         `json:"name"`
	Incarnation string         `json:"incarnation"`
	DataCentre  string         `json:"data-centre"`
	PeerAddress netip.AddrPort `json:"peer-address"`
	State       Liveness       `json:"state"`
}

// Host is an upstream host.
type Host struct {
	Name  string   `json:"name"`
	State Liveness `json:"state"`
	// Used is the number of busy slots; it lags.
	Used int `json:"used"`
}

// Operation is an action on a host that is done once for each id.
type Operation struct {
	ID string `json:"id"`
}

// HostStatus tells how a host's last operation stands.
type HostStatus struct {
	Name  string   `json:"name"`
	State Liveness `json:"state"`
	// Operation is the id of the last accepted operation.
	Operation string `json:"operation"`
	// Finished is set once the last operation is over and the host is up.
	Finished bool `json:"finished"`
	// Boots counts the reboots of the host.
	Boots int `json:"boots"`
}

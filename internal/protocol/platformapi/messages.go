// Package platformapi defines the messages of the platform's HTTP interface: the log,
// the live list and the actions on hosts.
package platformapi

import "net/netip"

// AppendReply is the response to an append.
type AppendReply struct {
	Offset uint64 `json:"offset"`
}

// Batch is a range of consecutive entries of a stream.
type Batch struct {
	// First is the oldest offset that is still retained.
	First uint64 `json:"first"`
	// Next is the offset of the next append.
	Next    uint64  `json:"next"`
	Entries []Entry `json:"entries"`
}

// Entry is one entry of a stream.
type Entry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Liveness is the state of a host as seen by the platform.
type Liveness string

const (
	// Live hosts answer the platform.
	Live Liveness = "live"
	// Leaving hosts will go down soon.
	Leaving Liveness = "leaving"
	// Down hosts don't answer the platform.
	Down Liveness = "down"
)

// LiveList is the platform's view of all hosts. It lags behind their actual state.
type LiveList struct {
	EntryHosts []EntryHost `json:"entry-hosts"`
	Hosts      []Host      `json:"hosts"`
}

// EntryHost is a host that runs hornbeammast.
type EntryHost struct {
	Name        string         `json:"name"`
	Incarnation string         `json:"incarnation"`
	DataCentre  string         `json:"data-centre"`
	PeerAddress netip.AddrPort `json:"peer-address"`
	State       Liveness       `json:"state"`
}

// Host is a host that runs callers' work.
type Host struct {
	Name  string   `json:"name"`
	State Liveness `json:"state"`
	// Used is the number of busy slots; it lags behind the actual number.
	Used int `json:"used"`
}

// Operation is an action on a host. The platform carries it out once for each id.
type Operation struct {
	ID string `json:"id"`
}

// HostStatus is the state of a host and of its last operation.
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

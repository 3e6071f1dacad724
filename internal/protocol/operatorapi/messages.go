// Package operatorapi defines the messages of the operators' HTTP interface.
package operatorapi

import "time"

// Outcome is the response to a change.
type Outcome struct {
	Accepted bool   `json:"accepted"`
	DryRun   bool   `json:"dry-run,omitempty"`
	Record   string `json:"record,omitempty"`
	Offset   uint64 `json:"offset"`
	Version  uint64 `json:"version"`
	Message  string `json:"message,omitempty"`
}

// Problem is the response to a request that failed.
type Problem struct {
	Error string `json:"error"`
	// Verdict says whether the change may have taken effect.
	Verdict string `json:"verdict,omitempty"`
}

// Status is the state of the fleet as seen by one entry host.
type Status struct {
	EntryHost   string       `json:"entry-host"`
	DataCentre  string       `json:"data-centre"`
	Version     uint64       `json:"version"`
	Position    uint64       `json:"position"`
	Ready       bool         `json:"ready"`
	InContact   bool         `json:"in-contact"`
	Refusing    string       `json:"refusing,omitempty"`
	Restoring   bool         `json:"restoring,omitempty"`
	Pools       []Pool       `json:"pools"`
	Hosts       []Host       `json:"hosts"`
	DataCentres []DataCentre `json:"data-centres"`
}

// Pool is the status of one pool.
type Pool struct {
	Name         string `json:"name"`
	Members      int    `json:"members"`
	Available    int    `json:"available"`
	Slots        int    `json:"slots"`
	MayStillLose int    `json:"may-still-lose"`
	Breach       string `json:"breach,omitempty"`
}

// Host is the status of one upstream host.
type Host struct {
	Name       string    `json:"name"`
	Pool       string    `json:"pool,omitempty"`
	DataCentre string    `json:"data-centre"`
	Rack       string    `json:"rack"`
	Phase      string    `json:"phase"`
	Then       string    `json:"then,omitempty"`
	ToPool     string    `json:"to-pool,omitempty"`
	Since      uint64    `json:"since"`
	SinceTime  time.Time `json:"since-time"`
	Maintained time.Time `json:"maintained"`
	WaitsFor   []string  `json:"waits-for,omitempty"`
}

// DataCentre is the status of one data centre.
type DataCentre struct {
	Name    string            `json:"name"`
	Members []string          `json:"members"`
	Lost    bool              `json:"lost"`
	Halted  bool              `json:"halted"`
	Behind  map[string]uint64 `json:"behind,omitempty"`
}

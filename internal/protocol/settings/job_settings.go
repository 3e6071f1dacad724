package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"github.com/hornbeammast/hornbeammast/internal/protocol/fleet"
)

// JobSettings are the local settings of an entry host for jobs; the rest of its
// configuration is in the log.
type JobSettings struct {
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`

	CallerAddress  netip.AddrPort `json:"caller-address"`
	HealthAddress  netip.AddrPort `json:"health-address"`
	PeerAddress    netip.AddrPort `json:"peer-address"`
	MetricsAddress netip.AddrPort `json:"metrics-address,omitzero"`

	Platform PlatformSettings `json:"platform"`
	Bounds   Bounds           `json:"bounds,omitzero"`
	Process  Process          `json:"process,omitzero"`
	// Interference is off, observe or avoid: whether owners estimate which best-effort tasks slow
	// which serving tasks down, and keep them apart.
	Interference string `json:"interference,omitempty"`
	// LogLevel is debug, info, warning or error.
	LogLevel string `json:"log-level,omitempty"`
	// AdmissionControl has owners refuse jobs that would end when their result has no value, if the
	// configuration has organisations.
	AdmissionControl bool `json:"admission-control,omitempty"`
	// LogBytesPerSecond bounds the rate of the process's log; lines beyond it are dropped and
	// counted.
	LogBytesPerSecond int `json:"log-bytes-per-second,omitempty"`
}

// PlatformSettings are the addresses and the limits of the platform's services.
type PlatformSettings struct {
	LogAddress            netip.AddrPort `json:"log-address"`
	MachinesAddress       netip.AddrPort `json:"machines-address,omitzero"`
	PlacementCheckAddress netip.AddrPort `json:"advice-address,omitzero"`
	// Partitions is the number of partitions of each topic of the log.
	Partitions int `json:"partitions"`
	// MinGroupTTL is the shortest time after which an unresponsive member may lose its
	// partitions.
	MinGroupTTL fleet.Duration `json:"least-group-ttl,omitempty"`
	// RecordBytes and CallBytes are the log's limits on a record and on an append.
	RecordBytes int `json:"record-bytes,omitempty"`
	CallBytes   int `json:"call-bytes,omitempty"`
	// ReportInterval is how often workers report about themselves in the log.
	ReportInterval fleet.Duration `json:"report-interval,omitempty"`
	// MachineOrdersPerSecond and MachineReadsPerSecond are rate limits of the machine
	// service; all entry hosts share them.
	MachineOrdersPerSecond float64 `json:"machine-orders-per-second,omitempty"`
	MachineReadsPerSecond  float64 `json:"machine-reads-per-second,omitempty"`
}

// Bounds are the platform's time limits and factors for workers and machines.
type Bounds struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease fleet.Duration `json:"max-lease,omitempty"`
	// MoveTime and MaintenanceTime are how long a machine is unavailable during a move and
	// during maintenance.
	MoveTime        fleet.Duration `json:"move-time,omitempty"`
	MaintenanceTime fleet.Duration `json:"maintenance-time,omitempty"`
	// HolderLease is how long after an order of one holder another holder must not order
	// the same machine.
	HolderLease fleet.Duration `json:"holder-lease,omitempty"`
	// NoticeTime is how long a long-running task may be down, for any cause, before it counts
	// as unavailable.
	NoticeTime fleet.Duration `json:"notice-time,omitempty"`
	// StopTime is how long a worker may take to end a run that it was ordered to stop.
	StopTime fleet.Duration `json:"stop-time,omitempty"`
	// ContactTime is how long a change in a worker's report may take to have effect, beyond
	// the interval of the reports.
	ContactTime fleet.Duration `json:"contact-time,omitempty"`
	// VersionTime is how long after its publication a version of the configuration has to be in force.
	VersionTime fleet.Duration `json:"version-time,omitempty"`
	// CheckpointInterval is the working time between two checkpoints of a task.
	CheckpointInterval fleet.Duration `json:"checkpoint-every,omitempty"`
	// EndedJobRetention is how long the state of an ended job can be queried.
	EndedJobRetention fleet.Duration `json:"keep-ended,omitempty"`
	// RemoteDataFactor is how many times as long a task takes away from its data.
	RemoteDataFactor float64 `json:"far-factor,omitempty"`
	// ShutdownGrace is how long the process may run after it is told to shut down; it exits
	// by itself shortly before the end.
	ShutdownGrace fleet.Duration `json:"shutdown-grace,omitempty"`
	// LostHosts and LostDataCentres are how many entry hosts and how many data centres may be
	// lost at once.
	LostHosts       int `json:"lost-hosts,omitempty"`
	LostDataCentres int `json:"lost-data-centres,omitempty"`
}

// Process bounds the resources that the process uses.
type Process struct {
	// CoreShare is the share of a core that the process gets, CoreSpeed how fast the core is
	// as a multiple of the site's usual core.
	CoreShare float64 `json:"core-share,omitempty"`
	CoreSpeed float64 `json:"core-speed,omitempty"`
	// LinkMbps is the bandwidth of the machine's network link; 0 if it is not known.
	LinkMbps       float64 `json:"link-mbps,omitempty"`
	MemoryMB       int     `json:"memory-mb,omitempty"`
	MaxDescriptors int     `json:"max-descriptors,omitempty"`
}

// DefaultJobSettings returns the defaults for settings that a file omits.
func DefaultJobSettings() JobSettings {
	return JobSettings{
		Platform: PlatformSettings{
			MinGroupTTL: fleet.Duration(time.Second), ReportInterval: fleet.Duration(1500 * time.Millisecond),
			MachineOrdersPerSecond: 8, MachineReadsPerSecond: 8, RecordBytes: 256 << 10, CallBytes: 2 << 20,
		},
		Bounds: Bounds{
			MaxLease: fleet.Duration(10 * time.Second), MoveTime: fleet.Duration(2 * time.Second),
			MaintenanceTime: fleet.Duration(2 * time.Second), HolderLease: fleet.Duration(3 * time.Second),
			NoticeTime:         fleet.Duration(5 * time.Second),
			StopTime:           fleet.Duration(time.Second),
			ContactTime:        fleet.Duration(3 * time.Second),
			VersionTime:        fleet.Duration(2 * time.Second),
			CheckpointInterval: fleet.Duration(time.Second), EndedJobRetention: fleet.Duration(2 * time.Minute),
			RemoteDataFactor: 2, ShutdownGrace: fleet.Duration(6 * time.Second), LostHosts: 2, LostDataCentres: 1,
		},
		Process:           Process{CoreShare: 1, CoreSpeed: 1, MemoryMB: 256, MaxDescriptors: 4096},
		Interference:      InterferenceOff,
		LogLevel:          "info",
		LogBytesPerSecond: 256 << 10,
	}
}

// The values of JobSettings.Interference.
const (
	InterferenceOff     = "off"
	InterferenceObserve = "observe"
	InterferenceAvoid   = "avoid"
)

// IsJobSettings reports whether a settings file is for an entry host for jobs: one with a
// "platform" key.
func IsJobSettings(path string) (bool, error) {
	data, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return false, errors.Wrap(err, "read the settings")
	}
	value, err := hujson.Parse(data)
	if err != nil {
		return false, errors.Wrapf(err, "%s is not JSON with comments", path)
	}
	return value.Find("/platform") != nil, nil
}

// LoadJobSettings reads and validates a settings file of an entry host for jobs.
func LoadJobSettings(path string) (JobSettings, error) {
	data, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return JobSettings{}, errors.Wrap(err, "read the settings")
	}
	s := DefaultJobSettings()
	if err := parseInto(data, &s); err != nil {
		return JobSettings{}, errors.Wrap(err, path)
	}
	return s, errors.Wrap(s.Validate(), path)
}

// validateLog returns an error for the first invalid setting of the log.
func (s *PlatformSettings) validateLog() error {
	if s.Partitions < 1 {
		return errors.New("platform: partitions must be above 0")
	}
	if s.RecordBytes < minRecordBytes || s.CallBytes < s.RecordBytes {
		return errors.Newf("platform: record-bytes must be at least %d, and call-bytes not below it", minRecordBytes)
	}
	return nil
}

// minRecordBytes is the smallest limit on a record with which jobs can be kept.
const minRecordBytes = 4 << 10

// Validate returns an error for the first invalid setting.
func (s JobSettings) Validate() error {
	if s.Name == "" || s.DataCentre == "" {
		return errors.New("name and data-centre must be set")
	}
	for name, address := range map[string]netip.AddrPort{
		"caller-address": s.CallerAddress, "health-address": s.HealthAddress, "peer-address": s.PeerAddress,
		"platform.log-address": s.Platform.LogAddress,
	} {
		if !address.IsValid() {
			return errors.Newf("%s must be an IP and a port", name)
		}
	}
	if err := s.Platform.validateLog(); err != nil {
		return err
	}
	if s.Bounds.MaxLease < fleet.Duration(time.Second) {
		return errors.New("bounds: max-lease must be at least 1s")
	}
	if s.Bounds.VersionTime < fleet.Duration(time.Second) {
		return errors.New("bounds: version-time must be at least 1s")
	}
	if s.Platform.MachineOrdersPerSecond <= 0 || s.Platform.MachineReadsPerSecond <= 0 {
		return errors.New("platform: machine-orders-per-second and machine-reads-per-second must be above 0")
	}
	if s.Process.CoreShare <= 0 || s.Process.CoreSpeed <= 0 || s.Process.LinkMbps < 0 {
		return errors.New("process: core-share and core-speed must be above 0, link-mbps must not be negative")
	}
	if s.Bounds.LostHosts < 0 || s.Bounds.LostDataCentres < 0 {
		return errors.New("bounds: lost-hosts and lost-data-centres must not be negative")
	}
	return s.validateChoices()
}

// validateChoices returns an error for the first invalid setting of what is done and logged.
func (s *JobSettings) validateChoices() error {
	if s.Interference != InterferenceOff && s.Interference != InterferenceObserve && s.Interference != InterferenceAvoid {
		return errors.Newf("interference %q: use off, observe or avoid", s.Interference)
	}
	if s.LogBytesPerSecond < 1 {
		return errors.New("log-bytes-per-second must be above 0")
	}
	return nil
}

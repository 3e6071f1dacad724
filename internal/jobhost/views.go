package jobhost

import (
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/hornbeammast/hornbeammast/internal/coordination/access"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// operatorsView holds the configuration in force and the waves that operators have
// published.
type operatorsView struct {
	codec    RecordCodec
	events   Events
	onChange func()

	// inForce holds the configuration in force with its keys, which are replaced together.
	inForce atomic.Pointer[access.Directory]
	mu      sync.Mutex
	waves   map[int64]machine.Wave
	// record is the published record of the configuration in force, without keys.
	record keyedlog.Record
	// pools holds, by the address of a queue, the pools that configurations have sent it to.
	pools map[string]map[string]struct{}
}

func (v *operatorsView) apply(records []keyedlog.Record) {
	for _, record := range records {
		if len(record.Value) == 0 {
			continue
		}
		v.applyRecord(record)
	}
}

func (v *operatorsView) applyRecord(record keyedlog.Record) {
	config, err := v.codec.Configuration(record)
	if err != nil {
		v.events.Event("record-unreadable", "key", record.Key, "offset", record.Offset, "error", err)
		return
	}
	if config != nil {
		v.adopt(config, record)
		return
	}
	wave, err := v.codec.Wave(record)
	if err != nil {
		v.events.Event("record-unreadable", "key", record.Key, "offset", record.Offset, "error", err)
		return
	}
	if wave == nil {
		return
	}
	v.mu.Lock()
	_, known := v.waves[wave.Number]
	v.waves[wave.Number] = *wave
	v.mu.Unlock()
	if !known {
		v.events.Event("wave-published", "wave", wave.Number, "machines", len(wave.Machines), "duration", wave.Duration, "max-down", wave.MaxDown)
	}
	v.onChange()
}

// adopt puts a configuration in force if its version is newer than the current one.
func (v *operatorsView) adopt(config *queue.Configuration, record keyedlog.Record) {
	v.mu.Lock()
	before := v.config()
	if before != nil && config.Version <= before.Version {
		v.mu.Unlock()
		return
	}
	v.inForce.Store(access.New(config))
	v.record = record
	if config.RequiresKeys {
		v.record = v.codec.WithoutKeys(record, config)
	}
	for n := range config.Queues {
		v.notePool(&config.Queues[n])
	}
	v.mu.Unlock()
	v.events.Event("config-in-force", "version", config.Version, "queues", len(config.Queues), "pools", len(config.Pools), "offset", record.Offset)
	if config.RequiresKeys {
		v.events.Event("keys-in-force", "version", config.Version, "organisations", len(config.Organisations))
	}
	for _, problem := range config.Problems {
		v.events.Event("config-problem", "version", config.Version, "problem", problem)
	}
	v.onChange()
}

// config returns the configuration in force, or nil.
func (v *operatorsView) config() *queue.Configuration {
	if directory := v.inForce.Load(); directory != nil {
		return directory.Configuration()
	}
	return nil
}

// version returns the version in force, or 0 if there is none yet.
func (v *operatorsView) version() int64 {
	if c := v.config(); c != nil {
		return c.Version
	}
	return 0
}

// Access returns the directory of the keys of the configuration in force, and that configuration; nil
// if there is none yet.
func (h *JobHost) Access() *access.Directory { return h.operators.inForce.Load() }

// Configuration returns the configuration in force, or nil if there is none yet.
func (h *JobHost) Configuration() *queue.Configuration { return h.config() }

func (h *JobHost) config() *queue.Configuration { return h.operators.config() }

// visibleTo returns the only organisation that may see the jobs of an organisation in a queue; empty if
// all may, since there is none or the queue is public.
func (h *JobHost) visibleTo(organisation, queueAddress string) string {
	c := h.config()
	if organisation == "" || c == nil {
		return organisation
	}
	for n := range c.Queues {
		if q := &c.Queues[n]; q.Public && q.Address() == queueAddress {
			return ""
		}
	}
	return organisation
}

// notePool notes the pool of a queue. The lock is held.
func (v *operatorsView) notePool(q *queue.Queue) {
	address := q.Address()
	if v.pools[address] == nil {
		v.pools[address] = map[string]struct{}{}
	}
	v.pools[address][q.Pool] = struct{}{}
}

// hasMoved reports whether configurations have sent a queue to several pools.
func (v *operatorsView) hasMoved(address string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.pools[address]) > 1
}

// recordAbove returns the version in force, and its record if the version is above the given one. It is 0 if
// there is none yet.
func (v *operatorsView) recordAbove(version int64) (inForce int64, record keyedlog.Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if inForce = v.version(); inForce <= version {
		return inForce, keyedlog.Record{}
	}
	return inForce, v.record
}

func (v *operatorsView) allWaves() []machine.Wave {
	v.mu.Lock()
	defer v.mu.Unlock()
	waves := make([]machine.Wave, 0, len(v.waves))
	for _, wave := range v.waves {
		waves = append(waves, wave)
	}
	return waves
}

// hostsView holds the latest report of each worker.
type hostsView struct {
	codec    RecordCodec
	events   Events
	onChange func()

	mu    sync.Mutex
	hosts map[worker.ID]worker.Report
	// unreadable holds the entries that were logged as unreadable, maxUnreadable of them.
	unreadable map[worker.ID]struct{}
}

// maxUnreadable bounds how many entries are logged as unreadable until they are readable or gone.
const maxUnreadable = 256

func (v *hostsView) reset() {
	v.mu.Lock()
	defer v.mu.Unlock()
	clear(v.hosts)
	clear(v.unreadable)
}

func (v *hostsView) apply(records []keyedlog.Record) {
	v.mu.Lock()
	changed := false
	for _, record := range records {
		changed = v.applyRecord(record) || changed
	}
	v.mu.Unlock()
	if changed {
		v.onChange()
	}
}

func (v *hostsView) applyRecord(record keyedlog.Record) bool {
	id := worker.ID(record.Key)
	before, known := v.hosts[id]
	if len(record.Value) == 0 {
		delete(v.hosts, id)
		delete(v.unreadable, id)
		return known
	}
	report, err := v.codec.Report(record)
	if err == nil {
		err = report.Validate()
	}
	if err != nil {
		v.noteUnreadable(id, record, known, err)
		delete(v.hosts, id)
		return known
	}
	delete(v.unreadable, id)
	v.hosts[id] = report
	return before != report
}

// noteUnreadable logs an entry that names no worker to use, once until it is readable. The lock is
// held.
func (v *hostsView) noteUnreadable(id worker.ID, record keyedlog.Record, known bool, cause error) {
	_, logged := v.unreadable[id]
	if logged || len(v.unreadable) >= maxUnreadable {
		return
	}
	v.unreadable[id] = struct{}{}
	v.events.Event("report-unreadable", "host", strconv.Quote(string(id)), "known", known, "offset", record.Offset, "bytes", len(record.Value), "error", cause)
}

// inPool returns the reports of a pool's hosts.
func (v *hostsView) inPool(pool string) []worker.Report {
	v.mu.Lock()
	defer v.mu.Unlock()
	var reports []worker.Report
	for _, report := range v.hosts {
		if report.Pool == pool {
			reports = append(reports, report)
		}
	}
	return reports
}

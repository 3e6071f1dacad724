// Package site emulates a small platform in memory: a log store, workers that time
// their leases on their own clocks, machines that move and go down, and a network that
// can be partitioned. Real entry hosts run on it; tests may run it in virtual time.
package site

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/candidacy"
	"github.com/hornbeammast/hornbeammast/internal/coordination/capacity"
	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/jobhost"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// SparePool is the pool of the machines that are switched off.
const SparePool = "spare"

const (
	// partitions is the number of partitions of each topic.
	partitions = 8
	// maxLease is the longest lease that a worker grants.
	maxLease = 10 * time.Second
	// groupTTL is how long an unresponsive entry host keeps its partitions.
	groupTTL = 1200 * time.Millisecond
	// cores and memoryMB are the capacity of each machine.
	cores, memoryMB = 16, 65536
)

// Events receives one log event for each decision of an entry host.
type Events interface {
	Event(name string, pairs ...any)
}

// Site is an emulated platform together with its entry hosts.
type Site struct {
	ledger  *Ledger
	store   *Store
	network *network
	// uncheckedPools are the pools whose workers start what doesn't fit.
	uncheckedPools []string
	heartbeats     bool
	events         func(host string) Events
	maxLease       time.Duration
	gangs          gangs

	mu         sync.Mutex
	rng        *rand.Rand
	closed     bool
	workers    map[worker.ID]*Worker
	machines   map[string]*simMachine
	waves      map[int64]machine.Wave
	hosts      map[string]*EntryHost
	faults     map[string]StoreFault
	lostOrders float64
	// lostOrdersOf holds the shares of single machines.
	lostOrdersOf map[string]float64
	// minLateOrderAge is the least age of a life that carries out late orders.
	minLateOrderAge time.Duration
	// isolated holds the data centres that are partitioned from the others.
	isolated map[string]bool
	// machineServiceDown means that the machine service does not answer.
	machineServiceDown bool
}

// EntryHost is a running entry host with its name, data centre and peer address.
type EntryHost struct {
	*jobhost.JobHost
	Name       string
	DataCentre string
	address    netip.AddrPort
}

// Layout is the size of a site and its division into data centres and pools.
type Layout struct {
	DataCentres []string
	// EntryHosts, Machines and Spares are counts per data centre. The machines are
	// divided among the pools; the spares start switched off in the spare pool.
	EntryHosts, Machines, Spares int
	Pools                        []string
	// UncheckedPools are the pools whose workers start what doesn't fit on them.
	UncheckedPools []string
	// Heartbeats makes workers report at intervals and removes the reports of those that can't.
	// Without it reports stay, and only a drain is reported.
	Heartbeats bool
}

// New creates a site; seed initialises its random number generator.
func New(layout Layout, seed uint64, events func(host string) Events) *Site {
	s := &Site{
		gangs: gangs{joined: map[gangKey]map[int]gangMember{}}, uncheckedPools: layout.UncheckedPools, heartbeats: layout.Heartbeats,
		lostOrdersOf: map[string]float64{}, ledger: newLedger(), events: events, maxLease: maxLease, rng: rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // Not for secrets.
		workers: map[worker.ID]*Worker{}, machines: map[string]*simMachine{}, waves: map[int64]machine.Wave{},
		hosts: map[string]*EntryHost{}, faults: map[string]StoreFault{}, isolated: map[string]bool{},
	}
	s.store = newStore(partitions, s.random)
	s.network = &network{site: s, listeners: map[netip.AddrPort]*pipeListener{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	for d, dataCentre := range layout.DataCentres {
		for n := range layout.Machines + layout.Spares {
			pool := SparePool
			if n < layout.Machines {
				pool = layout.Pools[n%len(layout.Pools)]
			}
			m := &simMachine{
				name: fmt.Sprintf("m-%s-%02d", dataCentre, n), pool: pool, dataCentre: dataCentre, rack: fmt.Sprintf("r%d-%d", d, n/4),
				capacity: worker.Resources{CPU: cores * 1000, MemoryMB: memoryMB}, maintained: map[int64]bool{},
			}
			s.machines[m.name] = m
			s.bringUp(m)
		}
	}
	return s
}

// Ledger returns the ledger of observed events and violations.
func (s *Site) Ledger() *Ledger { return s.ledger }

func (s *Site) random() float64 {
	// The generator has its own lock because its callers may hold other locks.
	randomLock.Lock()
	defer randomLock.Unlock()
	return s.rng.Float64()
}

var randomLock sync.Mutex

func (s *Site) chance(share float64) bool { return share > 0 && s.random() < share }

// lostOrderShare returns the share of the orders to a machine's worker that are lost.
func (s *Site) lostOrderShare(machine string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.lostOrders, s.lostOrdersOf[machine])
}

// storeFault returns the fault that an entry host encounters at the platform. A fault
// of its own comes first, then the isolation of its data centre, then the common fault.
func (s *Site) storeFault(host string) StoreFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fault, ok := s.faults[host]; ok {
		return fault
	}
	if h := s.hosts[host]; h != nil && s.isolated[h.DataCentre] {
		return StoreFault{Unresponsive: true}
	}
	return s.faults[""]
}

func (s *Site) worker(id worker.ID) *Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[id]
}

// isRunning reports whether an entry host has not been killed.
func (s *Site) isRunning(h *EntryHost) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, running := s.hosts[h.Name]
	return running
}

// separated reports whether an entry host and a worker can't reach each other.
func (s *Site) separated(h *EntryHost, w *Worker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return w.isolated || (h.DataCentre != w.dataCentre && (s.isolated[h.DataCentre] || s.isolated[w.dataCentre]))
}

// peersConnected reports whether an entry host can reach the peer at an address.
func (s *Site) peersConnected(h *EntryHost, address netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, other := range s.hosts {
		if other.address == address {
			return h.DataCentre == other.DataCentre || (!s.isolated[h.DataCentre] && !s.isolated[other.DataCentre])
		}
	}
	return false
}

// publishReport publishes a worker's report in the log. The caller holds the site's lock.
func (s *Site) publishReport(w *Worker) {
	data, err := json.Marshal(w.report())
	if err != nil {
		panic(err) // Unreachable: a report is plain data.
	}
	s.store.put(recordCodec{}.WorkerPartition(), keyedlog.Record{Key: string(w.id), Value: data})
}

func (s *Site) withdrawReport(id worker.ID) {
	s.store.put(recordCodec{}.WorkerPartition(), keyedlog.Record{Key: string(id)})
}

// Configure publishes a configuration to the entry hosts.
func (s *Site) Configure(c *queue.Configuration) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	s.ledger.configured(c)
	s.store.put(recordCodec{}.OperatorPartition(), keyedlog.Record{Key: keyConfig, Value: data})
	return nil
}

// Publish publishes a wave of maintenance.
func (s *Site) Publish(w machine.Wave) error {
	data, err := json.Marshal(w)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.waves[w.Number] = w
	s.mu.Unlock()
	s.store.put(recordCodec{}.OperatorPartition(), keyedlog.Record{Key: keyWave + strconv.FormatInt(w.Number, 10), Value: data})
	return nil
}

// Maintained returns how many times a machine was taken down for maintenance.
func (s *Site) Maintained() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Maintained
}

// Machines returns the names of all machines in no particular order.
func (s *Site) Machines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.machines {
		names = append(names, name)
	}
	return names
}

// StartHost starts an entry host of unknown capacity; number determines its peer address.
func (s *Site) StartHost(name, dataCentre string, number int) (*EntryHost, error) {
	return s.StartHostOf(candidacy.Capacity{}, name, dataCentre, number)
}

// StartHostOf starts an entry host of a capacity.
func (s *Site) StartHostOf(resources candidacy.Capacity, name, dataCentre string, number int) (*EntryHost, error) {
	h := &EntryHost{Name: name, DataCentre: dataCentre, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 7000)}
	s.mu.Lock()
	s.hosts[name] = h
	s.mu.Unlock()
	settings := jobhost.Settings{
		Name: name, DataCentre: dataCentre, PeerAddress: h.address, Partitions: partitions, GroupTTL: groupTTL, VersionTime: keyBound,
		LogLimits: keyedlog.Limits{Record: recordBytes, Call: callBytes},
		Resources: resources, Losses: candidacy.Losses{Hosts: 1, DataCentres: 1}, AdmissionControl: true,
		Limits: schedule.Limits{
			Lease: 5 * time.Second, MaxLease: maxLease, MaxUnconfirmed: 6 * time.Second, RenewalWait: 1500 * time.Millisecond,
			CheckpointInterval: checkpointInterval, RemoteDataFactor: 2, NoticeTime: 4500 * time.Millisecond, StopTime: stopTime,
			ContactTime: contactTime, ReportInterval: reportInterval, EndedJobRetention: 2 * time.Minute,
		},
		Capacity: jobhost.Capacity{
			HolderLease: holderLease, OrdersPerSecond: 16, ReadsPerSecond: 16, MaxOpenOrders: 16,
			Options: capacity.Options{
				HeadroomFactor: 1.15, MinHosts: 2, ShrinkAfter: 1500 * time.Millisecond, OffPeakShare: 0.45,
				MoveTime: moveTime, MaintenanceTime: maintenanceTime, FormerOwnerOrderTime: groupTTL,
			},
		},
	}
	platform := jobhost.Platform{
		Log:     &storeAccess{store: s.store, host: name, fault: s.storeFault},
		Workers: &workerAccess{s, h}, Machines: &machineAccess{s, h}, Records: recordCodec{},
	}
	started, err := jobhost.Start(settings, platform, s.events(name), time.Now, jobhost.WithNetwork(hostNetwork{s.network, h}))
	s.mu.Lock()
	defer s.mu.Unlock()
	h.JobHost = started
	return h, err
}

// Owner returns the entry host that owns a pool, or nil.
func (s *Site) Owner(pool string) *EntryHost {
	s.mu.Lock()
	hosts := make([]*EntryHost, 0, len(s.hosts))
	for _, h := range s.hosts {
		hosts = append(hosts, h)
	}
	s.mu.Unlock()
	for _, h := range hosts {
		if h.JobHost != nil && h.Owns(pool) {
			return h
		}
	}
	return nil
}

// KillHost stops an entry host as a crash would: it is disconnected from the store and
// the workers before it is closed, so that nothing it sends them while closing arrives.
func (s *Site) KillHost(h *EntryHost) {
	s.mu.Lock()
	delete(s.hosts, h.Name)
	s.faults[h.Name] = StoreFault{Refuses: true}
	s.mu.Unlock()
	h.Close()
	s.mu.Lock()
	delete(s.faults, h.Name)
	s.mu.Unlock()
}

// SetStoreFault sets the fault that an entry host encounters at the platform; an empty name
// sets it for all entry hosts. The zero StoreFault ends the fault.
func (s *Site) SetStoreFault(host string, fault StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fault == (StoreFault{}) {
		delete(s.faults, host)
		return
	}
	s.faults[host] = fault
}

// IsolateDataCentre isolates a data centre from the others and from the platform, or
// reconnects it.
func (s *Site) IsolateDataCentre(dataCentre string, isolated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isolated[dataCentre] = isolated
}

// SetLostOrderShare sets the share of the orders to workers that get no answer and are
// carried out late.
func (s *Site) SetLostOrderShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostOrders = share
}

// SetLostOrderShareOf sets the share for the workers of one machine only.
func (s *Site) SetLostOrderShareOf(machine string, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostOrdersOf[machine] = share
}

// Close stops all entry hosts and workers.
func (s *Site) Close() {
	s.mu.Lock()
	s.closed = true
	hosts := make([]*EntryHost, 0, len(s.hosts))
	for _, h := range s.hosts {
		hosts = append(hosts, h)
	}
	s.mu.Unlock()
	for _, h := range hosts {
		h.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.workers {
		w.kill()
	}
}

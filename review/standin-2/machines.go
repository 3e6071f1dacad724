package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

// machineService moves machines between pools and takes them down for upkeep.
type machineService struct {
	site *site

	mu       sync.Mutex
	machines []*machine
	waves    map[int64]wave
	// late says how long after its arrival an upkeep is carried out, which then gets no
	// answer; nil for none.
	late func(holder, name string) (time.Duration, bool)
	// begun counts the upkeeps that have begun.
	begun int
}

type wave struct {
	Wave     int64    `json:"wave"`
	Machines []string `json:"machines"`
	Duration float64  `json:"duration-s"`
	Maximum  int      `json:"maximum"`
}

type machine struct {
	name, pool, state string
	zone              string
	labels            []string
	capacity          resources
	worker            *life
	fence             int64
	lives             int
	// upkeepOf is the wave of the upkeep that is going on, done those that have begun.
	upkeepOf int64
	done     map[int64]bool
}

func (m *machineService) listen() (net.Listener, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", m.list)
	mux.HandleFunc("POST /api/machine-move", m.serveOrder)
	mux.HandleFunc("POST /api/machine-upkeep", m.serveOrder)
	return serve(mux)
}

func (m *machineService) list(w http.ResponseWriter, _ *http.Request) {
	rows := []map[string]any{}
	m.mu.Lock()
	for _, c := range m.machines {
		id := ""
		if c.worker != nil {
			id = c.worker.id
		}
		rows = append(rows, map[string]any{
			"machine": c.name, "pool": c.pool, "state": c.state, "zone": c.zone, "labels": c.labels, "capacity": c.capacity, "id": id,
		})
	}
	m.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"machines": rows, "next-token": nil})
}

type machineOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
	holder  string
	fence   int64
}

func (m *machineService) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o machineOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o.holder = r.Header.Get("X-Hornbeammast-Duty-Holder")
	o.fence, _ = strconv.ParseInt(r.Header.Get("X-Hornbeammast-Fencing-Token"), 10, 64)
	if m.late != nil && o.Pool == "" {
		if delay, ok := m.late(o.holder, o.Machine); ok {
			m.site.rec.note("upkeep of %s for wave %d by %s fence %d gets no answer and is carried out in %v", o.Machine, o.Wave, o.holder, o.fence, delay)
			time.AfterFunc(delay, func() { m.carryOut(o, true) })
			<-r.Context().Done()
			return
		}
	}
	status, reason := m.carryOut(o, false)
	writeJSON(w, status, map[string]string{"reason": reason})
}

func (m *machineService) carryOut(o machineOrder, late bool) (status int, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	status, reason = m.order(o)
	m.site.rec.note("order of %s to pool %q for wave %d by %s fence %d, late %v: %d %s", o.Machine, o.Pool, o.Wave, o.holder, o.fence, late, status, reason)
	return status, reason
}

func (m *machineService) order(o machineOrder) (status int, reason string) {
	n := slices.IndexFunc(m.machines, func(c *machine) bool { return c.name == o.Machine })
	if n < 0 {
		return http.StatusBadRequest, ""
	}
	c := m.machines[n]
	if o.fence < c.fence {
		return http.StatusConflict, "fence"
	}
	c.fence = o.fence
	if o.Pool != "" {
		if c.pool == o.Pool {
			return http.StatusOK, ""
		}
		if c.state != "up" {
			return http.StatusConflict, "busy"
		}
		m.takeDown(c, "moving", o.Pool, moveTime)
		return http.StatusOK, ""
	}
	of, ok := m.waves[o.Wave]
	switch {
	case !ok || !slices.Contains(of.Machines, c.name):
		return http.StatusConflict, "wave"
	case c.done[o.Wave]:
		return http.StatusOK, ""
	case c.state != "up":
		return http.StatusConflict, "busy"
	}
	down := 0
	for _, other := range m.machines {
		if other.state == "upkeep" && other.upkeepOf == o.Wave {
			down++
		}
	}
	m.begun++
	if down >= of.Maximum {
		m.site.check.broken("LIMIT", "the upkeep of %s by %s with fence %d begins while %d machines of wave %d are down for theirs; its maximum is %d",
			c.name, o.holder, o.fence, down, o.Wave, of.Maximum)
	}
	c.done[o.Wave], c.upkeepOf = true, o.Wave
	m.takeDown(c, "upkeep", c.pool, upkeepTime)
	return http.StatusOK, ""
}

// takeDown ends the worker of a machine; a new one joins a pool after a time. The lock is held.
func (m *machineService) takeDown(c *machine, state, pool string, after time.Duration) {
	former := c.worker
	c.state, c.pool, c.worker = state, pool, nil
	if former != nil {
		go func() {
			former.crash()
			m.site.store.put("keyed.servers", former.id, nil)
		}()
	}
	time.AfterFunc(after, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		c.state = "up"
		m.site.rec.note("machine %s is up again in pool %s", c.name, c.pool)
		if err := m.boot(c); err != nil {
			m.site.rec.note("worker of %s does not start: %v", c.name, err)
		}
	})
}

// boot starts a worker on a machine, unless its pool is the spare one. The lock is held.
func (m *machineService) boot(c *machine) error {
	if c.pool == sparePool {
		return nil
	}
	c.lives++
	l := &life{
		site: m.site, id: fmt.Sprintf("i-%s-%d", c.name, c.lives), service: c.pool, zone: c.zone, labels: c.labels, capacity: c.capacity, guards: m.site.guards,
	}
	if m.site.gated {
		var err error
		if l.gate, err = newGate(); err != nil {
			return err
		}
	}
	if err := l.start(""); err != nil {
		return err
	}
	c.worker = l
	l.register("ready")
	return nil
}

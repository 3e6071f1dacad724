package processtest

import (
	"net/http"
	"testing"
)

// TestWave runs the maintenance planners of both data centres at once. Every host must be
// maintained once, and the pool's budget must hold throughout.
func TestWave(t *testing.T) {
	c := newCluster(t)
	c.configure()
	before := map[string]bool{}
	s, err := c.status(c.entryHosts[0])
	if err != nil {
		t.Fatal(err)
	}
	for _, h := range s.Hosts {
		before[h.Name+h.Maintained.String()] = true
	}
	body := `{"maintenance":{"enabled":true,"interval":"24s"}}`
	if status, outcome := c.change(c.entryHosts[0], "/config/patch?format=merge-patch&base=1", body); status != http.StatusOK {
		t.Fatalf("patch got status %d: %+v", status, outcome)
	}
	c.eventually("every host was maintained", func() bool {
		s, err := c.status(c.entryHosts[3])
		if err != nil {
			return false
		}
		for _, p := range s.Pools {
			if p.Breach != "" {
				t.Fatalf("pool %s broke its budget: %s", p.Name, p.Breach)
			}
		}
		for _, h := range s.Hosts {
			if before[h.Name+h.Maintained.String()] {
				return false
			}
		}
		return true
	})
}

package worker

import (
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

const (
	// maxIDBytes bounds the ID of a worker; the log bounds its keys.
	maxIDBytes = 255
	// maxCapacity bounds each resource of a host, in the units of Resources, so that sums over
	// hosts don't overflow.
	maxCapacity = 1 << 40
)

// Validate returns an error unless the report names a worker that can be used. The log's entries
// may come from other writers.
func (r *Report) Validate() error {
	switch {
	case !validName(string(r.ID)):
		return errors.Newf("worker ID %q: use 1 to %d bytes of printable text", r.ID, maxIDBytes)
	case !validName(r.Pool):
		return errors.Newf("pool %q: use 1 to %d bytes of printable text", r.Pool, maxIDBytes)
	case !r.Address.IsValid() || r.Address.Port() == 0 || r.Address.Addr().IsUnspecified() || r.Address.Addr().IsMulticast():
		return errors.Newf("address %s: use the IP and the port of the worker", r.Address)
	case r.Capacity.CPU < 0 || r.Capacity.MemoryMB < 0 || r.Capacity.Accelerators < 0 ||
		max(r.Capacity.CPU, r.Capacity.MemoryMB, r.Capacity.Accelerators) > maxCapacity:
		return errors.Newf("capacity %+v: use 0 to %d of each resource", r.Capacity, int64(maxCapacity))
	case r.RemainingTime < 0 || r.Incarnation < 0:
		return errors.New("the remaining time and the incarnation must not be negative")
	}
	return nil
}

// validName reports whether a name is text that may stand in a header and in a log line.
func validName(name string) bool {
	if name == "" || len(name) > maxIDBytes || !utf8.ValidString(name) {
		return false
	}
	for _, c := range name {
		if !unicode.IsPrint(c) {
			return false
		}
	}
	return true
}

package queue

import (
	"crypto/sha256"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// Organisation is a customer of the fleet, who owns jobs.
type Organisation struct {
	Name string
	Keys []KeyDigest
	// Weight is the organisation's share of a full pool relative to others, and the number of jobs
	// per second that it may submit to be served before excess.
	Weight float64
	// Quota bounds what the organisation runs over all pools; 0 sets no bound on a resource.
	Quota worker.Resources
}

// KeyDigest is the SHA-256 digest of a key, which itself is not kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

package cmd

import "github.com/hornbeammast/hornbeammast/internal/protocol/settings"

const (
	// fileDescriptors are the descriptors kept for files and for the process itself.
	fileDescriptors = 200
	// callerShare is the fraction of the other descriptors that callers' connections may take,
	// metricsShare and peerShare those of the metrics and of the peers. The rest is for the
	// process's own connections to workers, to the platform and to peers.
	callerShare, metricsShare, peerShare = 0.5, 0.05, 0.1
	// minConns is the smallest number of connections of a listener.
	minConns = 16
	// maxCallerConns, maxMetricsConns and maxPeerConns bound the connections on large machines.
	maxCallerConns, maxMetricsConns, maxPeerConns = 2000, 64, 512
	// healthConns bounds the connections of the health checks.
	healthConns = 32
	// callerConnsPerMB bounds the callers' connections by memory: an idle connection takes about
	// 20 KB, so they take at most a sixth of it.
	callerConnsPerMB = 8
	// receivedShare is the fraction of the memory for bytes received and not yet answered. A
	// body takes up to three times its size while it is read and decoded.
	receivedShare = 0.08
)

// clientBounds bound what clients may make the process hold.
type clientBounds struct {
	// received is the budget of bytes received and not yet answered.
	received                        int64
	callers, health, metrics, peers int
}

// boundsOfClients derives the bounds from the limits of the process.
func boundsOfClients(p settings.Process) clientBounds {
	free := float64(p.MaxDescriptors - fileDescriptors)
	share := func(fraction float64, limit int) int { return max(minConns, min(limit, int(fraction*free))) }
	return clientBounds{
		received: int64(receivedShare * float64(p.MemoryMB) * (1 << 20)),
		callers:  max(minConns, min(share(callerShare, maxCallerConns), callerConnsPerMB*p.MemoryMB)),
		health:   healthConns, metrics: share(metricsShare, maxMetricsConns), peers: share(peerShare, maxPeerConns),
	}
}

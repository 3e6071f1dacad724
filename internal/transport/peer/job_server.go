package peer

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmux"

	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

// JobServer answers the calls of other entry hosts about jobs.
type JobServer struct{ *Server }

// ListenJobs starts a JobServer at an address of a network.
func ListenJobs(network Network, address netip.AddrPort, handler wire.DRPCJobPeerServer) (*JobServer, error) {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterJobPeer(mux, handler); err != nil {
		return nil, errors.Wrap(err, "register the job peer service")
	}
	server, err := listen(network, address, mux)
	if err != nil {
		return nil, err
	}
	return &JobServer{server}, nil
}

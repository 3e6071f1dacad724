package cmd

import (
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/standin"
)

// standinCmd is `hornbeammast standin [--listen IP:PORT] [--workers N] [--worker-port PORT]`.
type standinCmd struct {
	Listen     netip.AddrPort `help:"Address on which the platform listens." default:"127.0.0.1:7100"`
	Workers    int            `help:"Number of workers, named w0, w1 and so on." default:"8"`
	WorkerPort uint16         `help:"Port of the first worker; the others follow; 0 lets the system choose." default:"7200"`
	Slots      int            `help:"Slots of each worker." default:"8"`
	Listed     int            `help:"Number of further hosts in the live list without a worker, named h000 and so on." default:"0"`
	Retention  time.Duration  `help:"How long the log keeps its entries." default:"1h"`
	Lag        time.Duration  `help:"Delay of the live list behind the actual state." default:"300ms"`
	Silent     time.Duration  `help:"How long an unresponsive entry host stays in the live list." default:"3s"`
	RebootTime time.Duration  `help:"How long a reboot takes." default:"1s"`
}

// Run runs the stand-in until SIGTERM or SIGINT.
func (s *standinCmd) Run(c *console) error {
	platform, err := standin.StartPlatform(s.Listen, standin.WithRetention(s.Retention), standin.WithLiveListLag(s.Lag),
		standin.WithHeartbeatTimeout(s.Silent), standin.WithRebootTime(s.RebootTime))
	if err != nil {
		return err
	}
	defer platform.Close()
	for n := range s.Workers {
		w, err := standin.StartWorker(fmt.Sprintf("w%d", n), s.workerAddress(n), s.Slots)
		if err != nil {
			return err
		}
		defer w.Close()
		platform.AddWorker(w)
		_, _ = fmt.Fprintf(c.out, "%s %s\n", w.Name(), w.Address())
	}
	for n := range s.Listed {
		platform.AddListedHost(fmt.Sprintf("h%03d", n))
	}
	_, _ = fmt.Fprintf(c.out, "platform %s\n", platform.Address())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return nil
}

func (s *standinCmd) workerAddress(n int) netip.AddrPort {
	port := s.WorkerPort
	if port != 0 {
		port += uint16(n) //nolint:gosec // The listener refuses a port that is out of range.
	}
	return netip.AddrPortFrom(s.Listen.Addr(), port)
}

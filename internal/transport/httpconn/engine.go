package httpconn

import (
	"net"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// engine is an nbhttp engine with a probe in each of its pollers.
type engine struct {
	*nbhttp.Engine
	probes []*probe
}

func newEngine(config nbhttp.Config) (*engine, error) {
	e := &engine{Engine: nbhttp.NewEngine(config)}
	for index := range e.NPoller {
		p, err := newProbe(index, e.NPoller)
		if err != nil {
			e.closeProbes()
			return nil, errors.Wrap(err, "make the probe of a poller")
		}
		e.probes = append(e.probes, p)
	}
	return e, nil
}

// start returns once the loop of every poller runs, because nbio loses a stop that comes
// before that: Stop would then wait forever.
func (e *engine) start() error {
	if err := e.Start(); err != nil {
		e.closeProbes()
		return err
	}
	for _, p := range e.probes {
		if _, err := e.AddConn(p.far); err != nil {
			return errors.Wrap(err, "add the probe of a poller")
		}
		if err := p.awaitTurn(); err != nil {
			return err
		}
	}
	return nil
}

// adopt takes a connection over, which may then be added to a poller. A poller looks up the
// connection of an event by its descriptor. It may still hold an event of a closed
// connection with the same descriptor, and would close this one for it.
func (e *engine) adopt(c net.Conn) (net.Conn, error) {
	adopted, err := nbio.NBConn(c)
	if err != nil {
		return nil, errors.CombineErrors(err, c.Close())
	}
	if err := e.probes[adopted.Hash()%len(e.probes)].awaitTurn(); err != nil {
		return nil, errors.CombineErrors(err, adopted.Close())
	}
	return adopted, nil
}

func (e *engine) stop() {
	e.Stop()
	e.closeProbes()
}

func (e *engine) closeProbes() {
	for _, p := range e.probes {
		p.close()
	}
}

package process

import (
	"net"

	"github.com/arbutusring/arbutusring/pkg/settings"
)

// listeners are the listeners of a process besides that of its callers.
type listeners struct {
	peers, operators net.Listener
}

func listen(cfg settings.Listen) (listeners, error) {
	peers, err := net.Listen("tcp", cfg.Peers)
	if err != nil {
		return listeners{}, Error.New("listen.peers: %v", err)
	}
	operators, err := net.Listen("tcp", cfg.Operators)
	if err != nil {
		_ = peers.Close()
		return listeners{}, Error.New("listen.operators: %v", err)
	}
	return listeners{peers: peers, operators: operators}, nil
}

func (l listeners) close() {
	_ = l.peers.Close()
	_ = l.operators.Close()
}

package process

import (
	"net"

	"github.com/arbutusring/arbutusring/pkg/settings"
)

// listeners holds the listeners of a process, except that for callers.
type listeners struct {
	peers, operators net.Listener // peers is nil in processes that no other process calls
}

func listen(cfg settings.Listen) (listeners, error) {
	var l listeners
	var err error
	if cfg.Peers != "" {
		if l.peers, err = net.Listen("tcp", cfg.Peers); err != nil {
			return listeners{}, Error.New("listen.peers: %v", err)
		}
	}
	if l.operators, err = net.Listen("tcp", cfg.Operators); err != nil {
		l.close()
		return listeners{}, Error.New("listen.operators: %v", err)
	}
	return l, nil
}

func (l listeners) close() {
	for _, ln := range []net.Listener{l.peers, l.operators} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

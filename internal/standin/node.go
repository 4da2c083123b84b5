package standin

import (
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/rs/zerolog"
)

// node is the log, the role and the data of a server. See the package comment
// for the order of the two locks.
type node struct {
	folder     string               // empty in memory
	applyDelay func() time.Duration // may change at any time
	logger     zerolog.Logger
	commitMu   sync.Mutex // guards commits; held for moments only
	commits    []*commit  // waiting to be written
	logMu      sync.Mutex // serialises changes of the log and of meta
	file       *logFile   // nil in memory
	fileFailed error      // first failure of file, after which nothing is written
	mu         sync.RWMutex
	meta       meta                 // written with logMu and mu held
	log        []record             // log[i] has LSN i+1; written with logMu and mu held
	received   []time.Time          // time at which log[i] was stored, for the apply delay
	applied    int                  // number of applied records
	tables     tables               // data of the applied records
	replicas   map[string]*progress // by server id
	changed    chan struct{}        // closed and replaced when any of the above changes
}

// openNode reads the data folder, or starts empty. id is used if the folder
// has none.
func openNode(id string, opts Options) (*node, error) {
	n := &node{
		folder:     opts.DataFolder,
		applyDelay: func() time.Duration { return opts.ApplyDelay },
		logger:     opts.Log,
		meta:       meta{ID: id},
		tables:     make(tables),
		replicas:   make(map[string]*progress),
		changed:    make(chan struct{}),
	}
	if n.folder == "" {
		return n, nil
	}
	m, found, err := readMeta(n.folder)
	if err != nil {
		return nil, err
	}
	if found {
		n.meta = m
	} else if err := writeMeta(n.folder, n.meta); err != nil {
		return nil, err
	}
	if n.file, n.log, err = openLogFile(n.folder); err != nil {
		return nil, err
	}
	n.received = make([]time.Time, len(n.log))
	n.applyUpTo(len(n.log))
	return n, nil
}

// close closes the file of the log.
func (n *node) close() error {
	n.logMu.Lock()
	defer n.logMu.Unlock()
	if n.file == nil {
		return nil
	}
	n.fileFailed = Error.New("server is stopped")
	return n.file.close()
}

// status is what arbutusring_status returns.
type status struct {
	meta     meta
	received logpos.Position
	applied  logpos.Position
}

func (n *node) status() status {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.statusLocked()
}

// statusLocked requires mu.
func (n *node) statusLocked() status {
	return status{meta: n.meta, received: n.positionAt(len(n.log)), applied: n.positionAt(n.applied)}
}

// positionAt returns the position of the record with LSN i; requires mu.
func (n *node) positionAt(i int) logpos.Position {
	if i == 0 {
		return logpos.Position{}
	}
	return n.log[i-1].position()
}

// broadcast wakes everyone who waits for a change; requires mu for writing.
func (n *node) broadcast() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// applyUpTo applies the records up to LSN i; requires mu for writing, or
// exclusive use.
func (n *node) applyUpTo(i int) {
	for ; n.applied < i; n.applied++ {
		n.tables.apply(n.log[n.applied].Ops)
	}
}

// storeMeta stores m durably; requires logMu. The caller changes memory only
// after success.
func (n *node) storeMeta(m meta) error {
	if n.folder == "" {
		return nil
	}
	return writeMeta(n.folder, m)
}

// store writes records durably and appends them in memory; requires logMu.
// apply also applies them at once.
func (n *node) store(records []record, apply bool) error {
	if n.fileFailed != nil {
		return n.fileFailed
	}
	if n.file != nil {
		if err := n.file.append(records); err != nil {
			n.fileFailed = err
			n.logger.Error().Err(err).Msg("writing the log failed; the server accepts no more records")
			return err
		}
	}
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.log = append(n.log, records...)
	for range records {
		n.received = append(n.received, now)
	}
	if apply {
		n.applyUpTo(len(n.log))
	}
	n.broadcast()
	return nil
}

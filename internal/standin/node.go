package standin

import (
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/rs/zerolog"
)

// node holds the log, the role and the data of a server. See the package
// comment for the lock order.
type node struct {
	folder         string               // empty if the log is kept in memory only
	applyDelay     func() time.Duration // its result may change at any time
	logger         zerolog.Logger
	commitMu       sync.Mutex           // guards pendingCommits; held only briefly
	pendingCommits []*pendingCommit     // transactions that wait to be written to the log
	logMu          sync.Mutex           // serialises changes of the log and of meta
	file           *logFile             // nil if the log is kept in memory only
	fileErr        error                // first error of file; nothing is written after it
	mu             sync.RWMutex         // guards the fields below
	meta           meta                 // written with logMu and mu held
	log            []record             // log[i] has LSN i+1; written with logMu and mu held
	receivedAt     []time.Time          // receivedAt[i] is when log[i] was stored, for the apply delay
	applied        int                  // number of applied records
	tables         tables               // state after the applied records
	replicas       map[string]*progress // by server id
	changed        chan struct{}        // closed and replaced when the log, meta or applied changes
}

// openNode loads the state from the data folder, or starts empty. id is used
// unless the folder contains one.
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
	n.receivedAt = make([]time.Time, len(n.log))
	n.applyUpTo(len(n.log))
	return n, nil
}

// close closes the log file; later writes fail.
func (n *node) close() error {
	n.logMu.Lock()
	defer n.logMu.Unlock()
	if n.file == nil {
		return nil
	}
	n.fileErr = Error.New("server is stopped")
	return n.file.close()
}

// status holds the values that arbutusring_status returns.
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

// statusLocked is status with mu already held.
func (n *node) statusLocked() status {
	return status{meta: n.meta, received: n.positionAt(len(n.log)), applied: n.positionAt(n.applied)}
}

// positionAt returns the position of the record with LSN i, or the zero position
// for 0; requires mu.
func (n *node) positionAt(i int) logpos.Position {
	if i == 0 {
		return logpos.Position{}
	}
	return n.log[i-1].position()
}

// broadcast wakes all waiters on changed; requires mu for writing.
func (n *node) broadcast() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// applyUpTo applies the records up to LSN i; requires mu for writing, or
// exclusive use.
func (n *node) applyUpTo(i int) {
	for ; n.applied < i; n.applied++ {
		n.tables.apply(n.log[n.applied].Changes)
	}
}

// storeMeta stores m durably; requires logMu. The caller updates n.meta only
// after success.
func (n *node) storeMeta(m meta) error {
	if n.folder == "" {
		return nil
	}
	return writeMeta(n.folder, m)
}

// store writes records durably and appends them to the log in memory; requires
// logMu. If apply is set, it also applies them.
func (n *node) store(records []record, apply bool) error {
	if n.fileErr != nil {
		return n.fileErr
	}
	if n.file != nil {
		if err := n.file.append(records); err != nil {
			n.fileErr = err
			n.logger.Error().Err(err).Msg("cannot write the log; the server accepts no more records")
			return err
		}
	}
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.log = append(n.log, records...)
	for range records {
		n.receivedAt = append(n.receivedAt, now)
	}
	if apply {
		n.applyUpTo(len(n.log))
	}
	n.broadcast()
	return nil
}

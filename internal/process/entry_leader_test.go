package process_test

import (
	"context"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// resettableLink dials TCP and can reset the connections to an address.
type resettableLink struct {
	mu    sync.Mutex
	conns map[string][]net.Conn // by address
}

func (l *resettableLink) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = make(map[string][]net.Conn)
	}
	l.conns[address] = append(l.conns[address], conn)
	return conn, nil
}

// reset closes the connections to address.
func (l *resettableLink) reset(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns[address] {
		_ = conn.Close()
	}
}

// TestEntryKeepsLeaseOfUnnamedLeader guards against a lease lost by one reset of the connection to a leader outside the settings.
func TestEntryKeepsLeaseOfUnnamedLeader(t *testing.T) {
	is := is.New(t)
	in := startControls(t, 3)
	st, ok := in.leaderStatus()
	is.True(ok)
	in.entry.Abort()
	link := &resettableLink{}
	in.entryDial = link.dial
	in.startEntry(slices.DeleteFunc(slices.Clone(in.ids), func(id string) bool { return id == st.ID }))
	eventually(t, "the entry has its lease", in.entryHasLease)
	link.reset(in.addresses[st.ID])
	for begun := time.Now(); time.Since(begun) < 2*time.Second; time.Sleep(20 * time.Millisecond) {
		if !in.entryHasLease() {
			t.Fatalf("no lease %s after the reset", time.Since(begun))
		}
	}
	now, _ := in.leaderStatus()
	is.Equal(now.ID, st.ID) // else the test shows nothing
}

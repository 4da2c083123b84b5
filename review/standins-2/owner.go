package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	// lookups is how often a connection is looked up; the kernel's list, which isn't read at
	// once, may miss one.
	lookups = 5
	// lookupPause is the pause between two lookups.
	lookupPause = time.Millisecond
)

// owner returns the machine whose process has opened a connection from the given
// address, or nil. All processes connect from the same loopback address, so it looks the
// connection up among those of the processes that the script started.
func (in *installation) owner(remote net.Addr) *machine {
	a, ok := remote.(*net.TCPAddr)
	if !ok {
		return nil
	}
	for range lookups {
		link := socketLink(a)
		for _, m := range in.machines {
			for _, n := range m.nodes() {
				if link != "" && n.hasFile(link) {
					return m
				}
			}
		}
		time.Sleep(lookupPause)
	}
	return nil
}

// socketLink returns what the descriptor of the socket with a local address links to.
func socketLink(a *net.TCPAddr) string {
	f, err := os.Open("/proc/self/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }()
	address := fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(a.IP.To4()), a.Port)
	for s := bufio.NewScanner(f); s.Scan(); {
		if fields := strings.Fields(s.Text()); len(fields) > 9 && fields[1] == address {
			return "socket:[" + fields[9] + "]"
		}
	}
	return ""
}

// hasFile reports whether the process has a descriptor that links to the given text.
func (n *node) hasFile(link string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return false
	}
	folder := fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid)
	files, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	for _, f := range files {
		if to, err := os.Readlink(filepath.Join(folder, f.Name())); err == nil && to == link {
			return true
		}
	}
	return false
}

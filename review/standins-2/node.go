package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// gracePeriod is the time between SIGTERM and SIGKILL.
const gracePeriod = 6 * time.Second

// node is one process of the product, with the settings that the templates of the
// deploy file give it.
type node struct {
	rec      *recorder
	name     string
	role     string
	program  string
	settings string // path of the settings file
	log      string // path of its output

	mu     sync.Mutex
	cmd    *exec.Cmd // nil while it does not run
	exited chan struct{}
}

func (n *node) start() error {
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(n.program, n.role, "--settings", n.settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	n.rec.note("%s starts, process %d", n.name, cmd.Process.Pid)
	go n.run(cmd, out, exited)
	return nil
}

// run waits until the process has ended.
func (n *node) run(cmd *exec.Cmd, out *os.File, exited chan struct{}) {
	err := cmd.Wait()
	_ = out.Close()
	n.mu.Lock()
	if n.cmd == cmd {
		n.cmd = nil
	}
	n.mu.Unlock()
	n.rec.note("%s ended: %v", n.name, err)
	close(exited)
}

// signal sends a signal if the process runs.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		n.rec.note("%s gets %v", n.name, s)
		_ = n.cmd.Process.Signal(s)
	}
}

// wait waits until the process has ended, for d at most.
func (n *node) wait(d time.Duration) bool {
	n.mu.Lock()
	exited, running := n.exited, n.cmd != nil
	n.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(d):
		return false
	}
}

// kill ends the process at once.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.wait(gracePeriod)
}

// terminate performs a planned stop.
func (n *node) terminate() {
	n.signal(syscall.SIGTERM)
	if !n.wait(gracePeriod) {
		n.kill()
	}
}

// machine is a machine of the installation: an address, a directory process if it
// has a disk, and a gateway process.
type machine struct {
	name, ip, zone string
	directory      *node // nil without a disk
	gateway        *node
	dataFolder     string
}

// nodes returns the processes of a machine.
func (m *machine) nodes() []*node {
	if m.directory == nil {
		return []*node{m.gateway}
	}
	return []*node{m.directory, m.gateway}
}

// start starts the processes of a machine.
func (m *machine) start() error {
	var errs []error
	for _, n := range m.nodes() {
		errs = append(errs, n.start())
	}
	return errors.Join(errs...)
}

// ports are the same on all machines.
type ports struct{ front, ready, control, peers, relays int }

func (m *machine) front(p ports) string   { return fmt.Sprintf("%s:%d", m.ip, p.front) }
func (m *machine) control(p ports) string { return fmt.Sprintf("%s:%d", m.ip, p.control) }

// writeSettings writes the settings files of a machine as the templates
// deploy/directory.tmpl and deploy/gateway.tmpl do.
func (in *installation) writeSettings(m *machine, bootstrap bool, seeds []*machine) error {
	var addresses, members []string
	for _, s := range seeds {
		addresses = append(addresses, fmt.Sprintf("%q", s.control(in.ports)))
		members = append(members, fmt.Sprintf("%q = %q\n", s.control(in.ports), s.control(in.ports)))
	}
	list := strings.Join(addresses, ", ")
	gateway := fmt.Sprintf("[host]\nid = %q\ndata_centre = %q\nregion = %q\nmemory_mb = 284\n[host.regions]\n%s[listen]\ncallers = %q\npeers = \"%s:%d\"\noperators = \"%s:%d\"\n[control]\naddresses = [%s]\npeer_port = %d\n[entry]\nstop_timeout = \"5500ms\"\n",
		m.name, m.zone, regions[m.zone], regionTable(), m.front(in.ports), m.ip, in.ports.relays, m.ip, in.ports.ready, list, in.ports.peers)
	err := os.WriteFile(m.gateway.settings, []byte(gateway), 0o600)
	if m.directory == nil || err != nil {
		return err
	}
	directory := fmt.Sprintf("[host]\nid = %q\nname = %q\ndata_centre = %q\nregion = %q\nmemory_mb = 284\n[listen]\npeers = \"%s:%d\"\noperators = %q\n[control]\naddresses = [%s]\npeer_port = %d\ndata_folder = %q\nbootstrap = %t\n[control.members]\n%s[promotion]\naddress = %q\n[entry]\nstop_timeout = \"5500ms\"\n[allowance]\n",
		m.control(in.ports), m.name, m.zone, regions[m.zone], m.ip, in.ports.peers, m.control(in.ports), list, in.ports.peers, m.dataFolder, bootstrap, strings.Join(members, ""), in.platform.address())
	return os.WriteFile(m.directory.settings, []byte(directory), 0o600)
}

// zones and regions are those of a small deployment.
var (
	zones   = []string{"munster-cork", "leinster-dublin", "connacht-galway"}
	regions = map[string]string{"munster-cork": "munster", "leinster-dublin": "leinster", "connacht-galway": "connacht"}
)

func regionTable() string {
	var b strings.Builder
	for _, z := range zones {
		fmt.Fprintf(&b, "%q = %q\n", z, regions[z])
	}
	return b.String()
}

// loseDisk removes the files of a machine whose processes do not run.
func (m *machine) loseDisk() error {
	return errors.Join(os.RemoveAll(m.dataFolder), os.MkdirAll(m.dataFolder, 0o700))
}

func (in *installation) newNode(m *machine, role string) *node {
	base := filepath.Join(in.folder, m.name+"-"+role)
	return &node{rec: in.rec, name: m.name + "/" + role, role: role, program: in.program, settings: base + ".toml", log: base + ".log"}
}

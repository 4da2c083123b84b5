package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// settleTimeout bounds the wait for the installation to serve.
const settleTimeout = 30 * time.Second

// errNotRun means that a script could not run.
var errNotRun = errors.New("the script could not run")

// installation is a small deployment: three machines with a disk, one in each zone, some
// without one, one service with three servers, the platform, an operator and clients.
type installation struct {
	rec      *recorder
	folder   string // temporary
	program  string
	network  string // first three numbers of all addresses
	ports    ports
	machines []*machine
	group    *group
	platform *platform
	operator *operator
	clients  *clients

	stop  chan struct{}
	tasks sync.WaitGroup

	mu      sync.Mutex
	serving []*machine // those that the callers of control know
}

// install prepares the deployment, with the given number of machines without a disk. Its
// processes are not started.
func install(rec *recorder, folder, program string, entries int) (*installation, error) {
	in := &installation{rec: rec, folder: folder, program: program, stop: make(chan struct{})}
	if err := in.chooseNetwork(); err != nil {
		return in, err
	}
	in.group = &group{rec: rec, term: 1}
	var err error
	if in.platform, err = startPlatform(in.group, in.network+".200:0"); err != nil {
		return in, err
	}
	for i, zone := range zones {
		s, err := newServer(in, in.group, fmt.Sprintf("i-%08x", rand.Uint32()), zone, fmt.Sprintf("%s.%d:0", in.network, 101+i))
		if err != nil {
			return in, err
		}
		s.primary = i == 0
	}
	for i, zone := range zones {
		in.machines = append(in.machines, in.newMachine(i, zone))
	}
	for i := range entries {
		m := in.newMachine(len(zones)+i, zones[i%len(zones)])
		m.directory = nil
		in.machines = append(in.machines, m)
	}
	in.serving = in.machines
	for _, m := range in.machines {
		if err := in.writeSettings(m, true, in.core()); err != nil {
			return in, err
		}
	}
	in.tasks.Go(func() { in.group.loop(in.stop) })
	for _, s := range in.group.servers {
		in.tasks.Go(func() { (&announcer{server: s, client: newHTTPClient()}).loop(in.stop) })
	}
	in.operator = &operator{in: in, client: newHTTPClient()}
	return in, nil
}

// startAll starts all machines and waits until the deployment serves.
func (in *installation) startAll() error {
	for _, m := range in.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	if !in.operator.replace(settleTimeout) || !in.awaitReady(settleTimeout) {
		return fmt.Errorf("%w: the deployment does not become ready", errNotRun)
	}
	for _, m := range in.machines { // from now on, no start is that of the whole system
		if err := in.writeSettings(m, false, in.core()); err != nil {
			return err
		}
	}
	in.clients = newClients(in)
	return nil
}

// core returns the first machines, which have a disk.
func (in *installation) core() []*machine { return in.machines[:len(zones)] }

// chooseNetwork chooses addresses and ports that are free.
func (in *installation) chooseNetwork() error {
	for range 50 {
		in.network = fmt.Sprintf("127.%d.%d", 1+rand.IntN(200), rand.IntN(250))
		base := 20000 + rand.IntN(8000)
		in.ports = ports{front: base, ready: base + 1, control: base + 2, peers: base + 3, relays: base + 4}
		free := true
		for host := range 8 {
			for p := range 5 {
				ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", in.network, host+1, base+p))
				if err != nil {
					free = false
					continue
				}
				_ = ln.Close()
			}
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("%w: no free ports", errNotRun)
}

func (in *installation) newMachine(i int, zone string) *machine {
	m := &machine{name: fmt.Sprintf("edge-%s-%d", zone, 1+i/len(zones)), ip: fmt.Sprintf("%s.%d", in.network, i+1), zone: zone}
	m.dataFolder = filepath.Join(in.folder, m.name+"-data")
	m.directory, m.gateway = in.newNode(m, "directory"), in.newNode(m, "gateway")
	_ = os.MkdirAll(m.dataFolder, 0o700)
	return m
}

// controls returns the control addresses that callers of control know.
func (in *installation) controls() []string {
	in.mu.Lock()
	defer in.mu.Unlock()
	var out []string
	for _, m := range in.serving {
		if m.directory != nil {
			out = append(out, m.control(in.ports))
		}
	}
	return out
}

// setServing replaces the machines that callers of control and clients know.
func (in *installation) setServing(machines ...*machine) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.serving = machines
}

// ready reports whether the gateway of a machine is ready.
func (in *installation) ready(client *http.Client, m *machine) bool {
	resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", m.ip, in.ports.ready, wire.ReadyPath))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (in *installation) awaitReady(d time.Duration) bool {
	client := newHTTPClient()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, m := range in.machines {
			if in.ready(client, m) {
				n++
			}
		}
		if n == len(in.machines) {
			return true
		}
	}
	return false
}

// close ends everything that the script started.
func (in *installation) close() {
	if in.clients != nil {
		in.clients.end()
	}
	close(in.stop)
	for _, m := range in.machines {
		for _, n := range m.nodes() {
			n.kill()
		}
	}
	if in.group != nil {
		for _, s := range in.group.servers {
			_ = s.listener.Close()
		}
	}
	in.tasks.Wait()
	if in.platform != nil {
		_ = in.platform.listener.Close()
	}
}

func newHTTPClient() *http.Client {
	return &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
}

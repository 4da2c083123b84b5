package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all machines, as on the users' platform.
type ports struct {
	front, ready, control, internal int
}

// machine is one machine of the system.
type machine struct {
	name, ip, zone string
	core           bool
	gateway        *process
	directory      *process
	seeds          []string // control addresses in its settings
}

// process is a program that this test has started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended
}

func (p *process) loop() {
	_ = p.cmd.Wait()
	close(p.done)
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// installation is a small deployment: three zones, machines with a disk in each, two
// more entry hosts, a service with three members, and the platform.
type installation struct {
	wire     *wireNames
	rec      *record
	net      *network
	infra    *infrastructure
	group    *group // the first service
	second   *group // the second service, whose members are started only for some cases
	machines []*machine
	members  []*member    // of the first service
	prefix   string       // first two bytes of the addresses
	platform net.Listener // address of the platform
	ports    ports
	root     string // of the repository
	dir      string // temporary folder
	done     chan struct{}
	version  int // of the newest configuration
	stopOnce sync.Once
}

// seedCount is the number of control addresses that the settings name.
const seedCount = 3

// memberPort is the port of the members.
const memberPort = 18080

var zones = []string{"munster-cork", "leinster-dublin", "connacht-galway"}

func regions() map[string]any {
	return map[string]any{"munster-cork": "munster", "leinster-dublin": "leinster", "connacht-galway": "connacht"}
}

// newInstallation prepares an installation with cores machines that have a disk. It
// starts nothing.
func newInstallation(rec *record, cores int) (*installation, error) {
	w, err := loadWireNames()
	if err != nil {
		return nil, err
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	in := &installation{
		wire: w, rec: rec, net: newNetwork(), root: root, dir: dir, done: make(chan struct{}),
		ports: ports{front: 18784, ready: 18785, control: 18782, internal: 17440},
	}
	if err := in.reserve(); err != nil {
		return nil, err
	}
	in.net.addProcess(os.Getpid(), "test")
	in.group = &group{service: "huvo11a", net: in.net, rec: rec, members: make(map[string]*member)}
	in.second = &group{service: "kafi81c", net: in.net, rec: rec, members: make(map[string]*member)}
	in.infra = &infrastructure{wire: w, net: in.net, rec: rec, groups: []*group{in.group, in.second}}
	for i := range cores {
		at := i % len(zones)
		in.machines = append(in.machines, &machine{name: fmt.Sprintf("core-%d", i+1), ip: in.ip(at+1, 1+2*(i/len(zones))), zone: zones[at], core: true})
	}
	for i, zone := range []string{zones[2], zones[0]} {
		in.machines = append(in.machines, &machine{name: fmt.Sprintf("edge-%d", i+1), ip: in.ip(3-2*i, 2), zone: zone})
	}
	for _, m := range in.machines {
		m.seeds = in.controls()[:seedCount]
	}
	return in, nil
}

// reserveAttempts bounds the search for addresses that no other process uses.
const reserveAttempts = 100

// reserve chooses addresses whose ports are free, and keeps the one of the platform
// open, so that another case that runs at the same time chooses others.
func (in *installation) reserve() error {
	var err error
	for range reserveAttempts {
		in.prefix = fmt.Sprintf("127.%d", 20+rand.IntN(200))
		if in.platform, err = net.Listen("tcp", address(in.ip(9, 1), in.ports.control)); err != nil {
			continue
		}
		if err = in.checkPorts(); err == nil {
			return nil
		}
		_ = in.platform.Close()
	}
	return err
}

// checkPorts returns an error if a port of the machines is in use, for example by a
// process that listens on all addresses.
func (in *installation) checkPorts() error {
	for _, port := range []int{in.ports.front, in.ports.ready, in.ports.control, in.ports.internal, memberPort} {
		ln, err := net.Listen("tcp", address(in.ip(1, 1), port))
		if err != nil {
			return err
		}
		_ = ln.Close()
	}
	return nil
}

func (in *installation) ip(zone, host int) string {
	return fmt.Sprintf("%s.%d.%d", in.prefix, zone, host)
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// controls returns the control addresses.
func (in *installation) controls() []string {
	var out []string
	for _, m := range in.machines {
		if m.core {
			out = append(out, address(m.ip, in.ports.control))
		}
	}
	return out
}

func (in *installation) machine(name string) *machine {
	for _, m := range in.machines {
		if m.name == name {
			return m
		}
	}
	panic("no machine " + name)
}

// namesWithout returns the names of all machines and members but the given ones.
func (in *installation) namesWithout(names ...string) []string {
	var out []string
	add := func(name string) {
		for _, n := range names {
			if n == name {
				return
			}
		}
		out = append(out, name)
	}
	for _, m := range in.machines {
		add(m.name)
	}
	for _, m := range in.members {
		add(m.id)
	}
	add(infrastructureMachine)
	return out
}

// behindProxies gives the machine addresses of proxies as its seeds, so that its
// links to the core can be cut.
func (in *installation) behindProxies(m *machine) error {
	aliases := make(map[string]string)
	m.seeds = nil
	var proxies []*linkProxy
	var listeners []net.Listener
	for i, c := range in.machines {
		if !c.core {
			continue
		}
		alias, target := in.ip(i+1, 9), address(c.ip, in.ports.internal)
		m.seeds = append(m.seeds, address(alias, in.ports.control))
		aliases[target] = address(alias, in.ports.internal)
		ln, err := net.Listen("tcp", aliases[target])
		if err != nil {
			return err
		}
		listeners = append(listeners, ln)
		proxies = append(proxies, &linkProxy{net: in.net, from: m.name, to: c.name, target: target, aliases: aliases})
	}
	for i, p := range proxies {
		go p.loop(listeners[i])
	}
	return nil
}

// start starts the members, the platform and all processes, and puts the first
// configuration into force.
func (in *installation) start() error {
	in.rec.say("starting the installation at %s", in.prefix)
	go in.infra.run(in.platform)
	var err error
	if in.members, err = in.startMembers(in.group, "i-7f3a91c", 31, "first"); err != nil {
		return err
	}
	for _, m := range in.machines {
		if m.core {
			if m.directory, err = in.startProcess(m, "directory", true); err != nil {
				return err
			}
		}
		if m.gateway, err = in.startProcess(m, "gateway", true); err != nil {
			return err
		}
	}
	return in.configure()
}

// startMembers starts three members of a group, the first of which is the primary.
// host is the last byte of their addresses, and value that of the one item that
// they hold.
func (in *installation) startMembers(g *group, idPrefix string, host int, value string) ([]*member, error) {
	var members []*member
	for i, zone := range zones {
		m := &member{
			group: g, wire: in.wire, id: fmt.Sprintf("%s%d", idPrefix, i+1), zone: zone, address: address(in.ip(i+1, host), memberPort), born: time.Now().UnixMilli(),
			slots: make(chan struct{}, memberSlots), soon: make(chan struct{}, 1), up: true, role: "replica", term: 1,
			log: []entry{{term: 1, item: "1a0", value: value}},
		}
		if i == 0 {
			m.role = "primary"
		}
		for _, c := range in.machines {
			if c.core {
				m.controls = append(m.controls, controlAddress{c.name, address(c.ip, in.ports.control)})
			}
		}
		var err error
		if m.listener, err = net.Listen("tcp", m.address); err != nil {
			return nil, err
		}
		g.members[m.id] = m
		members = append(members, m)
		go m.loop()
		go m.loopHeartbeats(in.done)
	}
	go g.loop(in.done)
	return members, nil
}

// folder returns the folder of a process.
func (in *installation) folder(m *machine, role string) string {
	return filepath.Join(in.dir, m.name, role)
}

// writeSettings writes the settings of a process with the template of the deploy
// file and returns the file.
func (in *installation) writeSettings(m *machine, role string, bootstrap bool) (string, error) {
	template, err := os.ReadFile(filepath.Join(in.root, "deploy", role+".tmpl"))
	if err != nil {
		return "", err
	}
	folder := in.folder(m, role)
	if err := os.MkdirAll(filepath.Join(folder, "data"), 0o700); err != nil {
		return "", err
	}
	fields := map[string]any{
		"node_name": m.name, "zone": m.zone, "region": regions()[m.zone], "zones": regions(), "ip": m.ip,
		"listen_addrs": map[string]any{
			"front": address(m.ip, in.ports.front), "ready": address(m.ip, in.ports.ready), "control": address(m.ip, in.ports.control),
		},
		"internal_ports": []string{strconv.Itoa(in.ports.internal), strconv.Itoa(in.ports.internal + 15)},
		"seeds":          m.seeds, "bootstrap": strconv.FormatBool(bootstrap), "data_dir": filepath.Join(folder, "data"),
		"limits":                     map[string]any{"memory_mb": 284},
		in.wire.Settings["platform"]: map[string]any{"address": address(in.ip(9, 1), in.ports.control)},
	}
	text, err := renderTemplate(string(template), fields)
	if err != nil {
		return "", err
	}
	file := filepath.Join(folder, "node.conf")
	temp := file + ".new"
	if err := os.WriteFile(temp, []byte(text), 0o600); err != nil {
		return "", err
	}
	return file, os.Rename(temp, file)
}

// startProcess starts the process of a role with the command of the deploy file.
func (in *installation) startProcess(m *machine, role string, bootstrap bool) (*process, error) {
	file, err := in.writeSettings(m, role, bootstrap)
	if err != nil {
		return nil, err
	}
	folder := in.folder(m, role)
	log, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(in.root, "target", "arbutusring"), role, "--settings", file)
	cmd.Dir, cmd.Stdout, cmd.Stderr = in.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	in.net.addProcess(cmd.Process.Pid, m.name)
	p := &process{cmd: cmd, done: make(chan struct{})}
	go p.loop()
	return p, nil
}

// startTimeout bounds the start of an installation.
const startTimeout = 30 * time.Second

// addedRoute is a route that a later configuration adds.
type addedRoute struct {
	priority  int
	timeoutMS int
}

// configure puts the first configuration into force and waits until every entry
// host reports ready.
func (in *installation) configure() error {
	deadline := time.Now().Add(startTimeout)
	if err := in.putConfig(nil, deadline); err != nil {
		return err
	}
	for _, m := range in.machines {
		for !in.ready(m) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	in.rec.say("every entry host is ready")
	return nil
}

// putConfig sends the next version of the configuration until it is acknowledged.
// It has the added route unless that is nil.
func (in *installation) putConfig(added *addedRoute, deadline time.Time) error {
	in.version++
	values := map[string]any{"version": in.version, "service": in.group.service, "second_service": in.second.service}
	document := maps.Clone(in.wire.Config)
	if added != nil {
		values["priority"], values["timeout"] = added.priority, added.timeoutMS
		document["routes"] = append(slices.Clone(document["routes"].([]any)), in.wire.AddedRoute)
	}
	body := fill(document, values)
	for i := 0; ; i++ {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status := post(ctx, "http://"+in.controls()[i%len(in.controls())]+in.wire.Paths["put_config"], body)
		cancel()
		if status == http.StatusOK {
			in.rec.say("configuration %d is acknowledged", in.version)
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the configuration was not acknowledged; last status %d", status)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (in *installation) ready(m *machine) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address(m.ip, in.ports.ready)+in.wire.Paths["ready"], nil)
	if err != nil {
		return false
	}
	reply, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = reply.Body.Close()
	return reply.StatusCode == http.StatusOK
}

// open opens a client's session at an entry host.
func (in *installation) open(client, host, database string) (*session, error) {
	return in.openWithin(client, host, database, answerTimeout)
}

// openWithin is open with a limit for the answer to the first line.
func (in *installation) openWithin(client, host, database string, limit time.Duration) (*session, error) {
	m := in.machine(host)
	return openSession(in.wire, in.rec, client, host, address(m.ip, in.ports.front), database, limit)
}

// stopTimeout is how long a process may take to stop before it is killed.
const stopTimeout = 6 * time.Second

// stop ends all processes, and removes the temporary folder unless it is to be
// kept.
func (in *installation) stop(keep bool) { in.stopOnce.Do(func() { in.end(keep) }) }

func (in *installation) end(keep bool) {
	close(in.done)
	var processes []*process
	for _, m := range in.machines {
		for _, p := range []*process{m.gateway, m.directory} {
			if p != nil {
				processes = append(processes, p)
				p.signal(syscall.SIGCONT)
				p.signal(syscall.SIGKILL)
			}
		}
	}
	for _, p := range processes {
		select {
		case <-p.done:
		case <-time.After(stopTimeout):
		}
	}
	if keep {
		in.rec.say("logs are in %s", in.dir)
		return
	}
	_ = os.RemoveAll(in.dir)
}

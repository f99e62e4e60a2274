package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/citronrun/citronrun/internal/auth"
	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/pki"
	"github.com/citronrun/citronrun/internal/settings"
)

const (
	place        = "bench"
	team         = "callers"
	slots        = 1024
	connections  = 2048 // of which one team gets at most half
	maxCallers   = 20_000
	rate         = 1e8 // statements/s; too high to limit the load
	startTimeout = 20 * time.Second
	stopTimeout  = 5 * time.Second
	pollInterval = 50 * time.Millisecond
)

// process is a child process.
type process struct {
	cmd   *exec.Cmd
	stdin io.Closer // closing it ends the process; nil: the process is ended by an interrupt
}

func (p *process) pid() int { return p.cmd.Process.Pid }

// stop shuts the process down and waits for it. It kills the process after stopTimeout.
func (p *process) stop() {
	if p.stdin != nil {
		_ = p.stdin.Close()
	} else {
		_ = p.cmd.Process.Signal(os.Interrupt)
	}
	timer := time.AfterFunc(stopTimeout, func() { _ = p.cmd.Process.Kill() })
	_ = p.cmd.Wait()
	timer.Stop()
}

// host is a running citrond process.
type host struct {
	*process
	callerAddr string // IP:PORT
	adminURL   string // URL
}

// installation is the set of processes that a run measures.
type installation struct {
	dir         string
	binary      string
	key         string
	control     string
	authority   pki.KeyPair // authority
	owner       *host       // both roles; it owns the service
	other       *host       // entry only
	targets     *process
	targetAddrs []string // of the targets, the primary first
}

func (in *installation) stop() {
	for _, h := range []*host{in.other, in.owner} {
		if h != nil {
			h.stop()
		}
	}
	if in.targets != nil {
		in.targets.stop()
	}
}

// install starts the first host, the targets and, once the first host owns the service, the second
// host.
func install(ctx context.Context, o options, dir string) (*installation, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout+startTimeout)
	defer cancel()
	in := &installation{dir: dir, binary: filepath.Join(dir, "citrond"), key: auth.NewKey()}
	build := exec.CommandContext(ctx, "go", "build", "-o", in.binary, "./cmd/citrond")
	build.Dir = o.source
	if text, err := build.CombinedOutput(); err != nil {
		return in, fmt.Errorf("build citrond: %w: %s", err, text)
	}
	var err error
	if in.authority, err = pki.NewAuthority(time.Now(), pki.HostLifetime); err != nil {
		return in, err
	}
	if err := in.authority.Write(dir, "ca"); err != nil {
		return in, err
	}
	if in.owner, err = in.startHost("host-1", settings.RoleEntry, settings.RoleControl); err != nil {
		return in, err
	}
	if err := retry(ctx, func() error { return in.configure(ctx) }); err != nil {
		return in, err
	}
	if err := in.startTargets(o); err != nil {
		return in, err
	}
	if err := in.awaitService(ctx, in.owner); err != nil {
		return in, err
	}
	if in.other, err = in.startHost("host-2", settings.RoleEntry); err != nil {
		return in, err
	}
	return in, in.awaitService(ctx, in.other)
}

// retry calls f until it succeeds or ctx ends.
func retry(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		}
	}
}

// startHost starts a citrond process. Its addresses are chosen here and written to its settings, since
// other processes need them too.
func (in *installation) startHost(name string, roles ...settings.Role) (*host, error) {
	var addrs [3]string
	for i, network := range []string{"tcp", "udp", "tcp"} {
		addr, err := freeAddr(network)
		if err != nil {
			return nil, err
		}
		addrs[i] = addr
	}
	callers, peers, admin := addrs[0], addrs[1], addrs[2]
	if in.control == "" {
		in.control = peers
	}
	pair, err := pki.NewHost(in.authority, name, nil, time.Now(), pki.HostLifetime, pki.ControlUnit)
	if err != nil {
		return nil, err
	}
	if err := pair.Write(in.dir, name); err != nil {
		return nil, err
	}
	s := settings.Defaults()
	s.Host, s.Place, s.Roles = name, place, roles
	s.Listen = settings.Listen{Callers: callers, Peers: peers, Admin: admin}
	s.Control = []string{in.control}
	s.PeerTLS = settings.TLS{CA: "ca.crt", Cert: name + ".crt", Key: name + ".key"}
	s.Limits.Connections = maxCallers
	s.ShutdownDelay = 0
	s.ShutdownTimeout = settings.Duration(stopTimeout / 2)
	if s.Has(settings.RoleControl) {
		s.DataDir, s.Bootstrap = name, true
	}
	config := filepath.Join(in.dir, name+".json")
	data, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(config, data, 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command(in.binary, "-config", config, "-log-level", "warn")
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return &host{process: &process{cmd: cmd}, callerAddr: callers, adminURL: "http://" + admin}, nil
}

// freeAddr returns a loopback address on which no process listens.
func freeAddr(network string) (string, error) {
	if network == "udp" {
		c, err := net.ListenPacket(network, "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer c.Close()
		return c.LocalAddr().String(), nil
	}
	l, err := net.Listen(network, "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// configure adds the service, the team and a rate that the load never reaches to the catalog.
func (in *installation) configure(ctx context.Context) error {
	c := catalog.Change{ID: "pathbench", Operator: "pathbench", Ops: []catalog.Op{
		{PutService: &catalog.PutService{Name: service, Service: catalog.Service{
			Databases: databases, Slots: slots, Connections: connections,
		}}},
		{PutTeam: &catalog.PutTeam{Name: team}},
		{GrantKey: &catalog.GrantKey{Team: team, ID: "bench", Secret: in.key}},
		{PutPolicy: &catalog.PutPolicy{Name: "rate", Policy: catalog.Policy{Rate: rate, Burst: rate}}},
	}}
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, in.owner.adminURL+"/v1/changes", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
		return fmt.Errorf("change catalog: status %d, want %d: %s", resp.StatusCode, http.StatusOK, text)
	}
	return nil
}

// startTargets starts the stand-in targets in another process of this binary.
func (in *installation) startTargets(o options) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self, "-targets", "-announce", in.owner.adminURL+"/v1/announce",
		"-rows", fmt.Sprint(o.resultRows), "-service-time", o.serviceTime.String())
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	in.targets = &process{cmd: cmd, stdin: stdin}
	return json.NewDecoder(stdout).Decode(&in.targetAddrs)
}

func (in *installation) url(h *host) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", team, in.key, h.callerAddr, service)
}

// awaitService waits until a host serves reads.
func (in *installation) awaitService(ctx context.Context, h *host) error {
	return retry(ctx, func() error {
		c, err := openCaller(ctx, in.url(h), smallRead)
		if err != nil {
			return err
		}
		defer c.close()
		return c.run()
	})
}

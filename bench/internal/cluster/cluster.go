// Package cluster runs a citronrun installation on loopback: citrond processes, stand-in targets within
// the bench process, and simulated links between them.
package cluster

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/citronrun/citronrun/bench/internal/network"
	"github.com/citronrun/citronrun/internal/pki"
	"github.com/citronrun/citronrun/internal/standin"
)

const startTimeout = 30 * time.Second

// Config configures a cluster.
type Config struct {
	Profile Profile
	Root    string // root folder of the repository
	Citrond string // path of the citrond binary; empty: built from Root
	Dir     string // folder for settings, data and logs
	Seed    uint64
}

// Cluster is a running installation.
type Cluster struct {
	Profile Profile
	Net     *network.Network
	Control []*Host
	Entries []*Host
	Keys    map[string]string         // by team
	Groups  map[string]*standin.Group // by service

	dir          string
	root         string
	citrond      string
	authority    pki.KeyPair
	targetRelays []*network.TCP
	announcers   []*standin.Announcer
	stopPolling  context.CancelFunc
	background   sync.WaitGroup

	mu     sync.Mutex
	owners map[string]string // host by service
	ready  []*Host           // entry hosts whose readiness check passed in the latest poll
	reads  readTotals
}

// Start starts a cluster and waits until all entry hosts are ready and all services have an owner.
func Start(ctx context.Context, cfg Config) (*Cluster, error) {
	link := network.Link{Delay: cfg.Profile.Delay, LocalDelay: localDelay}
	c := &Cluster{
		Profile: cfg.Profile,
		Net:     network.New(cfg.Seed, link),
		Keys:    map[string]string{},
		Groups:  map[string]*standin.Group{},
		dir:     cfg.Dir,
		root:    cfg.Root,
		citrond: cfg.Citrond,
		owners:  map[string]string{},
		reads:   readTotals{lastByHost: map[string]readCounts{}},
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, step := range []func(context.Context) error{
		c.buildCitrond, c.startHosts, c.applyCatalog, c.startTargets, c.startPolling, c.awaitReady,
	} {
		if err := step(ctx); err != nil {
			c.Close()
			return nil, fmt.Errorf("start cluster: %w", err)
		}
	}
	return c, nil
}

// Close stops all processes, targets and relays of the cluster.
func (c *Cluster) Close() {
	if c.stopPolling != nil {
		c.stopPolling()
	}
	c.background.Wait()
	var wg sync.WaitGroup
	for _, h := range append(append([]*Host(nil), c.Entries...), c.Control...) {
		wg.Go(h.stop)
	}
	for _, a := range c.announcers {
		wg.Go(a.Close)
	}
	wg.Wait()
	for _, g := range c.Groups {
		g.Close()
	}
	for _, r := range c.targetRelays {
		r.Close()
	}
}

func (c *Cluster) startHosts(context.Context) error {
	var err error
	if c.authority, err = pki.NewAuthority(time.Now(), pki.HostLifetime); err != nil {
		return err
	}
	if err := c.authority.Write(c.dir, "ca"); err != nil {
		return err
	}
	for i := range controlHosts {
		h, err := c.newHost(fmt.Sprintf("control-%d", i+1), c.place(i), false)
		if err != nil {
			return err
		}
		c.Control = append(c.Control, h)
	}
	for i := range entryHosts {
		h, err := c.newHost(fmt.Sprintf("entry-%d", i+1), c.place(i), true)
		if err != nil {
			return err
		}
		c.Entries = append(c.Entries, h)
	}
	for _, h := range c.Control {
		if err := c.writeSettings(h, ""); err != nil {
			return err
		}
	}
	for _, h := range append(append([]*Host(nil), c.Control...), c.Entries...) {
		if err := h.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) place(i int) string { return c.Profile.Places[i%len(c.Profile.Places)] }

// hostByPeerAddr returns the name of the host with the port of a peer address, or "" if there is none.
func (c *Cluster) hostByPeerAddr(from netip.AddrPort) string {
	for _, hosts := range [][]*Host{c.Control, c.Entries} {
		for _, h := range hosts {
			if h.peerAddr.Port() == from.Port() {
				return h.Name
			}
		}
	}
	return ""
}

// Host returns the host with a name, or nil if there is none.
func (c *Cluster) Host(name string) *Host {
	for _, hosts := range [][]*Host{c.Control, c.Entries} {
		for _, h := range hosts {
			if h.Name == name {
				return h
			}
		}
	}
	return nil
}

// FindRoot returns the closest folder at or above the working directory that contains go.work.
func FindRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.work")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", errors.New("no go.work found at or above the working directory")
		}
		dir = parent
	}
}

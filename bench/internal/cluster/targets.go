package cluster

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/citronrun/citronrun/bench/internal/network"
	"github.com/citronrun/citronrun/internal/standin"
	"github.com/citronrun/citronrun/internal/wire"
)

// relayIP is the address on which the relays to targets listen, each on the port of its target. Its
// text has the same length as that of the targets' IP, so that the relays can replace addresses in
// the stream without changing its length.
const relayIP = "127.0.0.2"

// buildCitrond builds citrond unless the configuration has a binary.
func (c *Cluster) buildCitrond(ctx context.Context) error {
	if c.citrond != "" {
		return nil
	}
	c.citrond = filepath.Join(c.dir, "citrond")
	cmd := exec.CommandContext(ctx, "go", "build", "-o", c.citrond, "./cmd/citrond")
	cmd.Dir = c.root
	cmd.Stderr = os.Stderr
	return cmd.Run()
}

func (c *Cluster) startTargets(context.Context) error {
	var urls []string
	for _, h := range c.Entries {
		urls = append(urls, "http://"+h.AdminAddr+"/v1/announce")
	}
	for i, service := range c.Services() {
		g, err := standin.StartGroup(standin.GroupConfig{Targets: databasesPerService, Config: standin.Config{
			Target:           service + "-",
			Database:         service,
			Slots:            slotsPerDatabase,
			MaxConns:         c.Profile.Connections,
			ConnectTime:      c.Profile.ConnectTime,
			MinStatementTime: serviceTime,
			Audit:            true,
		}})
		if err != nil {
			return err
		}
		c.Groups[service] = g
		for j, s := range g.Servers {
			if err := c.announceTarget(service, s, c.place(i+j), urls); err != nil {
				return err
			}
		}
	}
	return nil
}

// announceTarget starts a relay in front of a target and announces the relay's address.
func (c *Cluster) announceTarget(service string, s *standin.Server, place string, urls []string) error {
	port := netip.MustParseAddrPort(s.Addr()).Port()
	addr := fmt.Sprintf("%s:%d", relayIP, port)
	delay := func() time.Duration { return c.Net.Delay(c.ownerPlace(service), place) }
	const targetPrefix = "127.0.0.1:"
	// group_follow contains the announced address of the primary, which is that of a relay; the stand-in
	// knows the primary by its own address.
	r, err := network.NewTCP(addr, s.Addr(), delay, relayIP+":", targetPrefix)
	if err != nil {
		return err
	}
	c.targetRelays = append(c.targetRelays, r)
	c.announcers = append(c.announcers, standin.NewAnnouncer(wire.Announce{
		Target: s.Target(), Service: service, Addr: addr, Place: place,
	}, urls...))
	return nil
}

// TargetsWithKeys returns the names of the targets that received a team's key, which must stay in the
// proxy.
func (c *Cluster) TargetsWithKeys() []string {
	var names []string
	for _, g := range c.Groups {
		for _, s := range g.Servers {
			if c.receivedKey(s) {
				names = append(names, s.Target())
			}
		}
	}
	return names
}

func (c *Cluster) receivedKey(s *standin.Server) bool {
	for _, e := range s.Audit() {
		text := e.Password + " " + e.SQL + " " + strings.Join(e.Args, " ")
		for _, v := range e.Params {
			text += " " + v
		}
		for _, key := range c.Keys {
			if strings.Contains(text, key) {
				return true
			}
		}
	}
	return false
}

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

// relayIP is where relays to targets listen, on the port of their target. Its text is as long as
// that of the targets' IP, so that addresses in the stream can be replaced.
const relayIP = "127.0.0.2"

// build compiles citrond unless a program was given.
func (c *Cluster) build(ctx context.Context) error {
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
		urls = append(urls, "http://"+h.Admin+"/v1/announce")
	}
	for i, service := range c.Services() {
		g, err := standin.StartGroup(standin.GroupConfig{Targets: databases, Config: standin.Config{
			Target:           service + "-",
			Database:         service,
			Slots:            slots,
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
			if err := c.announce(service, s, c.place(i+j), urls); err != nil {
				return err
			}
		}
	}
	return nil
}

// announce puts a relay in front of a target and announces the relay's address.
func (c *Cluster) announce(service string, s *standin.Server, place string, urls []string) error {
	port := netip.MustParseAddrPort(s.Addr()).Port()
	addr := fmt.Sprintf("%s:%d", relayIP, port)
	delay := func() time.Duration { return c.Net.Delay(c.ownerPlace(service), place) }
	const real = "127.0.0.1:"
	// group_follow names the primary's announced address; the stand-in knows its own.
	r, err := network.NewTCP(addr, s.Addr(), delay, relayIP+":", real)
	if err != nil {
		return err
	}
	c.relays = append(c.relays, r)
	c.announced = append(c.announced, standin.NewAnnouncer(wire.Announce{
		Target: s.Target(), Service: service, Addr: addr, Place: place,
	}, urls...))
	return nil
}

// KeysSeen returns the targets that saw a team's key.
func (c *Cluster) KeysSeen() []string {
	var seen []string
	for _, g := range c.Groups {
		for _, s := range g.Servers {
			if c.sawKey(s) {
				seen = append(seen, s.Target())
			}
		}
	}
	return seen
}

func (c *Cluster) sawKey(s *standin.Server) bool {
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

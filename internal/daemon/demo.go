package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/citronrun/citronrun/internal/auth"
	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/pki"
	"github.com/citronrun/citronrun/internal/settings"
	"github.com/citronrun/citronrun/internal/standin"
	"github.com/citronrun/citronrun/internal/wire"
)

// Sizes and delays of the demo.
const (
	demoDatabases       = 3                      // databases of each service
	demoSlots           = 2                      // concurrent statements of each database
	demoConnections     = 16                     // connections to each database
	demoConnectTime     = 12 * time.Millisecond  // simulated time to open a connection to a target
	demoServiceTime     = 500 * time.Microsecond // least time that a statement holds its slot
	demoLag             = 20 * time.Millisecond  // from commit to receipt, and from receipt to application
	demoStartTimeout    = 10 * time.Second       // until every service is available through every entry host
	demoShutdownTimeout = 10 * time.Second
	demoEntryHosts      = 3
	demoRate            = 5000  // statements/s of a team
	demoBurst           = 10000 // statements
)

var (
	demoServices = []string{"bookings", "repairs"}
	demoTeams    = []string{"clerks", "coordinators", "inspectors"}
)

// demo is a small installation that runs in one process on loopback addresses.
type demo struct {
	logger     log.Logger
	options    Options // for all hosts; PeerTLS is set for each
	dir        string  // data directory of the control host
	services   []string
	authority  pki.KeyPair
	control    *Daemon
	entries    []*Daemon
	groups     []*standin.Group
	announcers []*standin.Announcer
	keys       map[string]string // by team
	audit      bool              // targets record all messages that they receive, for tests
}

func newDemo(logger log.Logger) *demo {
	return &demo{logger: logger, services: demoServices, keys: map[string]string{}}
}

// RunDemo runs one control host, three entry hosts and two services of stand-in targets until ctx
// ends. Once every service is available through every entry host, it prints a connection URL for each
// team, entry host and service, and the address of the administration API.
func RunDemo(ctx context.Context, logger log.Logger, out io.Writer) error {
	d := newDemo(logger)
	defer d.cleanUp()
	if err := d.start(ctx); err != nil {
		return errors.Join(err, d.shutdown())
	}
	d.printURLs(out)
	<-ctx.Done()
	return d.shutdown()
}

func (d *demo) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoStartTimeout)
	defer cancel()
	for _, step := range []func(context.Context) error{
		d.startControl, d.startEntries, d.configure, d.startTargets, d.awaitServices,
	} {
		if err := step(ctx); err != nil {
			return fmt.Errorf("start demo: %w", err)
		}
	}
	return nil
}

func (d *demo) startControl(context.Context) error {
	var err error
	if d.dir, err = os.MkdirTemp("", "citronrun-demo-"); err != nil {
		return err
	}
	if d.authority, err = pki.NewAuthority(time.Now(), pki.HostLifetime); err != nil {
		return err
	}
	s := d.settings("control-1", settings.RoleControl)
	s.DataDir = d.dir
	s.Bootstrap = true
	d.control, err = d.startHost(s)
	return err
}

func (d *demo) startEntries(context.Context) error {
	for i := range demoEntryHosts {
		s := d.settings(fmt.Sprintf("entry-%d", i+1), settings.RoleEntry)
		s.Control = []string{d.control.PeerAddr()}
		e, err := d.startHost(s)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, e)
	}
	return nil
}

// settings returns the settings of a host that listens on ephemeral ports.
func (d *demo) settings(host string, role settings.Role) *settings.Settings {
	const anyPort = "127.0.0.1:0"
	s := settings.Defaults()
	s.Host = host
	s.Place = "demo"
	s.Roles = []settings.Role{role}
	s.Listen = settings.Listen{Callers: anyPort, Peers: anyPort, Admin: anyPort}
	s.ShutdownDelay = 0
	return &s
}

func (d *demo) startHost(s *settings.Settings) (*Daemon, error) {
	var units []string
	if s.Has(settings.RoleControl) {
		units = []string{pki.ControlUnit}
	}
	pair, err := pki.NewHost(d.authority, s.Host, nil, time.Now(), pki.HostLifetime, units...)
	if err != nil {
		return nil, err
	}
	conf, err := pki.PeerConfig(d.authority.Cert, pair)
	if err != nil {
		return nil, err
	}
	o := d.options
	o.PeerTLS = conf
	return Start(s, d.logger, o)
}

// configure submits the demo's catalog, with a newly generated key for each team.
func (d *demo) configure(ctx context.Context) error {
	c := catalog.Change{ID: "demo", Operator: "demo"}
	for _, name := range d.services {
		c.Ops = append(c.Ops, catalog.Op{PutService: &catalog.PutService{Name: name, Service: catalog.Service{
			Databases: demoDatabases, Slots: demoSlots, Connections: demoConnections,
		}}})
	}
	for _, team := range demoTeams {
		ops, err := d.teamOps(team)
		if err != nil {
			return err
		}
		c.Ops = append(c.Ops, ops...)
	}
	c.Ops = append(c.Ops,
		putPolicy("rates", catalog.Policy{Rate: demoRate, Burst: demoBurst}),
		putPolicy("reviews", catalog.Policy{Teams: "job=review", Reads: catalog.ReadsMaxAge, MaxAge: catalog.Duration(5 * time.Second)}),
	)
	res, err := d.control.Agent().Change(ctx, c)
	if err != nil {
		return err
	}
	if res.Code != catalog.CodeAccepted {
		return fmt.Errorf("demo catalog was not accepted: code %s, field %q: %s", res.Code, res.Field, res.Message)
	}
	return nil
}

func putPolicy(name string, p catalog.Policy) catalog.Op {
	return catalog.Op{PutPolicy: &catalog.PutPolicy{Name: name, Policy: p}}
}

func (d *demo) teamOps(team string) ([]catalog.Op, error) {
	const iterations = 4096
	labels := map[string]string{"job": "desk"}
	if team == "inspectors" {
		labels["job"] = "review"
	}
	salt := auth.NewSalt()
	d.keys[team] = auth.NewKey()
	key, err := auth.Verifier(d.keys[team], salt, iterations)
	if err != nil {
		return nil, err
	}
	return []catalog.Op{
		{PutTeam: &catalog.PutTeam{Name: team, Labels: labels, Salt: salt, Iterations: iterations}},
		{GrantKey: &catalog.GrantKey{Team: team, ID: "demo", Key: key}},
	}, nil
}

// startTargets starts the stand-in targets, which announce themselves to all entry hosts.
func (d *demo) startTargets(context.Context) error {
	var urls []string
	for _, e := range d.entries {
		urls = append(urls, "http://"+e.AdminAddr().String()+"/v1/announce")
	}
	for _, service := range d.services {
		g, err := standin.StartGroup(standin.GroupConfig{Targets: demoDatabases, Config: standin.Config{
			Target:           service + "-",
			Database:         service,
			Slots:            demoSlots,
			MaxConns:         demoConnections,
			ConnectTime:      demoConnectTime,
			MinStatementTime: demoServiceTime,
			Audit:            d.audit,
		}})
		if err != nil {
			return err
		}
		d.groups = append(d.groups, g)
		for _, s := range g.Servers {
			s.SetLag(demoLag, demoLag)
			d.announcers = append(d.announcers, standin.NewAnnouncer(wire.Announce{
				Target: s.Target(), Service: service, Addr: s.Addr(), Place: "demo",
			}, urls...))
		}
	}
	return nil
}

// awaitServices waits until every service answers a query through every entry host.
func (d *demo) awaitServices(ctx context.Context) error {
	for _, e := range d.entries {
		for _, service := range d.services {
			if err := awaitQuery(ctx, d.connectionURL(demoTeams[0], e, service)); err != nil {
				return fmt.Errorf("service %s through %s: %w", service, e.settings.Host, err)
			}
		}
	}
	return nil
}

func awaitQuery(ctx context.Context, url string) error {
	const retryInterval = 50 * time.Millisecond
	for {
		err := connectAndQuery(ctx, url)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return err
		}
	}
}

func connectAndQuery(ctx context.Context, url string) error {
	conn, err := pgconn.Connect(ctx, url)
	if err != nil {
		return err
	}
	defer conn.Close(context.WithoutCancel(ctx))
	_, err = conn.Exec(ctx, "SELECT count(*) FROM booking").ReadAll()
	return err
}

func (d *demo) connectionURL(team string, e *Daemon, service string) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", team, d.keys[team], e.CallerAddr(), service)
}

func (d *demo) printURLs(out io.Writer) {
	for _, team := range demoTeams {
		for _, e := range d.entries {
			for _, service := range d.services {
				fmt.Fprintln(out, "ready: "+d.connectionURL(team, e, service))
			}
		}
	}
	fmt.Fprintf(out, "admin: http://%s\n", d.entries[0].AdminAddr())
}

// shutdown shuts down the entry hosts one after another, so that each hands its services over to the
// next, and then everything else.
func (d *demo) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), demoShutdownTimeout)
	defer cancel()
	var err error
	for i, e := range d.entries {
		if i == len(d.entries)-1 {
			e.lastHost.Store(true)
		}
		err = errors.Join(err, e.Shutdown(ctx))
	}
	for _, a := range d.announcers {
		a.Close()
	}
	if d.control != nil {
		err = errors.Join(err, d.control.Shutdown(ctx))
	}
	for _, g := range d.groups {
		g.Close()
	}
	return err
}

func (d *demo) cleanUp() {
	if d.dir != "" {
		_ = os.RemoveAll(d.dir)
	}
}

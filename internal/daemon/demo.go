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

// Sizes of the demo's services.
const (
	demoDatabases   = 3
	demoSlots       = 2
	demoConnections = 16
	demoConnectTime = 12 * time.Millisecond
	demoServiceTime = 500 * time.Microsecond
	demoLag         = 20 * time.Millisecond
	demoTimeout     = 10 * time.Second // until all entry hosts serve
	demoShutdown    = 10 * time.Second
	demoEntryHosts  = 3
	demoRate        = 5000  // statements/s of a team
	demoBurst       = 10000 // statements
)

var (
	demoServices = []string{"bookings", "repairs"}
	demoTeams    = []string{"clerks", "coordinators", "inspectors"}
)

// demo is a small installation in one process on loopback.
type demo struct {
	logger     log.Logger
	options    Options  // of all hosts, besides PeerTLS
	dir        string   // data folder of the control host
	services   []string // names
	authority  pki.KeyPair
	control    *Daemon
	entries    []*Daemon
	groups     []*standin.Group
	announcers []*standin.Announcer
	keys       map[string]string // by team
	audit      bool              // targets record what they receive, for tests
}

func newDemo(logger log.Logger) *demo {
	return &demo{logger: logger, services: demoServices, keys: map[string]string{}}
}

// RunDemo runs one control host, three entry hosts and two services of stand-in targets until ctx
// ends. Once all entry hosts serve, it prints a line for each team, entry host and service, and the
// address of the administration API.
func RunDemo(ctx context.Context, logger log.Logger, out io.Writer) error {
	d := newDemo(logger)
	defer d.cleanUp()
	if err := d.start(ctx); err != nil {
		return errors.Join(err, d.shutdown())
	}
	d.print(out)
	<-ctx.Done()
	return d.shutdown()
}

func (d *demo) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	for _, step := range []func(context.Context) error{
		d.startControl, d.startEntries, d.configure, d.startTargets, d.awaitService,
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
	d.control, err = d.host(s)
	return err
}

func (d *demo) startEntries(context.Context) error {
	for i := range demoEntryHosts {
		s := d.settings(fmt.Sprintf("entry-%d", i+1), settings.RoleEntry)
		s.Control = []string{d.control.PeerAddr()}
		e, err := d.host(s)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, e)
	}
	return nil
}

// settings returns the settings of a host whose ports are chosen by the system.
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

func (d *demo) host(s *settings.Settings) (*Daemon, error) {
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

// configure applies the demo's catalog and draws a key for each team.
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
		policy("rates", catalog.Policy{Rate: demoRate, Burst: demoBurst}),
		policy("reviews", catalog.Policy{Teams: "job=review", Reads: catalog.ReadsMaxAge, MaxAge: catalog.Duration(5 * time.Second)}),
	)
	res, err := d.control.Agent().Change(ctx, c)
	if err != nil {
		return err
	}
	if res.Code != catalog.CodeAccepted {
		return fmt.Errorf("catalog is %s: %s: %s", res.Code, res.Field, res.Message)
	}
	return nil
}

func policy(name string, p catalog.Policy) catalog.Op {
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

// startTargets starts the stand-in targets, which announce themselves at all entry hosts.
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

// awaitService waits until each service answers a query through each entry host.
func (d *demo) awaitService(ctx context.Context) error {
	for _, e := range d.entries {
		for _, service := range d.services {
			if err := awaitQuery(ctx, d.url(demoTeams[0], e, service)); err != nil {
				return fmt.Errorf("service %s through %s: %w", service, e.settings.Host, err)
			}
		}
	}
	return nil
}

func awaitQuery(ctx context.Context, url string) error {
	const pause = 50 * time.Millisecond
	for {
		err := query(ctx, url)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return err
		}
	}
}

func query(ctx context.Context, url string) error {
	conn, err := pgconn.Connect(ctx, url)
	if err != nil {
		return err
	}
	defer conn.Close(context.WithoutCancel(ctx))
	_, err = conn.Exec(ctx, "SELECT count(*) FROM booking").ReadAll()
	return err
}

func (d *demo) url(team string, e *Daemon, service string) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", team, d.keys[team], e.CallerAddr(), service)
}

func (d *demo) print(out io.Writer) {
	for _, team := range demoTeams {
		for _, e := range d.entries {
			for _, service := range d.services {
				fmt.Fprintln(out, "ready: "+d.url(team, e, service))
			}
		}
	}
	fmt.Fprintf(out, "admin: http://%s\n", d.entries[0].AdminAddr())
}

// shutdown ends the entry hosts one after another, so that services are handed over, then the rest.
func (d *demo) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), demoShutdown)
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

package daemon

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/go-kit/log"

	"github.com/citronrun/citronrun/internal/groupctl"
	"github.com/citronrun/citronrun/internal/owner"
	"github.com/citronrun/citronrun/internal/pool"
)

// targetFactory connects the owner to targets with this host's credentials.
type targetFactory struct {
	user, password string
	warm           int
	timeout        time.Duration
	tls            *tls.Config // nil: plain TCP
	logger         log.Logger
}

// NewPool returns a pool of connections to one target.
func (f *targetFactory) NewPool(cfg owner.TargetConfig) owner.Pool {
	p := pool.New(f.config(cfg), f.logger)
	return owner.AdaptPool(p)
}

func (f *targetFactory) config(cfg owner.TargetConfig) pool.Config {
	return pool.Config{
		Target:         cfg.Target,
		Addr:           cfg.Addr,
		User:           f.user,
		Password:       f.password,
		Database:       cfg.Service,
		MaxConns:       cfg.MaxConns,
		MinIdle:        min(f.warm, cfg.MaxConns),
		ConnectTimeout: f.timeout,
		TLS:            f.tls,
	}
}

// DialControl opens the connection for a target's control functions.
func (f *targetFactory) DialControl(ctx context.Context, cfg owner.TargetConfig) (owner.ControlConn, error) {
	c, err := groupctl.Dial(ctx, groupctl.Config{
		Addr:     cfg.Addr,
		User:     f.user,
		Password: f.password,
		Database: cfg.Service,
		TLS:      f.tls,
	})
	if err != nil {
		return nil, err
	}
	return group{c}, nil
}

// group converts the status of groupctl to that of owner.
type group struct{ *groupctl.Client }

// Status asks the target for its role and positions.
func (g group) Status(ctx context.Context) (owner.Status, error) {
	s, err := g.Client.Status(ctx)
	return owner.Status{Role: s.Role, Term: s.Term, Received: s.Received, Applied: s.Applied}, err
}

// Close closes the connection.
func (g group) Close() { g.Client.Close() }

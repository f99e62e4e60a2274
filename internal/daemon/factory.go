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

// targetFactory opens connections to targets for the owner, with this host's credentials.
type targetFactory struct {
	user, password string
	minIdle        int
	timeout        time.Duration
	tls            *tls.Config // nil means plain TCP
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
		MinIdle:        min(f.minIdle, cfg.MaxConns),
		ConnectTimeout: f.timeout,
		TLS:            f.tls,
	}
}

// DialControl opens a connection to a target for calls of its control functions.
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
	return controlConn{c}, nil
}

// controlConn adapts groupctl.Client to owner.ControlConn.
type controlConn struct{ *groupctl.Client }

// Status queries the target's role and positions.
func (c controlConn) Status(ctx context.Context) (owner.Status, error) {
	s, err := c.Client.Status(ctx)
	return owner.Status{Role: s.Role, Term: s.Term, Received: s.Received, Applied: s.Applied}, err
}

// Close closes the connection.
func (c controlConn) Close() { c.Client.Close() }

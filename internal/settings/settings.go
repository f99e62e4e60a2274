// Package settings reads and checks a daemon's settings file: JSON with comments and trailing
// commas. Unknown fields, wrong types and impossible values are refused with line and column.
package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Role is a job of a daemon.
type Role string

// The roles of a daemon.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Settings configure one daemon. File names are relative to the settings file's folder.
type Settings struct {
	Host    string   `json:"host"`    // unique name, equal to the common name of the host's certificate
	Place   string   `json:"place"`   // zone or data centre
	Roles   []Role   `json:"roles"`   // entry, control or both
	Listen  Listen   `json:"listen"`  // addresses of this daemon
	Control []string `json:"control"` // addresses of the control hosts for other daemons, IP:PORT

	DataDir string `json:"data_dir"` // control role: folder on a disk
	// Bootstrap lets one control host found the group, once all hosts in Control have answered that
	// they belong to none. It is set on one host only and ignored once the data folder has contents.
	Bootstrap bool `json:"bootstrap"`

	// Join lets a control host ask the hosts in Control for admission to their group, so that its own
	// address needn't be among them.
	Join bool `json:"join"`

	PeerTLS   TLS      `json:"peer_tls"`   // between daemons, mutual
	CallerTLS *KeyPair `json:"caller_tls"` // towards callers; missing: no TLS offered
	Admin     Admin    `json:"admin"`
	Targets   Targets  `json:"targets"`
	Limits    Limits   `json:"limits"`

	ShutdownTimeout Duration `json:"shutdown_timeout"` // bound of a graceful shutdown
	// ShutdownDelay is the time between the host's first answer that it isn't ready and the start of
	// the hand-over, so that the platform's balancer sends no new callers by then.
	ShutdownDelay Duration `json:"shutdown_delay"`
}

// Listen holds the addresses that a daemon listens on, as IP:PORT.
type Listen struct {
	Callers string `json:"callers"` // PostgreSQL, entry role
	Peers   string `json:"peers"`   // QUIC
	Admin   string `json:"admin"`   // HTTP
	// PeersAdvertised and CallersAdvertised are the addresses that others use, when they differ
	// from the ones listened on.
	PeersAdvertised string `json:"peers_advertised"`
	Metrics         string `json:"metrics"` // HTTP, metrics alone; missing: only at Admin
}

// TLS names certificate files in PEM form.
type TLS struct {
	CA   string `json:"ca"`
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// SelfSigned encrypts without certificate files. Peers aren't authenticated then, so that the network
	// between hosts has to be trusted.
	SelfSigned bool `json:"self_signed"`
}

// KeyPair names a certificate file and its key file in PEM form.
type KeyPair struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
}

// Admin configures the administration API.
type Admin struct {
	TLS *KeyPair `json:"tls"` // missing: plain HTTP, which needs a loopback address
	// TokensFile holds one operator per line: NAME TOKEN. Missing: no token is asked for, which
	// needs a loopback address.
	TokensFile string `json:"tokens_file"`
}

// Targets says how the owner logs in at targets.
type Targets struct {
	User           string   `json:"user"`
	PasswordFile   string   `json:"password_file"`
	CA             string   `json:"ca"`   // missing: no TLS towards targets
	MinIdle        int      `json:"warm"` // idle connections kept open to each target
	ConnectTimeout Duration `json:"connect_timeout"`
}

// Limits bound what callers can take up.
type Limits struct {
	Connections  int      `json:"connections"`   // callers connected to this daemon
	AuthTimeout  Duration `json:"auth_timeout"`  // from connect to the end of authentication
	WriteTimeout Duration `json:"write_timeout"` // a caller that reads nothing for so long is closed
	QueueTimeout Duration `json:"queue_timeout"` // default time that a request may wait to run
}

// Duration is a time.Duration written as a string such as "1.5s".
type Duration time.Duration

// UnmarshalJSON reads a duration string.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("duration %s is not a string such as \"1.5s\"", data)
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("duration %q: want a form such as \"1.5s\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON writes a duration string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Value returns d as a time.Duration.
func (d Duration) Value() time.Duration { return time.Duration(d) }

// Has reports whether the daemon has a role.
func (s *Settings) Has(r Role) bool {
	for _, have := range s.Roles {
		if have == r {
			return true
		}
	}
	return false
}

// Default values of optional settings.
const (
	DefaultShutdownTimeout = Duration(30 * time.Second)
	DefaultShutdownDelay   = Duration(2 * time.Second)
	DefaultConnections     = 10_000
	DefaultAuthTimeout     = Duration(10 * time.Second)
	DefaultWriteTimeout    = Duration(30 * time.Second)
	DefaultQueueTimeout    = Duration(10 * time.Second)
	DefaultConnectTimeout  = Duration(3 * time.Second)
	DefaultMinIdle         = 4 // connections
)

// Defaults returns settings with the default values.
func Defaults() Settings {
	return Settings{
		ShutdownTimeout: DefaultShutdownTimeout,
		ShutdownDelay:   DefaultShutdownDelay,
		Targets:         Targets{User: "citronrun", MinIdle: DefaultMinIdle, ConnectTimeout: DefaultConnectTimeout},
		Limits: Limits{
			Connections:  DefaultConnections,
			AuthTimeout:  DefaultAuthTimeout,
			WriteTimeout: DefaultWriteTimeout,
			QueueTimeout: DefaultQueueTimeout,
		},
	}
}

// Load reads, parses and checks a settings file. File names in the result are absolute or relative
// to the working directory.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s:%w", file, err)
	}
	s.resolve(filepath.Dir(file))
	return s, nil
}

// Check returns the first fault of settings that were made by a program instead of Parse.
func (s *Settings) Check() error {
	if err := s.check(); err != nil {
		return err
	}
	return nil
}

// resolve makes file names relative to dir.
func (s *Settings) resolve(dir string) {
	names := []*string{
		&s.DataDir, &s.PeerTLS.CA, &s.PeerTLS.Cert, &s.PeerTLS.Key,
		&s.Admin.TokensFile, &s.Targets.PasswordFile, &s.Targets.CA,
	}
	for _, pair := range []*KeyPair{s.CallerTLS, s.Admin.TLS} {
		if pair != nil {
			names = append(names, &pair.Cert, &pair.Key)
		}
	}
	for _, name := range names {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(dir, *name)
		}
	}
}

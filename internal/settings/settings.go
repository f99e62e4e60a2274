// Package settings reads and validates a daemon's settings file: JSON with comments and trailing
// commas. Unknown fields, wrong types and invalid values are reported with line and column.
package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Role is a function that a daemon performs.
type Role string

// The roles of a daemon.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Settings configure one daemon. File names are relative to the directory of the settings file.
type Settings struct {
	Host    string   `json:"host"`    // unique name; must equal the common name of the host's certificate
	Place   string   `json:"place"`   // zone or data centre
	Roles   []Role   `json:"roles"`   // entry, control or both
	Listen  Listen   `json:"listen"`  // addresses of this daemon
	Control []string `json:"control"` // addresses at which other daemons reach the control hosts, IP:PORT

	DataDir string `json:"data_dir"` // control role: directory on disk
	// Bootstrap lets one control host create the control group, once all hosts in Control have answered
	// that they belong to none. It must be set on one host only, and is ignored if the data directory
	// isn't empty.
	Bootstrap bool `json:"bootstrap"`

	// Join lets a control host request to join the group of the hosts in Control. Its own address needn't
	// be among them.
	Join bool `json:"join"`

	PeerTLS   TLS      `json:"peer_tls"`   // mutual TLS between daemons
	CallerTLS *KeyPair `json:"caller_tls"` // for callers; if missing, TLS isn't offered
	Admin     Admin    `json:"admin"`
	Targets   Targets  `json:"targets"`
	Limits    Limits   `json:"limits"`

	ShutdownTimeout Duration `json:"shutdown_timeout"` // limit of a graceful shutdown
	// ShutdownDelay is the time from the moment when the host reports itself as not ready until it hands
	// its services over. By then the platform's load balancer must have stopped sending new callers.
	ShutdownDelay Duration `json:"shutdown_delay"`

	// PlaceTrafficCost is the time that a statement must save to be sent to another place; if missing, a share of
	// the route's latency objective. It applies to the routes of a deployment.
	PlaceTrafficCost *Duration `json:"place_traffic_cost"`
}

// Listen holds the addresses that a daemon listens on, as IP:PORT.
type Listen struct {
	Callers string `json:"callers"` // PostgreSQL, entry role
	Peers   string `json:"peers"`   // QUIC
	Admin   string `json:"admin"`   // HTTP
	// PeersAdvertised is the address at which other hosts reach this one, if it differs from Peers.
	PeersAdvertised string `json:"peers_advertised"`
	Metrics         string `json:"metrics"` // HTTP, only metrics; if missing, metrics are served at Admin only
}

// TLS names PEM files.
type TLS struct {
	CA   string `json:"ca"`
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// SelfSigned encrypts with a generated certificate instead of the files. Peers aren't authenticated
	// then, so the network between hosts must be trusted.
	SelfSigned bool `json:"self_signed"`
}

// KeyPair names the PEM files of a certificate and its private key.
type KeyPair struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
}

// Admin configures the administration API.
type Admin struct {
	TLS *KeyPair `json:"tls"` // if missing, plain HTTP, which is allowed on a loopback address only
	// TokensFile holds one operator per line: NAME TOKEN. If it is missing, requests need no token,
	// which is allowed on a loopback address only.
	TokensFile string `json:"tokens_file"`
}

// Targets configures the connections to targets.
type Targets struct {
	User           string   `json:"user"`
	PasswordFile   string   `json:"password_file"`
	CA             string   `json:"ca"`   // if missing, connections to targets use no TLS
	MinIdle        int      `json:"warm"` // least number of idle connections to each target
	ConnectTimeout Duration `json:"connect_timeout"`
}

// Limits bound the resources that callers can use.
type Limits struct {
	Connections  int      `json:"connections"`   // connections of callers to this daemon
	AuthTimeout  Duration `json:"auth_timeout"`  // from connect to the end of authentication
	WriteTimeout Duration `json:"write_timeout"` // a caller that reads nothing for this long is disconnected
	QueueTimeout Duration `json:"queue_timeout"` // default limit of the time a request waits in a queue
	// MemoryMB is the memory of the process, in 10^6 bytes. If it is 0, callers may use a part of the machine's
	// memory, and the process itself isn't limited.
	MemoryMB int `json:"memory_mb"`
	// Descriptors is the number of file descriptors that the process may use; 0: not limited.
	Descriptors int `json:"descriptors"`
}

// Duration is a time.Duration written as a string such as "1.5s".
type Duration time.Duration

// UnmarshalJSON reads a duration string.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("duration is %s, want a string such as \"1.5s\"", data)
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("duration is %q, want a form such as \"1.5s\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON writes a duration string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Value returns d as a time.Duration.
func (d Duration) Value() time.Duration { return time.Duration(d) }

// Has reports whether the daemon has the role.
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

// Load reads, parses and validates a settings file. File names in the result are absolute or relative
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

// Check returns the first invalid setting. It is for settings built in code; Parse checks those that it
// returns.
func (s *Settings) Check() error {
	if err := s.check(); err != nil {
		return err
	}
	return nil
}

// resolve joins relative file names to dir.
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

package settings

import (
	"fmt"
	"net/netip"
	"slices"
)

func fault(field, format string, args ...any) *Error {
	return &Error{Field: field, Message: fmt.Sprintf(format, args...)}
}

// check returns the first fault of s, without line and column.
func (s *Settings) check() *Error {
	checks := []func() *Error{
		s.checkIdentity, s.checkListen, s.checkControl, s.checkMember, s.checkTLS, s.checkAdmin, s.checkNumbers,
	}
	for _, c := range checks {
		if err := c(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkIdentity() *Error {
	switch {
	case s.Host == "":
		return fault("host", "is missing")
	case s.Place == "":
		return fault("place", "is missing")
	case len(s.Roles) == 0:
		return fault("roles", "is missing: want entry, control or both")
	}
	for i, r := range s.Roles {
		if r != RoleEntry && r != RoleControl {
			return fault("roles", "%q is not a role: want entry or control", r)
		}
		if slices.Contains(s.Roles[:i], r) {
			return fault("roles", "%q stands twice", r)
		}
	}
	return nil
}

func (s *Settings) checkListen() *Error {
	needed := []struct{ field, addr string }{
		{"listen.peers", s.Listen.Peers},
		{"listen.admin", s.Listen.Admin},
	}
	if s.Has(RoleEntry) {
		needed = append(needed, struct{ field, addr string }{"listen.callers", s.Listen.Callers})
	}
	if s.Listen.PeersAdvertised != "" {
		needed = append(needed, struct{ field, addr string }{"listen.peers_advertised", s.Listen.PeersAdvertised})
	}
	for _, n := range needed {
		if err := checkAddr(n.field, n.addr); err != nil {
			return err
		}
	}
	return nil
}

func checkAddr(field, addr string) *Error {
	if addr == "" {
		return fault(field, "is missing: want IP:PORT")
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return fault(field, "%q is not IP:PORT", addr)
	}
	return nil
}

func (s *Settings) checkControl() *Error {
	if len(s.Control) == 0 {
		return fault("control", "is missing: want the addresses of the control hosts")
	}
	for i, addr := range s.Control {
		if err := checkAddr(fmt.Sprintf("control[%d]", i), addr); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkMember() *Error {
	if !s.Has(RoleControl) {
		if s.Bootstrap {
			return fault("bootstrap", "is set without the control role")
		}
		return nil
	}
	if s.DataDir == "" {
		return fault("data_dir", "is missing: the control role needs a folder on a disk")
	}
	self := s.Listen.Peers
	if s.Listen.PeersAdvertised != "" {
		self = s.Listen.PeersAdvertised
	}
	if !s.Join && !slices.Contains(s.Control, self) {
		return fault("control", "lacks this control host's own address %s", self)
	}
	return nil
}

func (s *Settings) checkTLS() *Error {
	if s.PeerTLS.SelfSigned {
		if s.PeerTLS.CA+s.PeerTLS.Cert+s.PeerTLS.Key != "" {
			return fault("peer_tls.self_signed", "excludes certificate files")
		}
		return s.checkCallerTLS()
	}
	for _, f := range []struct{ field, name string }{
		{"peer_tls.ca", s.PeerTLS.CA}, {"peer_tls.cert", s.PeerTLS.Cert}, {"peer_tls.key", s.PeerTLS.Key},
	} {
		if f.name == "" {
			return fault(f.field, "is missing: daemons talk over mutual TLS only")
		}
	}
	return s.checkCallerTLS()
}

func (s *Settings) checkCallerTLS() *Error {
	for _, p := range []struct {
		field string
		pair  *KeyPair
	}{{"caller_tls", s.CallerTLS}, {"admin.tls", s.Admin.TLS}} {
		if p.pair != nil && (p.pair.Cert == "" || p.pair.Key == "") {
			return fault(p.field, "needs both cert and key")
		}
	}
	return nil
}

func (s *Settings) checkAdmin() *Error {
	addr, err := netip.ParseAddrPort(s.Listen.Admin)
	if err != nil || addr.Addr().IsLoopback() {
		return nil
	}
	if s.Admin.TLS == nil || s.Admin.TokensFile == "" {
		return fault("admin", "needs tls and tokens_file, since listen.admin %s is not a loopback address", s.Listen.Admin)
	}
	return nil
}

func (s *Settings) checkNumbers() *Error {
	for _, f := range []struct {
		field string
		value int
	}{{"limits.connections", s.Limits.Connections}, {"targets.warm", s.Targets.MinIdle}} {
		if f.value < 1 {
			return fault(f.field, "is %d, want at least 1", f.value)
		}
	}
	for _, f := range []struct {
		field string
		value Duration
	}{
		{"shutdown_timeout", s.ShutdownTimeout},
		{"limits.auth_timeout", s.Limits.AuthTimeout},
		{"limits.write_timeout", s.Limits.WriteTimeout},
		{"limits.queue_timeout", s.Limits.QueueTimeout},
		{"targets.connect_timeout", s.Targets.ConnectTimeout},
	} {
		if f.value <= 0 {
			return fault(f.field, "is %s, want more than 0", f.value.Value())
		}
	}
	if s.ShutdownDelay < 0 || s.ShutdownDelay >= s.ShutdownTimeout {
		return fault("shutdown_delay", "is %s, want 0s up to less than shutdown_timeout", s.ShutdownDelay.Value())
	}
	return nil
}

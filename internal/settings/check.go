package settings

import (
	"fmt"
	"net/netip"
	"slices"
)

func fieldError(field, format string, args ...any) *Error {
	return &Error{Field: field, Message: fmt.Sprintf(format, args...)}
}

// check returns the first invalid setting of s, without line and column.
func (s *Settings) check() *Error {
	checks := []func() *Error{
		s.checkIdentity, s.checkListen, s.checkControl, s.checkControlMember, s.checkTLS, s.checkAdmin, s.checkRanges,
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
		return fieldError("host", "is missing")
	case s.Place == "":
		return fieldError("place", "is missing")
	case len(s.Roles) == 0:
		return fieldError("roles", "is missing, want entry, control or both")
	}
	for i, r := range s.Roles {
		if r != RoleEntry && r != RoleControl {
			return fieldError("roles", "unknown role %q, want entry or control", r)
		}
		if slices.Contains(s.Roles[:i], r) {
			return fieldError("roles", "duplicate role %q", r)
		}
	}
	return nil
}

func (s *Settings) checkListen() *Error {
	required := []struct{ field, addr string }{
		{"listen.peers", s.Listen.Peers},
		{"listen.admin", s.Listen.Admin},
	}
	if s.Has(RoleEntry) {
		required = append(required, struct{ field, addr string }{"listen.callers", s.Listen.Callers})
	}
	if s.Listen.PeersAdvertised != "" {
		required = append(required, struct{ field, addr string }{"listen.peers_advertised", s.Listen.PeersAdvertised})
	}
	for _, r := range required {
		if err := checkAddr(r.field, r.addr); err != nil {
			return err
		}
	}
	return nil
}

func checkAddr(field, addr string) *Error {
	if addr == "" {
		return fieldError(field, "is missing, want IP:PORT")
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return fieldError(field, "is %q, want IP:PORT", addr)
	}
	return nil
}

func (s *Settings) checkControl() *Error {
	if len(s.Control) == 0 {
		return fieldError("control", "is missing, want the addresses of the control hosts")
	}
	for i, addr := range s.Control {
		if err := checkAddr(fmt.Sprintf("control[%d]", i), addr); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkControlMember() *Error {
	if !s.Has(RoleControl) {
		if s.Bootstrap {
			return fieldError("bootstrap", "requires the control role")
		}
		return nil
	}
	if s.DataDir == "" {
		return fieldError("data_dir", "is missing: the control role requires a directory on disk")
	}
	ownAddr := s.Listen.Peers
	if s.Listen.PeersAdvertised != "" {
		ownAddr = s.Listen.PeersAdvertised
	}
	if !s.Join && !slices.Contains(s.Control, ownAddr) {
		return fieldError("control", "must contain this control host's own address %s", ownAddr)
	}
	return nil
}

func (s *Settings) checkTLS() *Error {
	if s.PeerTLS.SelfSigned {
		if s.PeerTLS.CA+s.PeerTLS.Cert+s.PeerTLS.Key != "" {
			return fieldError("peer_tls.self_signed", "can't be combined with ca, cert or key")
		}
		return s.checkKeyPairs()
	}
	for _, f := range []struct{ field, name string }{
		{"peer_tls.ca", s.PeerTLS.CA}, {"peer_tls.cert", s.PeerTLS.Cert}, {"peer_tls.key", s.PeerTLS.Key},
	} {
		if f.name == "" {
			return fieldError(f.field, "is missing: mutual TLS between hosts requires it")
		}
	}
	return s.checkKeyPairs()
}

func (s *Settings) checkKeyPairs() *Error {
	for _, p := range []struct {
		field string
		pair  *KeyPair
	}{{"caller_tls", s.CallerTLS}, {"admin.tls", s.Admin.TLS}} {
		if p.pair != nil && (p.pair.Cert == "" || p.pair.Key == "") {
			return fieldError(p.field, "requires both cert and key")
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
		return fieldError("admin", "requires tls and tokens_file, because listen.admin %s is not a loopback address", s.Listen.Admin)
	}
	return nil
}

func (s *Settings) checkRanges() *Error {
	for _, f := range []struct {
		field string
		value int
	}{{"limits.connections", s.Limits.Connections}, {"targets.warm", s.Targets.MinIdle}} {
		if f.value < 1 {
			return fieldError(f.field, "is %d, want at least 1", f.value)
		}
	}
	for _, f := range []struct {
		field string
		value int
	}{{"limits.memory_mb", s.Limits.MemoryMB}, {"limits.descriptors", s.Limits.Descriptors}} {
		if f.value < 0 {
			return fieldError(f.field, "is %d, want at least 0", f.value)
		}
	}
	if l := s.Limits; s.Has(RoleEntry) && l.Descriptors > 0 && l.Connections >= l.Descriptors {
		return fieldError("limits.connections", "is %d, want less than limits.descriptors, which is %d", l.Connections, l.Descriptors)
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
			return fieldError(f.field, "is %s, want more than 0", f.value.Value())
		}
	}
	if s.PlaceTrafficCost != nil && *s.PlaceTrafficCost < 0 {
		return fieldError("place_traffic_cost", "is %s, want 0s or more", s.PlaceTrafficCost.Value())
	}
	if s.ShutdownDelay < 0 || s.ShutdownDelay >= s.ShutdownTimeout {
		return fieldError("shutdown_delay", "is %s, want 0s up to less than shutdown_timeout", s.ShutdownDelay.Value())
	}
	return nil
}

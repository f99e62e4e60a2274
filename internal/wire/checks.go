package wire

import (
	"fmt"
	"net/netip"
	"strings"
	"unicode"
)

// maxNameBytes bounds the name of a target, service or place that a target reports.
const maxNameBytes = 256

// CheckTarget returns an error unless the names are not empty, at most 256 bytes long and without blanks and control
// characters, and addr is an IP address of one host with a port that can be connected to. What targets say of themselves
// may come from elsewhere, and is recorded and sent on in messages that end at a line break.
func CheckTarget(target, service, place, addr string) error {
	for _, name := range []struct{ of, value string }{{"target", target}, {"service", service}, {"place", place}} {
		if err := CheckName(name.of, name.value); err != nil {
			return err
		}
	}
	a, err := netip.ParseAddrPort(addr)
	switch {
	case err != nil:
		return fmt.Errorf("address: %w", err)
	case a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr().Zone() != "":
		return fmt.Errorf("address is %q, want that of one host without a zone, and a port of 1 to 65535", addr)
	}
	return nil
}

// CheckName checks one name like CheckTarget. of is what it names.
func CheckName(of, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return fmt.Errorf("name of the %s has %d bytes, want 1 to %d", of, len(name), maxNameBytes)
	}
	if strings.ContainsFunc(name, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }) {
		return fmt.Errorf("name of the %s contains a blank or control character", of)
	}
	return nil
}

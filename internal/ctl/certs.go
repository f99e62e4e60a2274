package ctl

import (
	"context"
	"flag"
	"fmt"
	"net"
	"time"

	"github.com/citronrun/citronrun/internal/pki"
)

var certsCommand = command{
	name: "certs", args: "authority | host NAME [IP...]", about: "Create the certificate authority or a host's certificate.",
	example: "citronctl certs host entry-1 10.0.0.1 -dir pki",
	setup: func(fs *flag.FlagSet) func(context.Context, *env, []string) error {
		dir := fs.String("dir", ".", "directory of the certificate and key files")
		control := fs.Bool("control", false, "create the certificate of a control host")
		days := fs.Int("days", 0, "lifetime in days; 0: ten years for the authority, one year for a host")
		return func(_ context.Context, e *env, args []string) error {
			switch {
			case len(args) == 1 && args[0] == "authority":
				return createAuthority(e, *dir, lifetime(*days, pki.AuthorityLifetime))
			case len(args) >= 2 && args[0] == "host":
				return createHostCertificate(e, *dir, args[1], args[2:], lifetime(*days, pki.HostLifetime), organisationalUnits(*control))
			default:
				return usagef("want authority, or host NAME [IP...]")
			}
		}
	},
}

// lifetime returns the lifetime of a certificate, which is fallback unless days is positive.
func lifetime(days int, fallback time.Duration) time.Duration {
	if days <= 0 {
		return fallback
	}
	return time.Duration(days) * 24 * time.Hour
}

// organisationalUnits returns the organisational units of a host's certificate. Hosts accept consensus
// messages only from hosts with the unit of control hosts.
func organisationalUnits(control bool) []string {
	if control {
		return []string{pki.ControlUnit}
	}
	return nil
}

func createAuthority(e *env, dir string, validity time.Duration) error {
	pair, err := pki.NewAuthority(time.Now(), validity)
	if err != nil {
		return err
	}
	if err := pair.Write(dir, "ca"); err != nil {
		return err
	}
	fmt.Fprintln(e.out, "wrote ca.crt and ca.key; don't copy ca.key to the hosts")
	return nil
}

func createHostCertificate(e *env, dir, name string, addrs []string, validity time.Duration, units []string) error {
	var ips []net.IP
	for _, a := range addrs {
		ip := net.ParseIP(a)
		if ip == nil {
			return usagef("%q is not an IP address", a)
		}
		ips = append(ips, ip)
	}
	ca, err := pki.ReadKeyPair(dir, "ca")
	if err != nil {
		return err
	}
	pair, err := pki.NewHost(ca, name, ips, time.Now(), validity, units...)
	if err != nil {
		return err
	}
	if err := pair.Write(dir, name); err != nil {
		return err
	}
	fmt.Fprintf(e.out, "wrote %s.crt and %s.key\n", name, name)
	return nil
}

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
	name: "certs", args: "authority | host NAME [IP...]", about: "Make the certificate authority or a host's certificate.",
	example: "citronctl certs host entry-1 10.0.0.1 -dir pki",
	setup: func(fs *flag.FlagSet) func(context.Context, *env, []string) error {
		dir := fs.String("dir", ".", "folder of the files")
		control := fs.Bool("control", false, "make the certificate of a control host")
		days := fs.Int("days", 0, "lifetime in days; 0: ten years for the authority, one year for a host")
		return func(_ context.Context, e *env, args []string) error {
			switch {
			case len(args) == 1 && args[0] == "authority":
				return makeAuthority(e, *dir, lifetime(*days, pki.AuthorityLifetime))
			case len(args) >= 2 && args[0] == "host":
				return makeHost(e, *dir, args[1], args[2:], lifetime(*days, pki.HostLifetime), units(*control))
			default:
				return usagef("want authority, or host NAME [IP...]")
			}
		}
	},
}

func lifetime(days int, fallback time.Duration) time.Duration {
	if days <= 0 {
		return fallback
	}
	return time.Duration(days) * 24 * time.Hour
}

func units(control bool) []string {
	if control {
		return []string{pki.ControlUnit}
	}
	return nil
}

func makeAuthority(e *env, dir string, life time.Duration) error {
	pair, err := pki.NewAuthority(time.Now(), life)
	if err != nil {
		return err
	}
	if err := pair.Write(dir, "ca"); err != nil {
		return err
	}
	fmt.Fprintln(e.out, "wrote ca.crt and ca.key; keep ca.key off the hosts")
	return nil
}

func makeHost(e *env, dir, name string, addrs []string, life time.Duration, units []string) error {
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
	pair, err := pki.NewHost(ca, name, ips, time.Now(), life, units...)
	if err != nil {
		return err
	}
	if err := pair.Write(dir, name); err != nil {
		return err
	}
	fmt.Fprintf(e.out, "wrote %s.crt and %s.key\n", name, name)
	return nil
}

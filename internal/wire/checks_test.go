package wire

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against odd names and addresses of targets that are recorded, and that no host can use.
func TestCheckTarget(t *testing.T) {
	is := is.New(t)
	for _, addr := range []string{"10.0.0.1:5432", "[::1]:65535", "127.0.0.1:1"} {
		is.NoErr(CheckTarget("db-1", "s", "x", addr))
	}
	for _, addr := range []string{"", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "db:5432", "0.0.0.0:1", "[::]:1", "224.0.0.1:1", "[fe80::1%eth0]:1"} {
		is.True(CheckTarget("db-1", "s", "x", addr) != nil)
	}
	for _, name := range []string{"", " ", "a b", "a\r\nb", "a\x00", strings.Repeat("a", maxNameBytes+1)} {
		is.True(CheckTarget(name, "s", "x", "10.0.0.1:1") != nil)
		is.True(CheckTarget("db-1", name, "x", "10.0.0.1:1") != nil)
		is.True(CheckTarget("db-1", "s", name, "10.0.0.1:1") != nil)
	}
}

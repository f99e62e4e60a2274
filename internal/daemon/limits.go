package daemon

import (
	"runtime/debug"

	"github.com/go-kit/log"
	"golang.org/x/sys/unix"

	"github.com/citronrun/citronrun/internal/budget"
	"github.com/citronrun/citronrun/internal/settings"
)

const megabyte = 1_000_000

// host returns the memory and the descriptors from which the limits of clients follow. Without a limit of the process,
// the memory is that of the machine.
func (d *Daemon) host() budget.Host {
	limits := d.settings.Limits
	h := budget.Host{MemoryBytes: int64(limits.MemoryMB) * megabyte, Descriptors: limits.Descriptors, Callers: d.settings.Has(settings.RoleEntry)}
	if h.MemoryBytes == 0 {
		var info unix.Sysinfo_t
		if err := unix.Sysinfo(&info); err == nil {
			h.MemoryBytes = int64(info.Totalram) * int64(info.Unit)
		}
	}
	return h
}

// socketBuffer returns the receive buffer of a caller's connection, or 0 if the process isn't limited.
func (d *Daemon) socketBuffer() int {
	if d.settings.Limits.MemoryMB == 0 {
		return 0
	}
	return d.host().SocketBuffer(d.settings.Limits.Connections)
}

// limitMemory limits the Go runtime if the process is limited.
func (d *Daemon) limitMemory() {
	if d.settings.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(d.host().GoMemory())
	}
}

func (d *Daemon) refusals() *budget.Refusals {
	return budget.NewRefusals(log.With(d.logger, "part", "clients"))
}

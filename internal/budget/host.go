package budget

// Host is what a host has for all of its uses.
type Host struct {
	MemoryBytes int64 // 0: not limited
	Descriptors int   // 0: not limited
	Callers     bool  // it accepts callers
}

const (
	// Parts of the memory, as divisors.
	poolDivisor   = 6 // messages and results of all clients above their free amount
	freeDivisor   = 16
	socketDivisor = 8 // bytes that have arrived and are not read

	minFreeBytes, maxFreeBytes     = 4 << 10, 16 << 10
	minSocketBytes, maxSocketBytes = 16 << 10, 256 << 10
	// goMemoryShare is the part of the memory that the Go runtime is told to stay below.
	goMemoryShare = 0.6

	// reservedDescriptors are those for files and for the connections to targets, peers and HTTP servers.
	reservedDescriptors = 500
	smallHost           = 4 * reservedDescriptors / 2 // below it, callers get a quarter
	minHTTPConnections  = 16
)

// Memory returns the limits for clients' memory on a host that accepts the given number of connections.
func (h Host) Memory(connections int) Limits {
	if h.MemoryBytes == 0 {
		return Limits{}
	}
	return Limits{
		Bytes:     h.MemoryBytes / poolDivisor,
		FreeBytes: min(max(h.MemoryBytes/freeDivisor/int64(max(1, connections)), minFreeBytes), maxFreeBytes),
	}
}

// GoMemory returns the limit for the Go runtime, or 0 for none.
func (h Host) GoMemory() int64 { return int64(goMemoryShare * float64(h.MemoryBytes)) }

// SocketBuffer returns the size of the receive buffer of each of the given number of connections, or 0 for the
// default of the kernel.
func (h Host) SocketBuffer(connections int) int {
	if h.MemoryBytes == 0 {
		return 0
	}
	return int(min(max(h.MemoryBytes/socketDivisor/int64(max(1, connections)), minSocketBytes), maxSocketBytes))
}

// Connections returns the number of connections of callers, or 0 for no limit.
func (h Host) Connections() int {
	if h.Descriptors < smallHost {
		return h.Descriptors / 4
	}
	return h.Descriptors - reservedDescriptors
}

// ProbeConnections returns the number of connections to the readiness probe, or 0 for no limit.
func (h Host) ProbeConnections() int { return h.httpConnections(64) }

// ControlConnections returns the number of connections to the control API, or 0 for no limit.
func (h Host) ControlConnections() int {
	if h.Callers {
		return h.httpConnections(32)
	}
	return h.httpConnections(2)
}

func (h Host) httpConnections(divisor int) int {
	if h.Descriptors == 0 {
		return 0
	}
	return max(minHTTPConnections, h.Descriptors/divisor)
}

package failover

// probe has another host probe the primary. If there is no such host left, the next step decides on the
// owner's report alone.
func (m *Machine) probe(in *Input) []Action {
	m.probeResult = nil
	h := m.nextProber(in)
	if h == nil {
		return nil
	}
	if m.probedHosts == nil {
		m.probedHosts = map[string]bool{}
	}
	m.probedHosts[h.Name] = true
	m.prober = h.Name
	m.probedAt = in.Now
	return []Action{{Kind: Probe, Host: h.Name, BootID: h.BootID, Target: in.Record.Primary}}
}

// release prepares the release of the owner's lease, which isn't renewed in the phase Releasing. The next owner
// is the host that sent the last probe, if it reached the primary, else the host that rebalancing prefers.
func (m *Machine) release(in *Input) []Action {
	if m.probeResult != nil && *m.probeResult {
		m.preferredOwner = m.prober
		m.lastReachabilityReleaseAt = in.Now
		return nil
	}
	if h := m.betterOwner(in); h != nil {
		m.preferredOwner = h.Name
	}
	return nil
}

// releaseToElect prepares the release of the lease of an owner that doesn't reach the majority of targets that
// an election needs. The next owner has to hold the election.
func (m *Machine) releaseToElect(in *Input) []Action {
	m.electAfterRelease = true
	m.lastReachabilityReleaseAt = in.Now
	return nil
}

// elect orders the current owner to hold an election at the next term. The owner stops acknowledging writes of
// the old term as soon as it receives the new one, so the election doesn't wait for a lease to expire.
func (m *Machine) elect(in *Input) []Action {
	preferred := m.plannedPrimary
	m.plannedPrimary = ""
	if preferred == "" && in.Record.Primary == "" {
		preferred = reportedPrimary(in)
	}
	return []Action{{Kind: Elect, Target: preferred, Term: m.nextTerm(in)}}
}

// reportedPrimary returns the target that the owner's report shows as primary at the highest term, or "".
func reportedPrimary(in *Input) string {
	best, term := "", uint64(0)
	for _, t := range in.Report.Targets {
		if t.Role == "primary" && t.SilentFor < DetectionTimeout && (best == "" || t.Term > term) {
			best, term = t.Target, t.Term
		}
	}
	return best
}

// recordPrimary proposes to record the elected primary. The phase changes only when the record is
// committed.
func (m *Machine) recordPrimary(in *Input) []Action {
	return []Action{{Kind: RecordPrimary, Target: m.electedPrimary(in), Term: in.Record.Term}}
}

// assign makes a host the owner of a service whose lease is free. If the previous owner was in an election,
// it may have promoted a target without reporting it; the new owner must then hold an election at a
// higher term.
func (m *Machine) assign(in *Input) []Action {
	h := m.nextOwner(in)
	a := Action{Kind: Assign, Host: h.Name, BootID: h.BootID, Term: in.Record.Term}
	if in.Record.ElectionPending || m.electAfterRelease {
		a.ElectionPending = true
		a.Term = m.nextTerm(in)
	}
	return []Action{a}
}

package failover

// probe asks another host whether it reaches the primary. If there is none left to ask, the next step
// decides on the owner's report alone.
func (m *Machine) probe(in *Input) []Action {
	m.opinion = nil
	h := m.askable(in)
	if h == nil {
		return nil
	}
	if m.asked == nil {
		m.asked = map[string]bool{}
	}
	m.asked[h.Name] = true
	m.prober = h.Name
	m.probedAt = in.Now
	return []Action{{Kind: Probe, Host: h.Name, BootID: h.BootID, Target: in.Record.Primary}}
}

// release stops renewing the owner's lease. If a probed host reaches the primary, that host becomes the
// next owner, else the host that rebalancing prefers.
func (m *Machine) release(in *Input) []Action {
	if m.opinion != nil && *m.opinion {
		m.to = m.prober
		m.movedAt = in.Now
		return nil
	}
	if h := m.better(in); h != nil {
		m.to = h.Name
	}
	return nil
}

// releaseToElect moves the service to another host, since the owner doesn't reach the majority of targets
// that an election needs.
func (m *Machine) releaseToElect(in *Input) []Action {
	m.electNext = true
	m.movedAt = in.Now
	return nil
}

// elect orders an election at the next term by the current owner. The owner stops acknowledging writes of
// the old term as soon as it receives the new one, so the election doesn't wait for a lease to expire.
func (m *Machine) elect(in *Input) []Action {
	prefer := m.promote
	m.promote = ""
	if prefer == "" && in.Record.Primary == "" {
		prefer = reportedPrimary(in)
	}
	return []Action{{Kind: Elect, Target: prefer, Term: m.nextTerm(in)}}
}

// reportedPrimary returns the target that the owner's report shows as primary at the highest term, or "".
func reportedPrimary(in *Input) string {
	best, term := "", uint64(0)
	for _, t := range in.Report.Targets {
		if t.Role == "primary" && t.SilentFor < Detection && (best == "" || t.Term > term) {
			best, term = t.Target, t.Term
		}
	}
	return best
}

// recordPrimary proposes to record the elected primary. The phase changes only when the record is
// committed.
func (m *Machine) recordPrimary(in *Input) []Action {
	return []Action{{Kind: RecordPrimary, Target: m.outcome(in), Term: in.Record.Term}}
}

// assign makes a host the owner of a service whose lease is free. If the previous owner was in an election,
// it may have promoted a target without reporting it; the new owner must then hold an election at a
// higher term.
func (m *Machine) assign(in *Input) []Action {
	h := m.choose(in)
	a := Action{Kind: Assign, Host: h.Name, BootID: h.BootID, Term: in.Record.Term}
	if in.Record.ElectionPending || m.electNext {
		a.ElectionPending = true
		a.Term = m.nextTerm(in)
	}
	return []Action{a}
}

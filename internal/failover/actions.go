package failover

// probe asks a further host whether it reaches the primary. Without one, the owner's own view
// decides in the next step.
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

// release stops the renewal of the owner's lease.
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

// releaseToElect moves the service to a host that may reach a majority, which an election needs.
func (m *Machine) releaseToElect(in *Input) []Action {
	m.electNext = true
	m.movedAt = in.Now
	return nil
}

// elect orders an election at the next term. The present owner stops acknowledging writes of the
// old term when it learns the new one, so that nothing has to expire.
func (m *Machine) elect(in *Input) []Action {
	prefer := m.promote
	m.promote = ""
	if prefer == "" && in.Record.Primary == "" {
		prefer = reportedPrimary(in)
	}
	return []Action{{Kind: Elect, Target: prefer, Term: m.nextTerm(in)}}
}

// reportedPrimary returns the target that says it is the primary at the highest term.
func reportedPrimary(in *Input) string {
	best, term := "", uint64(0)
	for _, t := range in.Report.Targets {
		if t.Role == "primary" && t.SilentFor < DetectionTimeout && (best == "" || t.Term > term) {
			best, term = t.Target, t.Term
		}
	}
	return best
}

// recordPrimary keeps the phase. It follows the record once that is committed.
func (m *Machine) recordPrimary(in *Input) []Action {
	return []Action{{Kind: RecordPrimary, Target: m.outcome(in), Term: in.Record.Term}}
}

// assign gives a free service to a host. An election that the previous owner has not concluded may
// have promoted a target unseen; the new owner must hold one at a higher term.
func (m *Machine) assign(in *Input) []Action {
	h := m.choose(in)
	a := Action{Kind: Assign, Host: h.Name, BootID: h.BootID, Term: in.Record.Term}
	if in.Record.ElectionPending || m.electNext {
		a.ElectionPending = true
		a.Term = m.nextTerm(in)
	}
	return []Action{a}
}

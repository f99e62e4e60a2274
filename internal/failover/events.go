package failover

import "github.com/citronrun/citronrun/internal/lease"

// holds reports whether an event holds at present.
func (m *Machine) holds(ev event, in *Input) bool {
	switch ev {
	case leaseFree:
		return in.LeaseFree && in.Databases > 0 && m.choose(in) != nil
	case mustHandOver:
		return in.Record.Owner != (lease.Owner{}) && (in.Databases == 0 || draining(in))
	case elected:
		return m.outcome(in) != ""
	case electionStuck:
		return in.Now.Sub(m.since) >= electionPatience && m.other(in, nil) != nil
	case primaryBack:
		return m.fresh(in) != nil && !m.silent(in)
	case otherReaches:
		return m.opinion != nil && *m.opinion && m.mayMove(in)
	case ownerCut:
		return m.agreed(in) && !m.majority(in) && m.mayMove(in) && m.other(in, nil) != nil
	case allAgree:
		return m.agreed(in)
	case probeTimeout:
		return m.opinion == nil && m.probeOver(in) && m.askable(in) != nil
	case primarySilent:
		return m.silent(in)
	case needsElection:
		return m.unfit(in)
	case promotion:
		return m.promotable(in)
	case imbalance:
		return m.better(in) != nil
	default:
		return false
	}
}

func draining(in *Input) bool {
	for _, h := range in.Hosts {
		if h.Name == in.Record.Owner.Host && h.BootID == in.Record.Owner.BootID {
			return h.Draining
		}
	}
	return false
}

// outcome returns the primary that the owner promoted at the recorded term, or "".
func (m *Machine) outcome(in *Input) string {
	if !in.Record.ElectionPending || in.Report == nil || in.Report.Term != in.Record.Term {
		return ""
	}
	return in.Report.Primary
}

func (m *Machine) mayMove(in *Input) bool {
	return m.movedAt.IsZero() || in.Now.Sub(m.movedAt) >= moveInterval
}

func (m *Machine) probeOver(in *Input) bool { return in.Now.Sub(m.probedAt) >= ProbeTimeout }

// agreed reports whether no host is known to reach the primary: one was asked and doesn't, or none
// has answered and no other can be asked.
func (m *Machine) agreed(in *Input) bool {
	if m.fresh(in) == nil {
		return false // the owner itself may be gone; its lease decides
	}
	if m.opinion != nil {
		return !*m.opinion
	}
	return m.probeOver(in) && m.askable(in) == nil
}

// unfit reports whether the service has no usable primary although a majority of its databases
// can be reached.
func (m *Machine) unfit(in *Input) bool {
	if in.Record.ElectionPending || !m.majority(in) {
		return false
	}
	if in.Record.Primary == "" {
		return true
	}
	return !m.oddSince.IsZero() && in.Now.Sub(m.oddSince) >= DetectionTimeout
}

func (m *Machine) promotable(in *Input) bool {
	return m.promote != "" && m.promote != in.Record.Primary && m.majority(in) && !m.silent(in)
}

package failover

import "github.com/citronrun/citronrun/internal/lease"

// conditionMet reports whether the condition of an event is met.
func (m *Machine) conditionMet(ev event, in *Input) bool {
	switch ev {
	case leaseFree:
		return in.LeaseFree && in.Databases > 0 && m.nextOwner(in) != nil
	case mustHandOver:
		return in.Record.Owner != (lease.Owner{}) && (in.Databases == 0 || ownerDraining(in))
	case elected:
		return m.electedPrimary(in) != ""
	case electionStuck:
		return in.Now.Sub(m.phaseSince) >= electionTimeout && m.bestOther(in, nil) != nil
	case primaryBack:
		return m.recentReport(in) != nil && !m.primaryTimedOut(in)
	case otherReaches:
		return m.probeResult != nil && *m.probeResult && m.mayReleaseForReachability(in)
	case ownerCut:
		return m.primaryUnreachable(in) && !m.reachesMajority(in) && m.mayReleaseForReachability(in) && m.bestOther(in, nil) != nil
	case allAgree:
		return m.primaryUnreachable(in)
	case probeTimeout:
		return m.probeResult == nil && m.probeTimedOut(in) && m.nextProber(in) != nil
	case primarySilent:
		return m.primaryTimedOut(in)
	case needsElection:
		return m.lacksPrimary(in)
	case promotion:
		return m.promotionDue(in)
	case imbalance:
		return m.betterOwner(in) != nil
	default:
		return false
	}
}

func ownerDraining(in *Input) bool {
	for _, h := range in.Hosts {
		if h.Name == in.Record.Owner.Host && h.BootID == in.Record.Owner.BootID {
			return h.Draining
		}
	}
	return false
}

// electedPrimary returns the target that the owner reports as promoted in the pending election, or "".
func (m *Machine) electedPrimary(in *Input) string {
	if !in.Record.ElectionPending || in.Report == nil || in.Report.Term != in.Record.Term {
		return ""
	}
	return in.Report.Primary
}

// mayReleaseForReachability reports whether the service may be released because its owner doesn't reach the
// primary or a majority of the targets. That may happen once per minReachabilityReleaseInterval.
func (m *Machine) mayReleaseForReachability(in *Input) bool {
	return m.lastReachabilityReleaseAt.IsZero() || in.Now.Sub(m.lastReachabilityReleaseAt) >= minReachabilityReleaseInterval
}

func (m *Machine) probeTimedOut(in *Input) bool { return in.Now.Sub(m.probedAt) >= ProbeTimeout }

// primaryUnreachable reports whether no host is known to reach the primary: the last probe by another host
// has failed, or it timed out and no further host can probe.
func (m *Machine) primaryUnreachable(in *Input) bool {
	if m.recentReport(in) == nil {
		return false // the owner itself may have failed; wait for its lease to expire
	}
	if m.probeResult != nil {
		return !*m.probeResult
	}
	return m.probeTimedOut(in) && m.nextProber(in) == nil
}

// lacksPrimary reports whether the service has no usable primary although the owner reaches a majority of
// its targets.
func (m *Machine) lacksPrimary(in *Input) bool {
	if in.Record.ElectionPending || !m.reachesMajority(in) {
		return false
	}
	if in.Record.Primary == "" {
		return true
	}
	return !m.conflictSince.IsZero() && in.Now.Sub(m.conflictSince) >= DetectionTimeout
}

// promotionDue reports whether a planned promotion was requested and can start.
func (m *Machine) promotionDue(in *Input) bool {
	return m.plannedPrimary != "" && m.plannedPrimary != in.Record.Primary &&
		m.reachesMajority(in) && !m.primaryTimedOut(in)
}

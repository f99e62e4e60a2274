package promotion

// Inspection is what the control leader has found out about a service whose primary may have to be replaced.
type Inspection struct {
	Primary        string // the recorded primary
	Pending        Pending
	SyncReplicas   int
	Departed       int      // processes that have gone with their logs, and may have had commits that no target has
	CommitsStalled bool     // commits wait for replicas that don't answer
	Reports        []Report // of all targets of the service
}

// Decision is what an inspection leads to. At most one of the fields is set; none means that too few targets have answered.
type Decision struct {
	StillPrimary bool    // the recorded primary stays the primary
	Successor    string  // target that is the primary without a promotion, in place of the recorded one
	Order        Pending // the target to order a promotion of, and its log position
}

// Decide returns whether a promotion is needed, and of which target.
func (in *Inspection) Decide() Decision {
	if r := in.report(in.Pending.Target); r != nil && r.Primary {
		return Decision{Order: r.asPending()} // the order was carried out: it is repeated to obtain a definite outcome
	}
	primary := in.report(in.Primary)
	if primary != nil && !primary.Primary {
		primary = nil
	}
	mayStay := primary != nil && !primary.Leaving
	if mayStay && in.Pending.Target == "" && !in.CommitsStalled {
		return Decision{StillPrimary: true}
	}
	acting := in.actingPrimary()
	if acting != nil && (in.Pending.Contested || in.report(in.Primary) != nil) {
		// It leads by an order. Others may be carried out too, such as one for the recorded primary, which still runs.
		return Decision{Order: Pending{Target: acting.Target, Received: acting.Received, Contested: true}}
	}
	if acting != nil && in.Pending.Target == "" {
		return Decision{Successor: acting.Target}
	}
	if r := in.complete(primary); r != nil {
		return Decision{Order: r.asPending()}
	}
	if target, ok := Choose(in.Reports, in.Primary, in.SyncReplicas, in.Departed, in.Pending); ok {
		return Decision{Order: in.report(target).asPending()}
	}
	switch {
	case acting != nil:
		return Decision{Order: Pending{Target: acting.Target}} // fences off the pending order
	case !mayStay:
		return Decision{}
	case in.Pending.Target != "":
		return Decision{Order: Pending{Target: in.Primary}} // an order for the current primary fences off the pending one
	default:
		return Decision{StillPrimary: true}
	}
}

// actingPrimary returns the report of a target that leads the service although it isn't the recorded primary, or nil. This
// comes about if the primary's process has restarted under another name before a promotion was ordered, or if an order was
// carried out late. The target must have the log of the recorded primary, so no other target may be ahead of it.
func (in *Inspection) actingPrimary() *Report {
	var acting *Report
	for i := range in.Reports {
		r := &in.Reports[i]
		switch {
		case r.Target == in.Primary && (r.Primary || !r.Answered):
			return nil // the recorded primary leads, or may lead
		case r.Answered && r.Primary && acting != nil:
			return nil
		case r.Answered && r.Primary:
			acting = r
		}
	}
	for i := range in.Reports {
		if r := &in.Reports[i]; acting != nil && r.Answered && (r.Term > acting.Term || r.Received.Compare(acting.Received) > 0) {
			return nil
		}
	}
	return acting
}

// complete returns the best replica for promotion that has received all that the answering primary has, or nil. Since the
// primary is fenced, no later commit is acknowledged, so that it doesn't matter what the targets have that don't answer.
func (in *Inspection) complete(primary *Report) *Report {
	var best *Report
	for i := range in.Reports {
		r := &in.Reports[i]
		switch {
		case primary == nil || !r.Answered || !r.Paused || r.Leaving || r.Received.Compare(primary.Received) < 0:
		case r.Target == in.Pending.Target && r.Received.Compare(in.Pending.Received) >= 0:
			return r
		case best == nil || betterCandidate(r, best):
			best = r
		}
	}
	return best
}

// report returns the report of a target that has answered, or nil.
func (in *Inspection) report(target string) *Report {
	for i := range in.Reports {
		if r := &in.Reports[i]; r.Target == target && r.Answered {
			return r
		}
	}
	return nil
}

func (r *Report) asPending() Pending { return Pending{Target: r.Target, Received: r.Received} }

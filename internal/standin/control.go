package standin

import (
	"strconv"

	"github.com/citronrun/citronrun/internal/position"
)

// checkServingLocked returns an error if the stand-in can't run statements. The caller holds the mutex.
func (s *Server) checkServingLocked() error {
	switch {
	case s.listener == nil:
		return sqlError(codeCannotConnect, "the database system is shut down")
	case s.role == roleDiverged:
		return sqlError(codeCannotConnect, "the log has diverged from the primary's; the target must be rebuilt")
	case s.role == roleReplica && !s.logVerified:
		return sqlError(codeCannotConnect, "the log has not been verified against the primary's yet")
	}
	return nil
}

func (s *Server) checkServing() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkServingLocked()
}

// commit commits tx. On a primary it returns the position of the log's end, which includes tx.
func (s *Server) commit(tx *transaction) (pos position.Position, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.store.finish(tx)
	if len(tx.changes) > 0 {
		if err := s.checkServingLocked(); err != nil {
			return pos, err
		}
		if err := s.checkWritableLocked(tx); err != nil {
			return pos, err
		}
		s.store.append(s.term, tx.changes)
		s.wakeGroupReplication()
	}
	if s.role == rolePrimary {
		pos = s.store.received()
	}
	return pos, nil
}

func (s *Server) rollback(tx *transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.finish(tx)
}

// runControl runs one of the control functions group_status, group_promote and group_follow.
func (s *Server) runControl(st *stmt, params []value) (*result, error) {
	if st.kind == stmtGroupStatus {
		return s.status(), nil
	}
	if len(st.items) != 1 {
		return nil, sqlError(codeNotSupported, "a control function must be the only item of its SELECT")
	}
	columns, err := describeSelectItems(st, make([]uint32, st.params))
	if err != nil {
		return nil, err
	}
	e := st.items[0].expr
	args := make([]string, len(e.args))
	for i, a := range e.args {
		v, err := eval(a, params)
		if err != nil {
			return nil, err
		}
		if v == nil {
			return nil, sqlError(codeInvalidParameter, "argument %d of %s is null", i+1, e.call)
		}
		args[i] = *v
	}
	term, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return nil, sqlError(codeInvalidParameter, "term %q is not an unsigned integer", args[0])
	}
	if e.call == "group_promote" {
		err = s.promote(term)
	} else {
		err = s.follow(term, args[1])
	}
	if err != nil {
		return nil, err
	}
	return rowsResult(columns, []row{{textValue("t")}}, "SELECT", true), nil
}

func (s *Server) status() *result {
	s.mu.Lock()
	defer s.mu.Unlock()
	columns, _ := s.describeColumns(nil, &stmt{kind: stmtGroupStatus}, nil) // never fails for this kind
	r := row{
		textValue(s.role),
		textValue(strconv.FormatUint(s.term, 10)),
		textValue(s.store.received().String()),
		textValue(s.store.appliedPosition().String()),
	}
	return rowsResult(columns, []row{r}, "SELECT", true)
}

// promote makes this stand-in the primary of term. The new term starts with an empty entry, so that two
// logs that contain the same position are equal up to it.
func (s *Server) promote(term uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.role == rolePrimary && term == s.term:
		return nil
	case term <= s.term:
		return sqlError(codeWrongState, "term %d is not above term %d of this target", term, s.term)
	case s.role == roleDiverged:
		return sqlError(codeWrongState, "a diverged target can't become primary")
	}
	s.role, s.term, s.primaryAddr, s.logVerified = rolePrimary, term, "", true
	s.store.append(term, nil)
	s.wakeGroupReplication()
	return nil
}

// follow makes this stand-in a replica of the primary of term at addr.
func (s *Server) follow(term uint64, addr string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case term < s.term:
		return sqlError(codeWrongState, "term %d is below term %d of this target", term, s.term)
	case s.role == rolePrimary && term == s.term:
		return sqlError(codeWrongState, "this target is the primary of term %d", term)
	case addr == s.addr:
		return sqlError(codeInvalidParameter, "a target can't follow itself")
	case s.role == roleReplica && s.logVerified && term == s.term && addr == s.primaryAddr:
		return nil
	}
	if s.role == rolePrimary {
		s.role = roleReplica
	}
	s.term, s.primaryAddr, s.logVerified = term, addr, false
	s.wakeReplication()
	return nil
}

func (s *Server) wakeGroupReplication() {
	if s.group != nil {
		s.group.wakeReplication()
	}
}

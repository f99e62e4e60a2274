package standin

import (
	"strconv"

	"github.com/citronrun/citronrun/internal/position"
)

// serving reports why the server answers no statement. The caller holds the mutex.
func (s *Server) serving() error {
	switch {
	case s.listener == nil:
		return sqlError(codeCannotConnect, "the database system is shut down")
	case s.role == roleDiverged:
		return sqlError(codeCannotConnect, "the log went past the fork of a later term; a rebuild is needed")
	case s.role == roleReplica && !s.linked:
		return sqlError(codeCannotConnect, "the log was not compared with the primary's yet")
	}
	return nil
}

func (s *Server) checkServing() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serving()
}

// commit ends tx. For a primary it returns the position that the caller has now seen.
func (s *Server) commit(tx *transaction) (pos position.Position, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.store.finish(tx)
	if len(tx.changes) > 0 {
		if err := s.serving(); err != nil {
			return pos, err
		}
		if err := s.writable(tx); err != nil {
			return pos, err
		}
		s.store.append(s.term, tx.changes)
		s.notifyGroup()
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

// runControl runs a control function.
func (s *Server) runControl(st *stmt, params []value) (*result, error) {
	if st.kind == stmtStatus {
		return s.status(), nil
	}
	if len(st.items) != 1 {
		return nil, sqlError(codeNotSupported, "a control function must be the only item of its SELECT")
	}
	columns, err := describeItems(st, make([]uint32, st.params))
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
			return nil, sqlError(codeBadParameter, "argument of %s is null", e.call)
		}
		args[i] = *v
	}
	term, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return nil, sqlError(codeBadParameter, "term %q is not a positive number", args[0])
	}
	if e.call == "group_promote" {
		err = s.promote(term)
	} else {
		err = s.follow(term, args[1])
	}
	if err != nil {
		return nil, err
	}
	return rowsResult(columns, []row{{text("t")}}, "SELECT", true), nil
}

func (s *Server) status() *result {
	s.mu.Lock()
	defer s.mu.Unlock()
	columns, _ := s.describeColumns(nil, &stmt{kind: stmtStatus}, nil) // can't fail for this kind
	r := row{
		text(s.role),
		text(strconv.FormatUint(s.term, 10)),
		text(s.store.received().String()),
		text(s.store.appliedPosition().String()),
	}
	return rowsResult(columns, []row{r}, "SELECT", true)
}

// promote makes this server the primary of term. The new term starts with an entry of its own, so
// that positions of equal term and offset always have the same history.
func (s *Server) promote(term uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.role == rolePrimary && term == s.term:
		return nil
	case term <= s.term:
		return sqlError(codeWrongState, "term %d is not above the term %d of this database", term, s.term)
	case s.role == roleDiverged:
		return sqlError(codeWrongState, "a diverged database can't become primary")
	}
	s.role, s.term, s.upstream, s.linked = rolePrimary, term, "", true
	s.store.append(term, nil)
	s.notifyGroup()
	return nil
}

// follow makes this server a replica of the primary of term at addr.
func (s *Server) follow(term uint64, addr string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case term < s.term:
		return sqlError(codeWrongState, "term %d is below the term %d of this database", term, s.term)
	case s.role == rolePrimary && term == s.term:
		return sqlError(codeWrongState, "this database is the primary of term %d", term)
	case addr == s.addr:
		return sqlError(codeBadParameter, "a database can't follow itself")
	case s.role == roleReplica && s.linked && term == s.term && addr == s.upstream:
		return nil
	}
	if s.role == rolePrimary {
		s.role = roleReplica
	}
	s.term, s.upstream, s.linked = term, addr, false
	s.notify()
	return nil
}

func (s *Server) notifyGroup() {
	if s.group != nil {
		s.group.notify()
	}
}

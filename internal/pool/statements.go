package pool

// maxStatements bounds the prepared statements of one connection.
const maxStatements = 256

// statements remembers which named statements exist at the target on one connection.
//
// A statement is in doubt when its Parse or Close may have been skipped, because an earlier request
// of the same batch failed. Such a statement is closed before it is parsed again; closing one that
// doesn't exist is no error.
type statements struct {
	byName  map[string]*statement
	sent    []sentParse // Parse requests without a response, in order
	evicted []evicted   // closes that may still be skipped
	uses    uint64
}

type statement struct {
	state    state
	batch    uint64 // batch of the last Parse
	parse    uint64 // number of the last Parse
	used     uint64 // order of use
	checkout uint64 // transaction of the last use
}

// sentParse identifies a Parse. A name alone doesn't: a statement may be parsed, closed and parsed
// again before the first response arrives.
type sentParse struct {
	name   string
	number uint64
	batch  uint64
}

type evicted struct {
	name  string
	batch uint64
}

type state uint8

const (
	parsing state = iota
	known
	doubtful
)

func (s *statements) init() { s.byName = make(map[string]*statement) }

// exists reports whether the target will have the statement when it reaches the given batch.
func (s *statements) exists(name []byte, batch uint64) bool {
	st := s.byName[string(name)]
	if st == nil {
		return false
	}
	return st.state == known || st.state == parsing && st.batch == batch
}

// touch records a use.
func (s *statements) touch(name []byte, checkout uint64) {
	if st := s.byName[string(name)]; st != nil {
		s.uses++
		st.used, st.checkout = s.uses, checkout
	}
}

// add records a Parse and reports whether a Close must be sent before it.
func (s *statements) add(name string, batch, checkout uint64) (closeFirst bool) {
	st := s.byName[name]
	closeFirst = st != nil
	if st == nil {
		st = &statement{}
		s.byName[name] = st
	}
	s.uses++
	*st = statement{state: parsing, batch: batch, parse: s.uses, used: s.uses, checkout: checkout}
	s.sent = append(s.sent, sentParse{name, s.uses, batch})
	return closeFirst
}

// parsed records the ParseComplete of the oldest Parse of a named statement.
func (s *statements) parsed() {
	if len(s.sent) == 0 {
		return
	}
	p := s.sent[0]
	s.sent = s.sent[1:]
	if st := s.byName[p.name]; st != nil && st.state == parsing && st.parse == p.number {
		st.state = known
	}
}

// closing records a caller's Close.
func (s *statements) closing(name []byte) {
	if st := s.byName[string(name)]; st != nil {
		st.state = doubtful
	}
}

// evict removes the least recently used statement when there are too many, and returns its name.
// Statements that the current transaction has used stay, since it may use them again.
func (s *statements) evict(batch, checkout uint64) (name string, ok bool) {
	if len(s.byName) <= maxStatements {
		return "", false
	}
	oldest := ^uint64(0)
	for n, st := range s.byName {
		if st.checkout != checkout && st.used < oldest {
			name, oldest, ok = n, st.used, true
		}
	}
	if ok {
		delete(s.byName, name)
		s.evicted = append(s.evicted, evicted{name, batch})
	}
	return name, ok
}

// failed records that the rest of a batch was skipped.
func (s *statements) failed(batch uint64) {
	for len(s.sent) > 0 && s.sent[0].batch <= batch {
		s.sent = s.sent[1:]
	}
	for _, st := range s.byName {
		if st.state == parsing && st.batch == batch {
			st.state = doubtful
		}
	}
	for _, e := range s.evicted {
		if e.batch == batch && s.byName[e.name] == nil {
			s.byName[e.name] = &statement{state: doubtful, batch: batch}
		}
	}
}

// ended records the end of a batch.
func (s *statements) ended(batch uint64) {
	kept := s.evicted[:0]
	for _, e := range s.evicted {
		if e.batch > batch {
			kept = append(kept, e)
		}
	}
	s.evicted = kept
}

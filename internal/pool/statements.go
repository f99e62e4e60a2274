package pool

// maxPreparedStatements bounds the named prepared statements of one connection.
const maxPreparedStatements = 256

// statements tracks which named prepared statements exist on one connection at the target.
//
// The state of a statement is uncertain if its Parse or Close may have been skipped because an earlier request
// of the same batch failed. Such a statement is closed before it is parsed again; closing one that does not
// exist is no error.
type statements struct {
	byName         map[string]*preparedStatement
	parsesInFlight []parseInFlight    // Parse requests without a response, in order
	evicted        []evictedStatement // evicted statements whose Close may still be skipped
	useCounter     uint64
}

type preparedStatement struct {
	state        statementState
	batch        uint64 // batch of the last Parse
	parseNumber  uint64 // useCounter at the last Parse, which identifies it
	lastUse      uint64 // useCounter at the last use
	lastCheckout uint64 // checkout of the connection that last used it
}

// parseInFlight identifies a Parse without a response. The name alone would not: a statement may be parsed,
// closed and parsed again before the first response arrives.
type parseInFlight struct {
	name   string
	number uint64
	batch  uint64
}

type evictedStatement struct {
	name  string
	batch uint64
}

type statementState uint8

const (
	parseSent statementState = iota
	exists
	uncertain
)

func (s *statements) init() { s.byName = make(map[string]*preparedStatement) }

// canOmitParse reports whether a Parse of the statement need not be sent in the given batch: the statement
// exists, or its Parse was sent in the same batch. If that Parse fails, the target skips the requests after it
// in any case.
func (s *statements) canOmitParse(name []byte, batch uint64) bool {
	st := s.byName[string(name)]
	if st == nil {
		return false
	}
	return st.state == exists || st.state == parseSent && st.batch == batch
}

// recordUse records the use of a statement within a checkout of the connection.
func (s *statements) recordUse(name []byte, checkout uint64) {
	if st := s.byName[string(name)]; st != nil {
		s.useCounter++
		st.lastUse, st.lastCheckout = s.useCounter, checkout
	}
}

// recordParse records a Parse. If closeFirst is true, a statement of that name may exist at the target, so that
// a Close must be sent before the Parse.
func (s *statements) recordParse(name string, batch, checkout uint64) (closeFirst bool) {
	st := s.byName[name]
	closeFirst = st != nil
	if st == nil {
		st = &preparedStatement{}
		s.byName[name] = st
	}
	s.useCounter++
	*st = preparedStatement{state: parseSent, batch: batch, parseNumber: s.useCounter, lastUse: s.useCounter, lastCheckout: checkout}
	s.parsesInFlight = append(s.parsesInFlight, parseInFlight{name, s.useCounter, batch})
	return closeFirst
}

// recordParseComplete records the ParseComplete of the oldest Parse of a named statement.
func (s *statements) recordParseComplete() {
	if len(s.parsesInFlight) == 0 {
		return
	}
	oldest := s.parsesInFlight[0]
	s.parsesInFlight = s.parsesInFlight[1:]
	if st := s.byName[oldest.name]; st != nil && st.state == parseSent && st.parseNumber == oldest.number {
		st.state = exists
	}
}

// recordClose records a caller's Close.
func (s *statements) recordClose(name []byte) {
	if st := s.byName[string(name)]; st != nil {
		st.state = uncertain
	}
}

// evict removes the least recently used statement if there are more than maxPreparedStatements, and returns
// its name. Statements used within the current checkout stay, since the transaction may use them again.
func (s *statements) evict(batch, checkout uint64) (name string, ok bool) {
	if len(s.byName) <= maxPreparedStatements {
		return "", false
	}
	oldestUse := ^uint64(0)
	for candidate, st := range s.byName {
		if st.lastCheckout != checkout && st.lastUse < oldestUse {
			name, oldestUse, ok = candidate, st.lastUse, true
		}
	}
	if ok {
		delete(s.byName, name)
		s.evicted = append(s.evicted, evictedStatement{name, batch})
	}
	return name, ok
}

// recordBatchFailure records that the target skips the rest of a batch after an error.
func (s *statements) recordBatchFailure(batch uint64) {
	for len(s.parsesInFlight) > 0 && s.parsesInFlight[0].batch <= batch {
		s.parsesInFlight = s.parsesInFlight[1:]
	}
	for _, st := range s.byName {
		if st.state == parseSent && st.batch == batch {
			st.state = uncertain
		}
	}
	for _, e := range s.evicted {
		if e.batch == batch && s.byName[e.name] == nil {
			s.byName[e.name] = &preparedStatement{state: uncertain, batch: batch}
		}
	}
}

// recordBatchEnd records the end of a batch.
func (s *statements) recordBatchEnd(batch uint64) {
	kept := s.evicted[:0]
	for _, e := range s.evicted {
		if e.batch > batch {
			kept = append(kept, e)
		}
	}
	s.evicted = kept
}

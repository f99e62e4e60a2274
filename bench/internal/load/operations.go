package load

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/citronrun/citronrun/bench/internal/history"
)

const (
	createTable = "CREATE TABLE IF NOT EXISTS bench_row (id text PRIMARY KEY, booking text, version bigint, tag text)"
	selectRow   = "SELECT version, tag FROM bench_row WHERE id = $1"
	updateRow   = "UPDATE bench_row SET version = $1, tag = $2 WHERE id = $3 AND version = $4"
	insertRow   = "INSERT INTO bench_row (id, booking, version, tag) VALUES ($1, $2, 1, $3)"

	keyedFraction         = 0.5 // of bookings
	ownReadFraction       = 0.5 // of reads
	transactionStatements = 3   // BEGIN and two updates; COMMIT costs nothing
	keyedStatements       = 2   // SET and INSERT
)

// errNoRow means that an update matched no row with the expected version.
var errNoRow = errors.New("update matched no row with the expected version")

// operation is one unit of a session's work.
type operation struct {
	statements int // statements that count towards the team's rate
	write      bool
	run        func(context.Context) history.Outcome
}

// nextOperation draws the next operation. It is resync if a row has an unknown version.
func (s *session) nextOperation() operation {
	draw, mix := s.rng.Float64(), s.team.Mix
	if s.hasUnknownVersion() {
		return operation{statements: keyedStatements, run: s.resync}
	}
	switch {
	case draw < mix.Reads:
		return operation{statements: 1, run: s.read}
	case draw < mix.Reads+mix.Bookings:
		if s.rng.Float64() < keyedFraction {
			return operation{statements: keyedStatements, write: true, run: s.keyedBooking}
		}
		return operation{statements: 1, write: true, run: s.booking}
	case draw < mix.Reads+mix.Bookings+mix.Transactions:
		return operation{statements: transactionStatements, write: true, run: s.transaction}
	}
	return operation{statements: 1, write: true, run: s.update}
}

func (s *session) hasUnknownVersion() bool {
	for _, own := range s.rows {
		if own.version == history.UnknownVersion {
			return true
		}
	}
	return false
}

// tag returns a value that is unique within the run.
func (s *session) tag() string {
	s.lastID++
	return fmt.Sprintf("%s.%d", s.name, s.lastID)
}

// read reads one of the session's own rows, or a row of another session, in the team's read mode.
func (s *session) read(ctx context.Context) history.Outcome {
	e := s.event(history.Read)
	e.Mode, e.MaxAge = modeOf(s.policy)
	e.Row = s.rows[s.rng.IntN(len(s.rows))].id
	if len(s.otherRows) > 0 && s.rng.Float64() >= ownReadFraction {
		e.Row = s.otherRows[s.rng.IntN(len(s.otherRows))]
		e.Session = s.readerName()
	}
	return s.fetch(ctx, &e)
}

func (s *session) fetch(ctx context.Context, e *history.Event) history.Outcome {
	err := s.conn.QueryRow(ctx, selectRow, e.Row).Scan(&e.Version, &e.Tag)
	if errors.Is(err, pgx.ErrNoRows) {
		e.Version, err = history.Absent, nil
	}
	return s.finish(*e, err)
}

// resync reads the current version of each row whose version is unknown after an update.
func (s *session) resync(ctx context.Context) history.Outcome {
	if err := s.execSessionStatement(ctx, "SET citron.read = 'current'"); err != nil {
		return history.NotRun
	}
	outcome := history.OK
	for i := range s.rows {
		own := &s.rows[i]
		if own.version != history.UnknownVersion {
			continue
		}
		e := s.event(history.Read)
		e.Mode, e.Row = history.ModeCurrent, own.id
		if outcome = s.fetch(ctx, &e); outcome == history.OK {
			own.version = e.Version
		}
	}
	if s.execSessionStatement(ctx, "RESET citron.read") != nil {
		s.disconnect() // a new connection has the team's read mode
	}
	return outcome
}

// execSessionStatement runs a SET or RESET, which has no effect outside the session. It costs one
// statement of the team's rate, so it is recorded as an update that was Denied, or NotRun if it was
// refused.
func (s *session) execSessionStatement(ctx context.Context, sql string) error {
	e := s.event(history.Update)
	e.Row, e.Tag = s.rows[0].id, s.tag()
	_, err := s.conn.Exec(ctx, sql)
	e.Outcome, e.Code = outcomeOf(err)
	if e.Outcome != history.NotRun {
		e.Outcome = history.Denied // has no effect on any row
	}
	s.run.Recorder.Add(e)
	return err
}

// update writes the next version of one of the session's own rows.
func (s *session) update(ctx context.Context) history.Outcome {
	own := &s.rows[s.rng.IntN(len(s.rows))]
	e := s.event(history.Update)
	e.Row, e.Tag = own.id, s.tag()
	err := s.write(ctx, own, e.Tag)
	return s.finishUpdate(own, e, err)
}

func (s *session) write(ctx context.Context, own *ownRow, tag string) error {
	result, err := s.conn.Exec(ctx, updateRow, own.version+1, tag, own.id, own.version)
	if err == nil && result.RowsAffected() == 0 {
		return errNoRow
	}
	return err
}

// finishUpdate records the outcome of an update of an own row and sets the row's version.
func (s *session) finishUpdate(own *ownRow, e history.Event, err error) history.Outcome {
	e.Outcome, e.Code = outcomeOf(err)
	if errors.Is(err, errNoRow) {
		e.Outcome = history.Denied
	}
	e.Version = history.UnknownVersion
	switch e.Outcome {
	case history.OK:
		own.version++
		e.Version = own.version
	case history.MayHaveRun, history.Denied:
		own.version = history.UnknownVersion
	}
	s.run.Recorder.Add(e)
	if err != nil {
		s.run.countError(err, e)
	}
	return e.Outcome
}

// transaction updates the session's two rows in one transaction.
func (s *session) transaction(ctx context.Context) history.Outcome {
	e := s.event(history.Tx)
	e.Tag = s.tag()
	committing, err := s.updateRows(ctx, &e)
	outcome, code := outcomeOf(err)
	if err != nil && !committing && outcome != history.NotRun {
		outcome = history.Denied // no effect without COMMIT
		if !errors.Is(err, errNoRow) {
			e.Statements = max(1, e.Statements-1) // the last one may not have been admitted
		}
	}
	e.Outcome, e.Code = outcome, code
	e.End = s.run.Recorder.Elapsed()
	for i := range s.rows {
		own := &s.rows[i]
		rowEvent := e
		rowEvent.Row = own.id
		switch outcome {
		case history.OK:
			own.version++
			rowEvent.Version = own.version
		case history.MayHaveRun, history.Denied:
			own.version = history.UnknownVersion
		}
		if i > 0 {
			rowEvent.Statements, rowEvent.Code = -1, "" // cost and code are on the first event only
		}
		s.run.Recorder.Add(rowEvent)
	}
	if err != nil {
		s.run.countError(err, e)
	}
	return outcome
}

// updateRows updates the session's rows and commits. It reports whether COMMIT was sent, and counts
// the statements in e.
func (s *session) updateRows(ctx context.Context, e *history.Event) (committing bool, err error) {
	if _, err := s.conn.Exec(ctx, "BEGIN"); err != nil {
		return false, err
	}
	for i := range s.rows {
		e.Statements++
		if err := s.write(ctx, &s.rows[i], e.Tag); err != nil {
			_, _ = s.conn.Exec(ctx, "ROLLBACK") // ends the transaction, also in the failed state
			return false, err
		}
	}
	commandTag, err := s.conn.Exec(ctx, "COMMIT")
	if err == nil && commandTag.String() != "COMMIT" {
		return false, fmt.Errorf("COMMIT returned command tag %q, want %q", commandTag.String(), "COMMIT")
	}
	return true, err
}

// booking inserts a row. A booking reported as not run is sent again with another row ID, so that a
// wrong verdict leads to a duplicate booking.
func (s *session) booking(ctx context.Context) history.Outcome {
	booking := "b-" + s.tag()
	var outcome history.Outcome
	for send := range maxSends {
		e := s.event(history.Insert)
		e.Row = fmt.Sprintf("%s/%d", booking, send)
		e.Booking, e.Tag, e.Version = booking, e.Row, 1
		_, err := s.conn.Exec(ctx, insertRow, e.Row, booking, e.Tag)
		outcome = s.finish(e, err)
		if outcome != history.NotRun || s.conn.IsClosed() || ctx.Err() != nil {
			break
		}
		time.Sleep(refusalRetryDelay)
	}
	return outcome
}

// keyedBooking inserts a row with a request key. It sends the insert again, through any host, until
// the outcome is known, at most maxSends times.
func (s *session) keyedBooking(ctx context.Context) history.Outcome {
	booking := "k-" + s.tag()
	mayHaveRun := false
	var outcome history.Outcome
	for send := range maxSends {
		if !s.connect(ctx) {
			outcome = history.NotRun
			continue
		}
		e := s.event(history.Insert)
		e.Row = fmt.Sprintf("%s/%d", booking, send)
		e.Booking, e.Tag, e.Version, e.RequestKey = booking, booking, 1, booking
		e.Statements = 0
		err := s.insertKeyed(ctx, &e)
		if mayHaveRun {
			e.Row = "" // the row of any send may exist
		}
		outcome = s.finish(e, err)
		mayHaveRun = mayHaveRun || outcome == history.MayHaveRun
		if outcome == history.OK || outcome == history.Denied || ctx.Err() != nil {
			break
		}
		if outcome == history.MayHaveRun {
			s.disconnect()
		}
		time.Sleep(refusalRetryDelay)
	}
	if outcome != history.OK {
		s.disconnect() // the request key may still be set on the connection
	}
	return outcome
}

func (s *session) insertKeyed(ctx context.Context, e *history.Event) error {
	e.Statements++
	if _, err := s.conn.Exec(ctx, fmt.Sprintf("SET citron.request_key = '%s'", e.RequestKey)); err != nil {
		return err
	}
	e.Statements++
	_, err := s.conn.Exec(ctx, insertRow, pgx.QueryExecModeSimpleProtocol, e.Row, e.Booking, e.Tag)
	return err
}

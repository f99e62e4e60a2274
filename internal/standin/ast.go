package standin

// maxParams bounds the number n of a parameter $n.
const maxParams = 65535

// Object identifiers of the types that the stand-in knows.
const (
	oidBool    = 16
	oidInt8    = 20
	oidInt2    = 21
	oidInt4    = 23
	oidText    = 25
	oidFloat8  = 701
	oidVarchar = 1043
)

type stmtKind uint8

const (
	stmtEmpty stmtKind = iota
	stmtBegin
	stmtCommit
	stmtRollback
	stmtSet
	stmtShow
	stmtCreate
	stmtInsert
	stmtUpdate
	stmtDelete
	stmtSelect // of a table
	stmtValues // SELECT without a table
	stmtSeries // SELECT generate_series(a, b)
	stmtStatus // SELECT * FROM group_status()
	stmtCopyIn
	stmtCopyOut
)

// stmt is one parsed statement. The fields that a kind doesn't use are empty.
type stmt struct {
	kind     stmtKind
	readOnly bool   // BEGIN READ ONLY
	name     string // SHOW, SET
	table    string

	columns     []column // CREATE
	key         int      // index of the primary key in columns
	ifNotExists bool

	names      []string // columns of INSERT, SELECT, COPY; nil for all
	count      bool     // SELECT count(*)
	rows       [][]expr // INSERT
	ignore     bool     // ON CONFLICT DO NOTHING
	returning  []string // "*" for all
	set        []match  // UPDATE
	where      []match
	limit      *expr
	order      string // ORDER BY column
	descending bool

	items  []item // SELECT without a table
	params int    // highest $n
	casts  map[int]uint32
}

type column struct {
	name string
	oid  uint32
}

type match struct {
	column string
	value  expr
}

type item struct {
	name string
	expr expr
}

// expr is a literal, a parameter or a function call.
type expr struct {
	param int // n of $n, 0 otherwise
	call  string
	args  []expr
	text  string
	null  bool
	oid   uint32 // type of a literal or cast, 0 when unknown
}

// writes reports whether the statement changes data.
func (s *stmt) writes() bool {
	switch s.kind {
	case stmtCreate, stmtInsert, stmtUpdate, stmtDelete, stmtCopyIn:
		return true
	}
	return false
}

// control reports whether the statement is a control function of the group.
func (s *stmt) control() bool {
	if s.kind == stmtStatus {
		return true
	}
	for _, it := range s.items {
		if it.expr.call == "group_promote" || it.expr.call == "group_follow" {
			return true
		}
	}
	return false
}

package standin

// maxParams is the highest n of a parameter $n.
const maxParams = 65535

// PostgreSQL's object identifiers of the supported types.
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
	stmtSelect            // of a table
	stmtSelectExpressions // SELECT without a table
	stmtSeries            // SELECT generate_series(a, b)
	stmtGroupStatus       // SELECT * FROM group_status()
	stmtCopyIn
	stmtCopyOut
)

// stmt is a parsed statement. Fields that its kind doesn't use are empty.
type stmt struct {
	kind     stmtKind
	readOnly bool   // BEGIN READ ONLY
	name     string // parameter of SHOW and SET
	table    string

	columns     []column // CREATE TABLE
	keyColumn   int      // index of the primary key in columns
	ifNotExists bool

	names           []string      // columns of INSERT, SELECT and COPY; nil for all
	count           bool          // SELECT count(*)
	rows            [][]expr      // INSERT
	ignoreConflicts bool          // ON CONFLICT DO NOTHING
	returning       []string      // "*" for all
	set             []columnValue // UPDATE
	where           []columnValue
	limit           *expr
	orderBy         string // ORDER BY column
	descending      bool

	items  []selectItem   // SELECT without a table, generate_series
	params int            // highest n of the parameters $n
	casts  map[int]uint32 // types that parameters are cast to, by n
}

type column struct {
	name string
	oid  uint32
}

// columnValue is column = value: a condition of WHERE or an assignment of SET.
type columnValue struct {
	column string
	value  expr
}

// selectItem is an expression of a SELECT without a table, with the name of its result column.
type selectItem struct {
	name string
	expr expr
}

// expr is a literal, a parameter or a function call.
type expr struct {
	param int    // n of $n, 0 otherwise
	call  string // name of the called function
	args  []expr
	text  string // value of a literal
	null  bool   // the literal NULL
	oid   uint32 // type of a literal or cast, 0 if unknown
}

// writes reports whether the statement changes data.
func (s *stmt) writes() bool {
	switch s.kind {
	case stmtCreate, stmtInsert, stmtUpdate, stmtDelete, stmtCopyIn:
		return true
	}
	return false
}

// isControl reports whether the statement calls a control function of the group.
func (s *stmt) isControl() bool {
	if s.kind == stmtGroupStatus {
		return true
	}
	for _, it := range s.items {
		if it.expr.call == "group_promote" || it.expr.call == "group_follow" {
			return true
		}
	}
	return false
}

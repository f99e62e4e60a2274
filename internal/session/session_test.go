package session

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/wire"
)

var classified = map[string]Kind{
	"":                                    Empty,
	" ; -- nothing\n ;":                   Empty,
	"select 1":                            Read,
	"/* a /* nested */ b */ SELECT 1;":    Read,
	"((select 1))":                        Read,
	"select 'for update'":                 Read,
	"select $$ into $$, $1":               Read,
	"select $a$ ; insert $a$":             Read,
	`select E'\'; delete from t; --'`:     Read,
	`select U&'x', "into"`:                Read,
	"select 1; select 2":                  Read,
	"select * from t for update":          Write,
	"select * from t for no key update":   Write,
	"select * into t from u":              Write,
	"select 1; insert into t values (1)":  Write,
	"values (1)":                          Read,
	"table t":                             Read,
	"show all":                            Read,
	"with a as (select 1) table a":        Read,
	"with a as (delete from t) select 1":  Write,
	"explain insert into t values (1)":    Read,
	"explain (analyze) select 1":          Write,
	"insert into t values ('select')":     Write,
	"select 'a\\'; delete from t; --'":    Write,
	"begin":                               Begin,
	"start transaction read only":         Begin,
	"end":                                 Commit,
	"commit work":                         Commit,
	"abort":                               Rollback,
	"rollback to savepoint a":             Write,
	"set citron.read = 'current'":         Set,
	"set session citron.read to current":  Set,
	"reset citron.read":                   Set,
	"set time zone 'UTC'":                 Set,
	"set names 'utf8'":                    Set,
	"show citron.token":                   Show,
	"set local work_mem = '1MB'":          Write,
	"set transaction read only":           Write,
	"set work_mem = '1MB'":                Unsupported,
	"set role x":                          Unsupported,
	"set session authorization x":         Unsupported,
	"reset all":                           Unsupported,
	"listen x":                            Unsupported,
	"unlisten *":                          Unsupported,
	"discard all":                         Unsupported,
	"prepare a as select 1":               Unsupported,
	"execute a":                           Unsupported,
	"deallocate all":                      Unsupported,
	"prepare transaction 'x'":             Unsupported,
	"commit prepared 'x'":                 Unsupported,
	"rollback and chain":                  Unsupported,
	"create temp table t (a int)":         Unsupported,
	"create or replace temporary view v":  Unsupported,
	"create table pg_temp.t (a int)":      Unsupported,
	"select 1 into temp t":                Unsupported,
	"declare c cursor with hold for x":    Unsupported,
	"declare c cursor for select 1":       Write,
	"select pg_advisory_lock(1)":          Unsupported,
	`select "pg_try_advisory_lock"(1)`:    Unsupported,
	"select pg_advisory_xact_lock(1)":     Read,
	"select set_config('a', 'b', false)":  Unsupported,
	"select set_config('a', 'b', true)":   Read,
	"insert into t values (1); listen x":  Unsupported,
	"set citron.read = current; select 1": Unsupported,
	"begin; set citron.read = current":    Unsupported,
}

// Guards against writes that are routed as reads, and session state that leaks to other callers.
func TestClassify(t *testing.T) {
	for sql, want := range classified {
		if got := Classify(sql); got.Kind != want {
			t.Errorf("%q: kind %d, want %d", sql, got.Kind, want)
		}
	}
	is := is.New(t)
	is.True(Classify("begin read only").ReadOnly)
	is.True(!Classify("begin isolation level serializable, read only").ReadOnly)
	is.True(!Classify("begin read write").ReadOnly)
	is.True(Classify("begin; insert into t values (1)").StartsBlock)
	is.Equal(Classify("SET citron.request_key TO 'A b'").Value, "A b")
	is.Equal(Classify("set DateStyle to ISO, MDY").Value, "ISO,MDY")
}

// Guards against comments, quotes or case that change how a statement is classified.
func TestClassifyIgnoresDecoration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sql := rapid.SampledFrom([]string{"select a from b", "insert into t values (1)", "listen x",
			"with a as (insert into t values (1)) select 1", "select 1 for share"}).Draw(t, "sql")
		blank := rapid.SampledFrom([]string{" ", "\n", "/* ' */", "--'\n", " /* /* */ */ "})
		words := strings.Split(sql, " ")
		var b strings.Builder
		for _, w := range words {
			b.WriteString(blank.Draw(t, "blank"))
			if rapid.Bool().Draw(t, "upper") {
				w = strings.ToUpper(w)
			}
			b.WriteString(w)
		}
		if got, want := Classify(b.String()).Kind, Classify(sql).Kind; got != want {
			t.Fatalf("%q: kind %d, want %d", b.String(), got, want)
		}
	})
}

// Guards against panics and endless loops, and against a write hidden behind a read.
func FuzzClassify(f *testing.F) {
	for sql := range classified {
		f.Add(sql)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		first := Classify(sql)
		l := lexer{sql: sql}
		for {
			before := l.pos
			if l.next().kind == tokenEnd {
				break
			}
			if l.pos == before {
				t.Fatalf("%q: lexer makes no progress at %d", sql, l.pos)
			}
		}
		if first.Kind == Read && Classify("delete from t;"+sql).Kind == Read {
			t.Fatalf("%q: delete is routed as a read", sql)
		}
	})
}

// Guards against settings that are accepted without having their effect.
func TestDriverSettings(t *testing.T) {
	is := is.New(t)
	is.NoErr(CheckDriverSetting("client_encoding", "utf-8", "UTF8"))
	is.NoErr(CheckDriverSetting("datestyle", "ISO", "ISO, MDY"))
	is.NoErr(CheckDriverSetting("extra_float_digits", "3", "1"))
	is.NoErr(CheckDriverSetting("timezone", "Etc/UTC", "UTC"))
	is.True(CheckDriverSetting("timezone", "Africa/Dakar", "UTC") != nil)
	is.True(CheckDriverSetting("extra_float_digits", "0", "1") != nil)
	is.True(CheckDriverSetting("datestyle", "German", "ISO, MDY") != nil)
	is.True(CheckDriverSetting("search_path", "mine", "public") != nil)
}

// Guards against requests with a stale floor, a wrong read mode or a request key used twice.
func TestRequestCarriesSettings(t *testing.T) {
	is := is.New(t)
	s, err := New("awnings")
	is.NoErr(err)
	rule := catalog.EffectivePolicy{Mode: wire.ReadMaxAge, MaxAge: time.Second}
	req := s.NextTxRequest(rule, true, false)
	is.Equal(req.Mode, wire.ReadMaxAge)
	is.True(!req.HasFloor)
	is.NoErr(s.ApplySetting(SettingRead, "current", false))
	is.NoErr(s.ApplySetting(SettingRequestKey, "k", false))
	is.NoErr(s.ApplySetting(SettingToken, "awnings:2/7", false))
	is.NoErr(s.ApplySetting(SettingToken, "awnings:1/9", false)) // lower: no effect
	is.True(s.ApplySetting(SettingToken, "other:3/1", false) != nil)
	is.True(s.ApplySetting(SettingRead, "max_age=-1s", false) != nil)
	is.True(s.ApplySetting(SettingTimeout, "0", false) != nil)
	is.Equal(s.NextTxRequest(rule, true, false).RequestKey, "") // a read leaves the key for the write
	req = s.NextTxRequest(rule, false, false)
	is.Equal(req.RequestKey, "k")
	is.Equal(req.Mode, wire.ReadCurrent)
	is.Equal(req.Floor, position.Position{Term: 2, Offset: 7})
	is.Equal(req.Seq, uint64(3))
	s.ClearRequestKey()
	is.Equal(s.NextTxRequest(rule, false, false).RequestKey, "")
}

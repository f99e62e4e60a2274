package standin

import "testing"

// FuzzParseSQL guards against SQL text that panics the parser, describe or attempt.
func FuzzParseSQL(f *testing.F) {
	for _, sql := range []string{
		"SELECT a, \"b\" FROM t WHERE id = $1::text AND c = 'x''y' ORDER BY id DESC LIMIT 3",
		"INSERT INTO t (a) VALUES ($1), (-2) ON CONFLICT (a) DO NOTHING RETURNING *",
		"CREATE TABLE IF NOT EXISTS t (id text PRIMARY KEY, n double precision)",
		"UPDATE booking SET status = NULL; SELECT pg_sleep(0.1) AS s, 1 -- end",
		"COPY booking (id) FROM STDIN", "SELECT generate_series($1,$2)", "SET a.b TO 1, 2", "(", "'", "$0",
	} {
		f.Add(sql)
	}
	s := newServer(Config{}, rolePrimary)
	f.Fuzz(func(t *testing.T, sql string) {
		statements, err := parseSQL(sql)
		if err != nil {
			return
		}
		for _, st := range statements {
			if _, _, err := s.describe(newTransaction(true), st, nil); err != nil {
				continue
			}
			params := make([]value, st.params)
			_, _ = s.attempt(newTransaction(false), st, params)
		}
	})
}

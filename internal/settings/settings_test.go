package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const validSettings = `{
  // An entry host.
  "host": "entry-1",
  "place": "cardiff",
  "roles": ["entry"],
  "listen": {"callers": "127.0.0.1:6432", "peers": "127.0.0.1:7432", "admin": "127.0.0.1:8432"},
  "control": ["127.0.0.1:7433"],
  "peer_tls": {"ca": "ca.crt", "cert": "entry-1.crt", "key": "entry-1.key"},
  "limits": {"queue_timeout": "2s",},
}`

// Guards against lost defaults: setting one field of an object must not zero the others.
func TestParseKeepsDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(validSettings))
	is.NoErr(err)
	is.Equal(s.Limits.QueueTimeout.Value(), 2*time.Second)
	is.Equal(s.Limits.Connections, DefaultConnections)
	is.True(s.Has(RoleEntry))
	is.True(!s.Has(RoleControl))
}

// Guards against invalid settings that are accepted, or reported at the wrong line or field.
func TestParseNamesLineAndField(t *testing.T) {
	cases := map[string]struct {
		old, new string
		line     int
		field    string
	}{
		"unknown":                  {`"place":`, `"zone": "x", "place":`, 4, "zone"},
		"unknown nested":           {`"queue_timeout"`, `"queue_time"`, 9, "limits.queue_time"},
		"twice":                    {`"place":`, `"host": "x", "place":`, 4, "host"},
		"type":                     {`["entry"]`, `"entry"`, 5, "roles"},
		"role":                     {`["entry"]`, `["proxy"]`, 5, "roles"},
		"address":                  {`"127.0.0.1:6432"`, `"localhost:6432"`, 6, "listen.callers"},
		"control":                  {`["127.0.0.1:7433"]`, `["127.0.0.1:7433", "x"]`, 7, "control[1]"},
		"missing":                  {`"ca": "ca.crt", `, ``, 8, "peer_tls.ca"},
		"number":                   {`"queue_timeout": "2s"`, `"connections": 0`, 9, "limits.connections"},
		"more than descriptors":    {`"queue_timeout": "2s"`, `"connections": 400, "descriptors": 400`, 9, "limits.connections"},
		"remote admin without TLS": {`"127.0.0.1:8432"`, `"10.0.0.1:8432"`, 1, "admin"},
		"no data directory":        {`["entry"]`, `["entry", "control"]`, 1, "data_dir"},
		"own address":              {`["entry"]`, `["entry", "control"], "data_dir": "d"`, 7, "control"},
		"bootstrap":                {`["entry"]`, `["entry"], "bootstrap": true`, 5, "bootstrap"},
		"syntax":                   {`"cardiff",`, `"cardiff"`, 5, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(strings.Replace(validSettings, c.old, c.new, 1)))
			e, ok := errors.AsType[*Error](err)
			is.True(ok) // typed error
			t.Log(e)
			is.Equal(e.Line, c.line)
			is.Equal(e.Field, c.field)
		})
	}
}

// Guards against a crash on any input.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"listen": {"peers": [1]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v with error %v", s, err)
		}
	})
}

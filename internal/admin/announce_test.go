package admin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/wire"
)

// announceBackend counts announcements.
type announceBackend struct {
	Backend
	received int
}

func (b *announceBackend) Announce(context.Context, wire.Announce) (wire.AnnounceReply, error) {
	b.received++
	return wire.AnnounceReply{OK: true}, nil
}

// Guards against an odd announcement that takes the place of a database among the members of its service.
func TestOddAnnouncements(t *testing.T) {
	is := is.New(t)
	backend := &announceBackend{}
	handler := New(Config{Backend: backend, Logger: log.NewNopLogger()}).Handler()
	const announcement = `{"target":"db-1","service":"s","addr":"10.0.0.1:5432","place":"x"}`
	post := func(body string) int {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/announce", strings.NewReader(body)))
		return w.Code
	}
	is.Equal(post(announcement), http.StatusOK)
	for _, change := range [][2]string{
		{"5432", "65536"}, {"5432", "0"}, {"5432", "99999999999999999999"}, {"10.0.0.1:", ""}, {`"db-1"`, `""`}, {`"db-1"`, `"a\nb"`},
		{`"x"`, strings.Repeat("[", 1500) + strings.Repeat("]", 1500)}, {`"x"`, "1e400"},
	} {
		is.Equal(post(strings.Replace(announcement, change[0], change[1], 1)), http.StatusBadRequest)
	}
	is.Equal(backend.received, 1)
}
